//! `POST /v1/chat/completions`.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::http::StatusCode;
use actix_web::http::header::HeaderMap;
use actix_web::{HttpRequest, HttpResponse, web};
use objects::Catalog;
use schema::{Header, RecordKey, Service, StoredAnswer};
use telemetry::Span;
use tokio::sync::mpsc;
use units::EventId;
use verdict::{Code, Failure, Verdict};

use super::auth::{Caller, authenticate, authenticate_unless_starting};
use super::failure::{CallerError, invalid};
use super::openai::{
    ChatRequest, Completion, CompletionChoice, OutputMessage, Usage, estimate_prompt_tokens,
};
use super::sse::{self, StreamMetadata};
use super::{VERDICT_HEADER, body, verdict_value};
use crate::broker::LocateUpstream;
use crate::engine::EngineClient;
use crate::generation::{GenerationRequest, RelayEvent};
use crate::records::{self, Execution};
use crate::relay::Relay;
use crate::shared::Shared;

const MAX_QUEUED_EVENTS: usize = 64;
const LAST_EVENT_ID: &str = "last-event-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const JSON_CONTENT_TYPE: &str = "application/json";
/// Maximum wait for a generation that another request has started under the
/// same idempotency key.
const SHARED_ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

/// Handles a chat request, with a streamed or a complete response.
pub(crate) async fn complete(
    http: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
    engine: web::Data<EngineClient>,
) -> Result<HttpResponse, CallerError> {
    let span = shared
        .spans
        .start_server_span("entry.chat", &header_or_empty(http.headers(), "traceparent"));
    let result = dispatch(&http, payload, &shared, &engine, span).await;
    let outcome = match &result {
        Ok(_) => Verdict::Ran.to_string(),
        Err(CallerError(failure)) => failure.code.to_string(),
    };
    shared.metrics.requests.with_label_values(&["chat", outcome.as_str()]).inc();
    result
}

async fn dispatch(
    http: &HttpRequest,
    payload: web::Payload,
    shared: &Shared,
    engine: &EngineClient,
    span: Span,
) -> Result<HttpResponse, CallerError> {
    let last_event_id = header_or_empty(http.headers(), LAST_EVENT_ID);
    if !last_event_id.is_empty() {
        let caller = authenticate_unless_starting(shared, http)?;
        let bytes = body::read(shared, payload).await?;
        return resume(&caller, &last_event_id, &bytes, shared, engine, span).await;
    }
    let caller = authenticate(shared, http)?;
    if shared.in_flight.count() >= u64::from(shared.config.limits.max_streams) {
        let failure = Failure::not_run(Code::Overloaded, "the entry has no room for a stream");
        return Err(failure.retry_after_ms(1_000).into());
    }
    let bytes = body::read(shared, payload).await?;
    let chat = parse(&bytes)?;
    let request = Arc::new(to_generation_request(&caller, &chat)?);
    if chat.stream {
        let (relay, events) = new_relay(shared, engine, request, span);
        let task = async move { relay.run().await };
        actix_rt::spawn(task);
        return respond_with_stream(shared, chat.model, events).await;
    }
    let key = header_or_empty(http.headers(), IDEMPOTENCY_KEY);
    let answer = respond_in_full(shared, engine, request, &key, &bytes, span).await?;
    Ok(to_response(&answer))
}

