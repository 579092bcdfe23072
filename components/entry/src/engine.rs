//! Client of the HTTP interface of model engines.
//!
//! * `POST /v1/generations` starts a generation and streams its events,
//! * `GET /v1/generations/{id}/events?from=N` streams its events from token N on,
//! * `DELETE /v1/generations/{id}` cancels it and frees its KV cache.
//!
//! An engine cancels a generation on its own once nobody has read its events
//! for the `detach_ms` of the start request.

use std::pin::Pin;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::ACCEPT;
use awc::{Client, ClientResponse};
use displaydoc::Display;
use eventsource_stream::Eventsource as _;
use futures::{Stream, StreamExt as _};
use serde::{Deserialize, Serialize};
use units::GenerationId;

use crate::http_client;

const EVENT_STREAM: &str = "text/event-stream";
const WORKSPACE_HEADER: &str = "x-shallottray-workspace";
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ERROR_BYTES: usize = 4_096;

/// Body of a start request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StartGeneration {
    pub(crate) generation: String,
    pub(crate) version: String,
    pub(crate) adapter: String,
    pub(crate) workspace: String,
    pub(crate) prompt: String,
    pub(crate) max_output_tokens: u64,
    pub(crate) priority: u32,
    /// Time without a reader after which the engine cancels the generation.
    pub(crate) detach_ms: u64,
}

/// Event of a generation.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(crate) enum EngineEvent {
    /// One token of the output.
    Token {
        /// Index from 0.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// End of the output.
    End {
        /// `stop`, `length` or `cancelled`.
        reason: String,
        /// Number of tokens in the complete output.
        output_tokens: u64,
    },
}

/// Why an event stream could not be opened, or broke off.
#[derive(Clone, Debug, Display)]
pub(crate) enum EngineError {
    /// cannot connect to the engine: {0}
    Connect(String),
    /// the engine refused with status {0}: {1}
    Refused(u16, String),
    /// the engine failed with status {0}: {1}
    Failed(u16, String),
    /// the connection to the engine was lost: {0}
    Lost(String),
    /// the engine sent an event that cannot be read: {0}
    Event(String),
}

/// Events of one generation.
pub(crate) type EngineEvents = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>>>>;

/// HTTP client for engines; not shared between threads.
#[derive(Clone)]
pub(crate) struct EngineClient {
    client: Client,
}

impl EngineClient {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        EngineClient { client: http_client::new_client(connect_timeout) }
    }

    /// Starts a generation.
    pub(crate) async fn start(
        &self,
        address: &str,
        start: &StartGeneration,
        traceparent: &str,
    ) -> Result<EngineEvents, EngineError> {
        let request = self
            .client
            .post(format!("http://{address}/v1/generations"))
            .insert_header((ACCEPT, EVENT_STREAM))
            .insert_header(("traceparent", traceparent));
        parse_events(request.send_json(start).await).await
    }

    /// Reconnects to a running generation and streams its events from token
    /// `from` on.
    pub(crate) async fn resume(
        &self,
        address: &str,
        generation: &GenerationId,
        from: u64,
        workspace: &str,
    ) -> Result<EngineEvents, EngineError> {
        let url = format!("http://{address}/v1/generations/{generation}/events?from={from}");
        let request = self
            .client
            .get(url)
            .insert_header((ACCEPT, EVENT_STREAM))
            .insert_header((WORKSPACE_HEADER, workspace));
        parse_events(request.send().await).await
    }

    /// Cancels a generation.
    pub(crate) async fn cancel(
        &self,
        address: &str,
        generation: &GenerationId,
        workspace: &str,
    ) -> Result<(), EngineError> {
        let url = format!("http://{address}/v1/generations/{generation}");
        let request = self
            .client
            .delete(url)
            .timeout(CANCEL_TIMEOUT)
            .insert_header((WORKSPACE_HEADER, workspace));
        check_status(request.send().await).await.map(|_| ())
    }
}

async fn parse_events<S>(
    response: Result<ClientResponse<S>, SendRequestError>,
) -> Result<EngineEvents, EngineError>
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let response = check_status(response).await?;
    let events = response.eventsource().map(|event| match event {
        Ok(event) => {
            serde_json::from_str(&event.data).map_err(|error| EngineError::Event(error.to_string()))
        }
        Err(error) => Err(EngineError::Lost(error.to_string())),
    });
    Ok(Box::pin(events))
}

async fn check_status<S>(
    response: Result<ClientResponse<S>, SendRequestError>,
) -> Result<ClientResponse<S>, EngineError>
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let mut response = response.map_err(|error| match http_client::is_unsent(&error) {
        true => EngineError::Connect(error.to_string()),
        false => EngineError::Lost(error.to_string()),
    })?;
    let status = response.status();
    if status == StatusCode::OK {
        return Ok(response);
    }
    if !verdict::is_answer(status.as_u16()) {
        return Err(EngineError::Lost(format!("the status {status} is no answer")));
    }
    let body = response.body().limit(MAX_ERROR_BYTES).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    // Engines refuse a generation before they run it; what else they answer may come later.
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        Err(EngineError::Refused(status.as_u16(), text))
    } else {
        Err(EngineError::Failed(status.as_u16(), text))
    }
}
