//! Responses streamed as server-sent events.

use actix_web::HttpResponse;
use actix_web::http::header::CACHE_CONTROL;
use actix_web::web::Bytes;
use futures::stream::{self, Stream};
use serde::Serialize;
use tokio::sync::mpsc;
use verdict::{Failure, Verdict};

use super::failure::ErrorBody;
use super::openai::{Chunk, ChunkChoice, Delta};
use super::{VERDICT_HEADER, verdict_value};
use crate::generation::RelayEvent;
use crate::shared::InFlightGuard;

const EVENT_STREAM: &str = "text/event-stream";
const DONE: &str = "data: [DONE]\n\n";
/// Header with the generation id, for resuming and cancelling.
const GENERATION_HEADER: &str = "x-shallottray-generation";

/// Fields that every event of a response repeats.
pub(crate) struct StreamMetadata {
    pub(crate) generation: String,
    pub(crate) model: String,
    pub(crate) created: u64,
}

/// Streams the events of a generation to the caller.
pub(crate) fn respond(
    metadata: StreamMetadata,
    events: mpsc::Receiver<RelayEvent>,
    guard: InFlightGuard,
) -> HttpResponse {
    let generation = metadata.generation.clone();
    HttpResponse::Ok()
        .content_type(EVENT_STREAM)
        .insert_header((CACHE_CONTROL, "no-store"))
        .insert_header((VERDICT_HEADER, verdict_value(Verdict::Ran)))
        .insert_header((GENERATION_HEADER, generation))
        .streaming(render(metadata, events, guard))
}

fn render(
    metadata: StreamMetadata,
    events: mpsc::Receiver<RelayEvent>,
    guard: InFlightGuard,
) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
    stream::unfold((metadata, events, guard), |(metadata, mut events, guard)| async move {
        let event = events.recv().await?;
        let text = metadata.render(event);
        Some((Ok(Bytes::from(text)), (metadata, events, guard)))
    })
}

impl StreamMetadata {
    fn render(&self, event: RelayEvent) -> String {
        match event {
            RelayEvent::Started(_) => ": started\n\n".to_string(),
            RelayEvent::Token(index, text) => self.event(index, Some(&text), None),
            RelayEvent::End { reason, output_tokens } => {
                self.event(output_tokens, None, Some(&reason)) + DONE
            }
            RelayEvent::Failed(failure) => error_event(&failure),
        }
    }

    fn event(&self, index: u64, content: Option<&str>, finish_reason: Option<&str>) -> String {
        let chunk = Chunk {
            id: &self.generation,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.model,
            choices: [ChunkChoice { index: 0, delta: Delta { content }, finish_reason }],
        };
        format!("id: {}:{index}\ndata: {}\n\n", self.generation, to_json(&chunk))
    }
}

fn error_event(failure: &Failure) -> String {
    format!("event: error\ndata: {}\n\n", to_json(&ErrorBody::from(failure)))
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