fn new_relay(
    shared: &Shared,
    engine: &EngineClient,
    request: Arc<GenerationRequest>,
    span: Span,
) -> (Relay, mpsc::Receiver<RelayEvent>) {
    let (sink, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let (shared, engine) = (shared.clone(), engine.clone());
    (Relay { shared, engine, request, span, sink }, events)
}

/// Responds with a stream, once the generation has its first token or has ended.
async fn respond_with_stream(
    shared: &Shared,
    model: String,
    mut events: mpsc::Receiver<RelayEvent>,
) -> Result<HttpResponse, CallerError> {
    let guard = shared.in_flight.enter();
    let generation = match events.recv().await {
        Some(RelayEvent::Started(generation)) => generation.to_string(),
        Some(RelayEvent::Failed(failure)) => return Err(failure.into()),
        Some(RelayEvent::Token(..) | RelayEvent::End { .. }) | None => {
            return Err(Failure::may_have_run(Code::Internal, "the relay stopped").into());
        }
    };
    // After a failure before the first token, the relay starts a generation with
    // another id, so the id is final only with the first token or the end.
    let (first, generation) = first_event(&mut events, generation).await?;
    let (forward_task, events) = prepend(first, events);
    let metadata = StreamMetadata { generation, model, created: unix_seconds() };
    actix_rt::spawn(forward_task);
    Ok(sse::respond(metadata, events, guard))
}

/// Waits for the first token or the end, and returns it with the generation id.
async fn first_event(
    events: &mut mpsc::Receiver<RelayEvent>,
    mut generation: String,
) -> Result<(RelayEvent, String), CallerError> {
    loop {
        match events.recv().await {
            Some(RelayEvent::Started(next)) => generation = next.to_string(),
            Some(RelayEvent::Failed(failure)) => return Err(failure.into()),
            Some(event) => return Ok((event, generation)),
            None => {
                return Err(Failure::may_have_run(Code::Internal, "the relay stopped").into());
            }
        }
    }
}

/// Returns a channel that yields `first` before all other events, and the task
/// that forwards the events to it.
fn prepend(
    first: RelayEvent,
    mut events: mpsc::Receiver<RelayEvent>,
) -> (impl Future<Output = ()>, mpsc::Receiver<RelayEvent>) {
    let (sink, joined) = mpsc::channel(MAX_QUEUED_EVENTS);
    let forward = async move {
        let mut next = Some(first);
        while let Some(event) = next {
            if sink.send(event).await.is_err() {
                return;
            }
            next = tokio::select! {
                event = events.recv() => event,
                () = sink.closed() => None,
            };
        }
    };
    (forward, joined)
}

/// Responds with the complete output; under an idempotency key, with the output
/// of the first run.
async fn respond_in_full(
    shared: &Shared,
    engine: &EngineClient,
    request: Arc<GenerationRequest>,
    key: &str,
    body: &[u8],
    span: Span,
) -> Result<StoredAnswer, CallerError> {
    let guard = shared.in_flight.enter();
    let prompt_tokens = request.prompt_tokens;
    let model = request.service.to_string();
    let call = (!key.is_empty()).then(|| records::AtMostOnceCall {
        shared: shared.clone(),
        key: RecordKey {
            workspace: request.workspace.to_string(),
            service: request.service.to_string(),
            key: key.to_string(),
        },
        fingerprint: records::fingerprint("POST", "/v1/chat/completions", body),
        max_wait: SHARED_ANSWER_TIMEOUT,
    });
    let child = shared.spans.start_client_span("entry.generation", &span);
    let (relay, events) = new_relay(shared, engine, request, child);
    // The task outlives the caller's connection: other requests under the same
    // key may wait for the outcome.
    let task = actix_rt::spawn(async move {
        let execute = || async move {
            let running = actix_rt::spawn(async move { relay.run().await });
            let collected = collect(events, &model, prompt_tokens).await;
            let _ = running.await;
            collected
        };
        let answer = match call {
            Some(call) => call.run(&span, execute).await,
            None => match execute().await {
                Execution::Answered(answer) => Ok(answer),
                Execution::NotRun(failure) | Execution::Unknown(failure) => Err(failure),
            },
        };
        drop(guard);
        answer
    });
    match task.await {
        Ok(answer) => Ok(answer?),
        Err(error) => Err(Failure::may_have_run(Code::Internal, error.to_string()).into()),
    }
}

async fn collect(
    mut events: mpsc::Receiver<RelayEvent>,
    model: &str,
    prompt_tokens: u64,
) -> Execution {
    let mut generation = String::new();
    let mut content = String::new();
    while let Some(event) = events.recv().await {
        match event {
            RelayEvent::Started(id) => generation = id.to_string(),
            RelayEvent::Token(_, text) => content.push_str(&text),
            RelayEvent::End { reason, output_tokens } => {
                let completion = Completion {
                    id: &generation,
                    object: "chat.completion",
                    created: unix_seconds(),
                    model,
                    choices: [CompletionChoice {
                        index: 0,
                        message: OutputMessage { role: "assistant", content: &content },
                        finish_reason: &reason,
                    }],
                    usage: Usage {
                        prompt_tokens,
                        completion_tokens: output_tokens,
                        total_tokens: prompt_tokens + output_tokens,
                    },
                };
                return Execution::Answered(json_answer(&completion));
            }
            RelayEvent::Failed(failure) if failure.verdict == Verdict::NotRun => {
                return Execution::NotRun(failure);
            }
            RelayEvent::Failed(failure) => return Execution::Unknown(failure),
        }
    }
    Execution::Unknown(Failure::may_have_run(Code::Internal, "the relay stopped"))
}

fn json_answer(completion: &Completion<'_>) -> StoredAnswer {
    let content_type =
        Header { name: "content-type".to_string(), value: JSON_CONTENT_TYPE.to_string() };
    StoredAnswer {
        status: 200,
        headers: vec![content_type],
        body: serde_json::to_vec(completion).unwrap_or_default().into(),
        truncated: false,
    }
}

/// Converts a stored answer into an HTTP response.
pub(super) fn to_response(answer: &StoredAnswer) -> HttpResponse {
    let status = u16::try_from(answer.status).ok().filter(|status| verdict::is_answer(*status));
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let verdict = if status.is_some() { Verdict::Ran } else { Verdict::MayHaveRun };
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::BAD_GATEWAY));
    for Header { name, value } in &answer.headers {
        response.insert_header((name.as_str(), value.as_str()));
    }
    response.insert_header((VERDICT_HEADER, verdict_value(verdict)));
    response.body(answer.body.clone())
}

