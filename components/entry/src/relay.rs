//! Relays one generation from its engine to a caller.
//!
//! The caller receives each token once, in order, and from one generation only:
//! after a stall or a lost connection the relay resumes the same generation at
//! the next token; it starts another generation only before it has relayed a
//! token.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures::StreamExt as _;
use placement::{Placement, PlacementRequest, Release};
use rand::RngExt as _;
use smallvec::SmallVec;
use telemetry::Span;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use units::{GenerationId, UpstreamName};
use verdict::{Code, Failure, RequestError};

use crate::broker::{ReleasePlacement, ReportProgress, RequestPlacement, SpendRetryBudget};
use crate::engine::{EngineClient, EngineError, EngineEvent, EngineEvents, StartGeneration};
use crate::generation::{GenerationRequest, RelayEvent};
use crate::shared::Shared;

/// Maximum consecutive attempts to resume a generation without a new token.
const MAX_RESUME_ATTEMPTS: u32 = 3;
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Maximum placements tried before the first token, for the requested service
/// and for each of its fallbacks.
const MAX_PLACEMENT_ATTEMPTS: u32 = 3;
const PROGRESS_INTERVAL_TOKENS: u64 = 32;

/// Relay of one generation.
pub(crate) struct Relay {
    pub(crate) shared: Shared,
    pub(crate) engine: EngineClient,
    pub(crate) request: Arc<GenerationRequest>,
    pub(crate) span: Span,
    pub(crate) sink: mpsc::Sender<RelayEvent>,
}

/// Generation that runs on an engine.
struct RunningGeneration {
    generation: GenerationId,
    address: CompactString,
    /// `None` if the generation was started for an earlier caller connection.
    placement: Option<Placement>,
    events: EngineEvents,
    next_index: u64,
    last_token: Instant,
    started: Instant,
    resume_attempts: u32,
}

/// Outcome of streaming one generation.
enum StreamOutcome {
    /// The engine sent the end of the output.
    Completed,
    CallerDisconnected,
    /// The engine failed before the first token, so another one may be tried.
    FailedBeforeFirstToken(Failure),
    /// The engine failed, and the caller may have received tokens already.
    FailedMidStream(Failure),
}

impl Relay {
    /// Runs a new generation, falling back to other services while no engine
    /// serves the requested one.
    pub(crate) async fn run(mut self) {
        let mut error = RequestError::default();
        loop {
            let Err(failure) = self.run_service(&mut error).await else { return };
            let fallback = self.request.fallback.clone();
            match fallback.filter(|_| failure.code == Code::NoUpstream) {
                Some(fallback) => self.request = fallback,
                None => return self.fail(error.take().unwrap_or(failure)).await,
            }
        }
    }

    /// Runs the generation on engines of the request's own service; an error
    /// means that the caller has received no token. Records the failure of each
    /// attempt in `error` and returns the last one.
    async fn run_service(&self, error: &mut RequestError<Failure>) -> Result<(), Failure> {
        let mut excluded_engines = SmallVec::new();
        let mut placements_left = MAX_PLACEMENT_ATTEMPTS;
        loop {
            let Err(failure) = self.place_and_stream(&mut excluded_engines).await else {
                return Ok(());
            };
            error.record(failure.verdict, failure.clone());
            placements_left -= 1;
            let is_refused =
                matches!(failure.code, Code::NoUpstream | Code::WorkspaceLimit | Code::Overloaded);
            if placements_left == 0 || is_refused || !self.may_retry().await {
                return Err(failure);
            }
        }
    }

    /// Resumes a generation that was started for an earlier caller connection.
    pub(crate) async fn resume(self, generation: GenerationId, address: CompactString, from: u64) {
        let workspace = self.request.workspace.as_str();
        let events = self.engine.resume(&address, &generation, from, workspace).await;
        let events = match events {
            Ok(events) => events,
            Err(error) => {
                let message = format!("the generation cannot be resumed: {error}");
                self.fail(Failure::ran(Code::ResumeGone, message)).await;
                return;
            }
        };
        let now = Instant::now();
        let running = RunningGeneration {
            generation,
            address,
            placement: None,
            events,
            next_index: from,
            last_token: now,
            started: now,
            resume_attempts: 0,
        };
        match self.stream(running).await {
            StreamOutcome::Completed | StreamOutcome::CallerDisconnected => {}
            StreamOutcome::FailedBeforeFirstToken(failure)
            | StreamOutcome::FailedMidStream(failure) => {
                self.fail(Failure { verdict: verdict::Verdict::Ran, ..failure }).await;
            }
        }
    }

    /// Requests a placement and runs the generation there; an error means that
    /// the caller has received no token.
    async fn place_and_stream(
        &self,
        excluded_engines: &mut SmallVec<[CompactString; 2]>,
    ) -> Result<(), Failure> {
        let placement = self.request_placement(excluded_engines.clone()).await?;
        excluded_engines.push(placement.upstream.clone());
        let engine: UpstreamName = match placement.upstream.parse() {
            Ok(engine) => engine,
            Err(error) => {
                self.release(placement, 0, false);
                return Err(Failure::not_run(Code::Internal, format!("engine name: {error}")));
            }
        };
        let generation = GenerationId { engine, nonce: rand::rng().random() };
        let started = Instant::now();
        let events = match self.start(&generation, &placement).await {
            Ok(events) => events,
            Err(error) => {
                self.release(placement, 0, false);
                return Err(start_failure(&error));
            }
        };
        let _ = self.sink.send(RelayEvent::Started(generation.clone())).await;
        let running = RunningGeneration {
            generation,
            address: placement.address.clone(),
            placement: Some(placement),
            events,
            next_index: 0,
            last_token: started,
            started,
            resume_attempts: 0,
        };
        match self.stream(running).await {
            StreamOutcome::Completed | StreamOutcome::CallerDisconnected => Ok(()),
            StreamOutcome::FailedBeforeFirstToken(failure) => Err(failure),
            StreamOutcome::FailedMidStream(failure) => {
                self.fail(failure).await;
                Ok(())
            }
        }
    }

    async fn request_placement(
        &self,
        excluded_engines: SmallVec<[CompactString; 2]>,
    ) -> Result<Placement, Failure> {
        let request = &self.request;
        let placement_request = PlacementRequest {
            service: request.service.clone(),
            workspace: request.workspace.clone(),
            share: request.share,
            max_running: request.max_streams,
            max_waiting: request.max_waiting,
            priority: request.priority.name.as_str().into(),
            rank: request.priority.rank,
            max_wait_ms: request.priority.max_wait_ms,
            max_on_time_wait_ms: request.priority.first_token_ms,
            required_artifacts: [&request.version, &request.adapter]
                .into_iter()
                .filter(|required| !required.is_empty())
                .cloned()
                .collect(),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.max_output_tokens,
            prefix: routing::prefix_hash(&request.prompt),
            excluded_engines,
        };
        let message =
            RequestPlacement { request: placement_request, traceparent: self.span.traceparent() };
        let stopping = |_| Failure::not_run(Code::Unavailable, "the entry is stopping");
        let placement = self.shared.broker.send(message).await.map_err(stopping)??;
        self.span.set_attribute("engine", placement.upstream.to_string());
        self.span
            .set_attribute("waited_ms", i64::try_from(placement.waited_ms).unwrap_or(i64::MAX));
        Ok(placement)
    }

    async fn start(
        &self,
        generation: &GenerationId,
        placement: &Placement,
    ) -> Result<EngineEvents, EngineError> {
        let request = &self.request;
        let start = StartGeneration {
            generation: generation.to_string(),
            version: request.version.to_string(),
            adapter: request.adapter.to_string(),
            workspace: request.workspace.to_string(),
            prompt: request.prompt.clone(),
            max_output_tokens: request.max_output_tokens,
            priority: request.priority.rank,
            detach_ms: self.shared.config.timers.resume_window_ms,
        };
        let span = self.shared.spans.start_client_span("upstream.generation", &self.span);
        let limit = Duration::from_millis(request.priority.stall_ms);
        let traceparent = span.traceparent();
        let starting = self.engine.start(&placement.address, &start, &traceparent);
        match timeout(limit, starting).await {
            Ok(result) => result,
            Err(_) => {
                self.cancel(generation, &placement.address).await;
                Err(EngineError::Lost("no answer to the start request".to_string()))
            }
        }
    }