/// Resumes a generation after the event named by `Last-Event-ID`.
async fn resume(
    caller: &Caller,
    last_event_id: &str,
    bytes: &[u8],
    shared: &Shared,
    engine: &EngineClient,
    span: Span,
) -> Result<HttpResponse, CallerError> {
    let last: EventId = last_event_id.parse().map_err(|error| {
        invalid(format!("Last-Event-ID `{last_event_id}` is no id of an event: {error}"))
    })?;
    let chat = parse(bytes)?;
    let request = to_generation_request(caller, &chat)?;
    let name = last.generation.engine.as_str().into();
    let address = shared.broker.send(LocateUpstream(name)).await.unwrap_or_default();
    let address = address.ok_or_else(|| {
        let message = format!("the engine {} is gone", last.generation.engine);
        Failure::ran(Code::ResumeGone, message)
    })?;
    let (relay, mut events) = new_relay(shared, engine, Arc::new(request), span);
    let guard = shared.in_flight.enter();
    let generation = last.generation.to_string();
    let task = async move { relay.resume(last.generation, address, last.index + 1).await };
    actix_rt::spawn(task);
    let (first, generation) = first_event(&mut events, generation).await?;
    let (forward_task, events) = prepend(first, events);
    actix_rt::spawn(forward_task);
    let metadata = StreamMetadata { generation, model: chat.model, created: unix_seconds() };
    Ok(sse::respond(metadata, events, guard))
}

fn parse(bytes: &[u8]) -> Result<ChatRequest, CallerError> {
    let chat: ChatRequest =
        serde_json::from_slice(bytes).map_err(|error| invalid(format!("body: {error}")))?;
    if chat.messages.is_empty() {
        return Err(invalid("messages: at least one message is needed"));
    }
    if chat.max_tokens == Some(0) {
        return Err(invalid("max_tokens: must be 1 or more"));
    }
    Ok(chat)
}

fn to_generation_request(
    caller: &Caller,
    chat: &ChatRequest,
) -> Result<GenerationRequest, CallerError> {
    let Caller { workspace, catalog } = caller;
    let unknown_model = || {
        let message = format!("model: there is no model `{}` for this workspace", chat.model);
        CallerError(Failure::not_run(Code::NotFound, message))
    };
    let service: &Service =
        catalog.service_for(workspace, &chat.model).ok_or_else(unknown_model)?;
    let prompt = chat.prompt();
    let request = build_request(caller, service, chat.max_tokens, &prompt);
    request.ok_or_else(unknown_model)
}

/// Builds the request for a service and for its chain of fallback services; the
/// recursion ends, as the published set has no cycle of fallbacks.
fn build_request(
    caller: &Caller,
    service: &Service,
    max_tokens: Option<u64>,
    prompt: &str,
) -> Option<GenerationRequest> {
    let Caller { workspace, catalog } = caller;
    let generation = Catalog::generation(service)?;
    let priority = catalog.priority(service)?;
    let fallback = catalog.service(&generation.fallback);
    let fallback = fallback.and_then(|next| build_request(caller, next, max_tokens, prompt));
    let output_limit = generation.max_output_tokens;
    Some(GenerationRequest {
        service: service.name.as_str().into(),
        workspace: workspace.name.as_str().into(),
        share: workspace.share,
        max_streams: workspace.max_streams,
        max_waiting: workspace.max_waiting,
        priority: priority.clone(),
        version: generation.version.as_str().into(),
        adapter: generation.adapter.as_str().into(),
        prompt_tokens: estimate_prompt_tokens(prompt),
        prompt: prompt.to_string(),
        max_output_tokens: max_tokens.unwrap_or(output_limit).min(output_limit),
        fallback: fallback.map(Arc::new),
    })
}

/// Returns the value of a header, or an empty string if it is absent or not
/// visible ASCII.
pub(super) fn header_or_empty(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