    async fn stream(&self, mut running: RunningGeneration) -> StreamOutcome {
        let outcome = self.forward_events(&mut running).await;
        if let Some(placement) = running.placement.take() {
            let tokens = running.next_index;
            match &outcome {
                StreamOutcome::Completed => self.release(placement, tokens, true),
                StreamOutcome::CallerDisconnected => {
                    self.release_after_resume_window(placement, tokens)
                }
                StreamOutcome::FailedBeforeFirstToken(_) | StreamOutcome::FailedMidStream(_) => {
                    self.release(placement, tokens, false)
                }
            }
        }
        outcome
    }

    async fn forward_events(&self, running: &mut RunningGeneration) -> StreamOutcome {
        let stall = Duration::from_millis(self.request.priority.stall_ms);
        loop {
            let event = tokio::select! {
                event = timeout(stall, running.events.next()) => event,
                () = self.sink.closed() => return StreamOutcome::CallerDisconnected,
            };
            let failure = match event {
                Ok(Some(Ok(EngineEvent::Token { index, text }))) => {
                    if index == running.next_index {
                        self.observe_token(running);
                        if self.sink.send(RelayEvent::Token(index, text)).await.is_err() {
                            return StreamOutcome::CallerDisconnected;
                        }
                        continue;
                    }
                    if index < running.next_index {
                        continue;
                    }
                    Failure::ran(Code::UpstreamFailed, "the engine skipped a token")
                }
                Ok(Some(Ok(EngineEvent::End { reason, output_tokens })))
                    if output_tokens == running.next_index =>
                {
                    let _ = self.sink.send(RelayEvent::End { reason, output_tokens }).await;
                    return StreamOutcome::Completed;
                }
                Ok(Some(Ok(EngineEvent::End { output_tokens, .. })))
                    if output_tokens < running.next_index =>
                {
                    let message = "the engine ended the output before a token that it sent";
                    return StreamOutcome::FailedMidStream(Failure::ran(
                        Code::UpstreamFailed,
                        message,
                    ));
                }
                Ok(Some(Ok(EngineEvent::End { .. }))) => {
                    Failure::ran(Code::UpstreamFailed, "the engine ended with tokens missing")
                }
                Ok(Some(Err(error))) => Failure::ran(Code::UpstreamFailed, error.to_string()),
                Ok(None) => Failure::ran(Code::UpstreamFailed, "the engine closed the stream"),
                Err(_) => {
                    self.observe_stall(running);
                    Failure::ran(Code::Stalled, "the engine made no progress")
                }
            };
            if let Some(outcome) = self.reconnect(running, failure).await {
                return outcome;
            }
        }
    }

    /// Resumes the same generation over a new connection; returns the outcome
    /// if that fails.
    async fn reconnect(
        &self,
        running: &mut RunningGeneration,
        failure: Failure,
    ) -> Option<StreamOutcome> {
        let workspace = self.request.workspace.as_str();
        while running.resume_attempts < MAX_RESUME_ATTEMPTS {
            running.resume_attempts += 1;
            let RunningGeneration { generation, address, next_index, .. } = &*running;
            let resuming = self.engine.resume(address, generation, *next_index, workspace);
            let stall = Duration::from_millis(self.request.priority.stall_ms);
            match timeout(stall, resuming).await {
                Ok(Ok(events)) => {
                    running.events = events;
                    self.shared.metrics.retries.with_label_values(&["resume"]).inc();
                    return None;
                }
                // Not retried: the engine usually refuses because it no longer has
                // the generation.
                Ok(Err(EngineError::Refused(..) | EngineError::Failed(..))) => break,
                Ok(Err(_)) => sleep(RESUME_DELAY * running.resume_attempts).await,
                Err(_) => {}
            }
        }
        self.cancel(&running.generation, &running.address).await;
        if running.next_index == 0 && running.placement.is_some() {
            return Some(StreamOutcome::FailedBeforeFirstToken(failure));
        }
        Some(StreamOutcome::FailedMidStream(failure))
    }

    fn observe_token(&self, running: &mut RunningGeneration) {
        let now = Instant::now();
        let (service, metrics) = (self.request.service.as_str(), &self.shared.metrics);
        let gap = now - running.last_token;
        if running.next_index == 0 {
            let seconds = (now - running.started).as_secs_f64();
            metrics.first_token_seconds.with_label_values(&[service]).observe(seconds);
        } else {
            let seconds = gap.as_secs_f64();
            metrics.between_tokens_seconds.with_label_values(&[service]).observe(seconds);
        }
        metrics.tokens.with_label_values(&[service]).inc();
        running.last_token = now;
        running.next_index += 1;
        running.resume_attempts = 0;
        if running.next_index.is_multiple_of(PROGRESS_INTERVAL_TOKENS)
            && let Some(placement) = &running.placement
        {
            self.shared.broker.do_send(ReportProgress {
                upstream: placement.upstream.clone(),
                credit: placement.credit,
                output_tokens: running.next_index,
            });
        }
    }

    fn observe_stall(&self, running: &RunningGeneration) {
        let seconds = running.last_token.elapsed().as_secs_f64();
        let service = self.request.service.as_str();
        self.shared.metrics.stall_seconds.with_label_values(&[service]).observe(seconds);
        log::warn!(service, generation = running.generation.to_string().as_str(), index = running.next_index; "generation stalled");
    }

    async fn cancel(&self, generation: &GenerationId, address: &str) {
        let workspace = self.request.workspace.as_str();
        if let Err(error) = self.engine.cancel(address, generation, workspace).await {
            log::debug!(generation = generation.to_string().as_str(), error = error.to_string().as_str(); "engine did not confirm the cancellation");
        }
    }

    async fn may_retry(&self) -> bool {
        let service = self.request.service.clone();
        let spend = SpendRetryBudget { service, reason: "placement" };
        self.shared.broker.send(spend).await.unwrap_or(false)
    }

    fn release(&self, placement: Placement, output_tokens: u64, completed: bool) {
        self.shared.broker.do_send(self.release_message(placement, output_tokens, completed));
    }

    /// Releases the credit after the resume window, as the engine keeps the
    /// generation until then.
    fn release_after_resume_window(&self, placement: Placement, output_tokens: u64) {
        let window = Duration::from_millis(self.shared.config.timers.resume_window_ms);
        let release = self.release_message(placement, output_tokens, false);
        let broker = self.shared.broker.clone();
        actix_rt::spawn(async move {
            sleep(window).await;
            broker.do_send(release);
        });
    }

    fn release_message(
        &self,
        placement: Placement,
        output_tokens: u64,
        completed: bool,
    ) -> ReleasePlacement {
        ReleasePlacement(Release {
            placement,
            service: self.request.service.clone(),
            workspace: self.request.workspace.clone(),
            share: self.request.share,
            prompt_tokens: self.request.prompt_tokens,
            output_tokens,
            output_complete: completed,
        })
    }

    async fn fail(&self, failure: Failure) {
        self.span.set_error(failure.to_string());
        let _ = self.sink.send(RelayEvent::Failed(failure)).await;
    }
}

fn start_failure(error: &EngineError) -> Failure {
    match error {
        EngineError::Connect(_) | EngineError::Refused(..) => {
            Failure::not_run(Code::UpstreamFailed, error.to_string())
        }
        EngineError::Failed(..) | EngineError::Lost(_) | EngineError::Event(_) => {
            Failure::may_have_run(Code::UpstreamFailed, error.to_string())
        }
    }
}
