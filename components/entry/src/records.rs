//! Calls that run at most once per idempotency key.
//!
//! A record is opened with the control processes before the first byte is sent
//! to an upstream. Only the attempt that owns the record runs; other requests
//! with the same key wait for its outcome, and try to own the record themselves
//! if it was released.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt as _;
use schema::record_outcome::State as RecordState;
use schema::{
    AwaitRecordRequest, BeginRecord, FinishRecord, RecordKey, RecordOutcome, ReleaseRecord,
    StoredAnswer, Unknown, finish_record, reply, request,
};
use telemetry::Span;
use tokio::time::{Instant, sleep};
use verdict::{Code, Failure};

use crate::control::ControlError;
use crate::shared::Shared;

const ATTEMPT_ID_BYTES: usize = 16;
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum time spent in the background on reporting the end of a record.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum wait of one `AwaitRecord` request; longer waits repeat it.
const MAX_AWAIT_MS: u64 = 10_000;

/// Outcome of sending a call.
#[derive(Debug)]
pub(crate) enum Execution {
    /// An upstream sent a complete response.
    Answered(StoredAnswer),
    /// No upstream ran the call: nothing was sent, or the upstream refused it.
    NotRun(Failure),
    /// An upstream may have run the call, but its response is lost or incomplete.
    Unknown(Failure),
}

/// Call that runs at most once under its key.
pub(crate) struct AtMostOnceCall {
    pub(crate) shared: Shared,
    pub(crate) key: RecordKey,
    pub(crate) fingerprint: Bytes,
    /// Maximum wait for a run that another request has begun, or for this entry
    /// to be registered.
    pub(crate) max_wait: Duration,
}

/// Returns a hash of a request, to detect another request under the same key.
pub(crate) fn fingerprint(method: &str, path: &str, body: &[u8]) -> Bytes {
    let hash = hashing::sha256([method.as_bytes(), path.as_bytes(), body]);
    Bytes::copy_from_slice(&hash)
}

impl AtMostOnceCall {
    /// Runs `execute` if no other attempt owns the record, and else waits for that
    /// attempt; returns the result of the one run in either case.
    pub(crate) async fn run<F, E>(self, span: &Span, execute: F) -> Result<StoredAnswer, Failure>
    where
        F: FnOnce() -> E,
        E: Future<Output = Execution>,
    {
        let deadline = Instant::now() + self.max_wait;
        let attempt = loop {
            let attempt = Bytes::copy_from_slice(&rand::rng().random::<[u8; ATTEMPT_ID_BYTES]>());
            let outcome = self.begin(&attempt, span).await?;
            match outcome {
                RecordState::Owned(_) => break attempt,
                RecordState::Running(_) => {
                    if let Some(outcome) = self.await_running_attempt(deadline, span).await? {
                        return self.result_for(outcome);
                    }
                }
                RecordState::NotMember(_) | RecordState::Released(_) => {
                    if Instant::now() >= deadline {
                        let message = "this entry is not registered now";
                        return Err(Failure::not_run(Code::Unavailable, message));
                    }
                    sleep(REGISTRATION_RETRY_DELAY).await;
                }
                outcome => return self.result_for(outcome),
            }
        };
        match execute().await {
            Execution::Answered(answer) => {
                self.finish(
                    attempt,
                    finish_record::Outcome::Answer(self.truncate_oversized(&answer)),
                );
                Ok(answer)
            }
            Execution::NotRun(failure) => {
                self.release(attempt);
                Err(failure)
            }
            Execution::Unknown(failure) => {
                let reason = failure.message.clone();
                self.finish(attempt, finish_record::Outcome::Unknown(Unknown { reason }));
                Err(failure)
            }
        }
    }

    async fn begin(&self, attempt: &Bytes, span: &Span) -> Result<RecordState, Failure> {
        let begin = BeginRecord {
            key: Some(self.key.clone()),
            fingerprint: self.fingerprint.clone(),
            attempt: attempt.clone(),
            vm: self.shared.config.vm.to_string(),
            epoch: self.shared.epoch,
        };
        let span = self.shared.spans.start_client_span("control.begin_record", span);
        let limit = Duration::from_millis(self.shared.config.timers.control_timeout_ms);
        let body = request::Body::BeginRecord(begin);
        let result = self.shared.control.call(body, span.traceparent(), limit).await;
        match result {
            Ok(reply::Body::Record(RecordOutcome { state: Some(state) })) => Ok(state),
            Ok(_) => {
                self.release(attempt.clone());
                Err(Failure::not_run(Code::Internal, "control gave another kind of answer"))
            }
            Err(error) => {
                // The request may have opened the record all the same; it is
                // released, since no call was sent under it.
                span.set_error(error.to_string());
                self.release(attempt.clone());
                Err(control_failure(&error))
            }
        }
    }

    /// Waits for the end of another attempt; `None` if there is no record any
    /// more, as after a release, and the key is free again.
    async fn await_running_attempt(
        &self,
        deadline: Instant,
        span: &Span,
    ) -> Result<Option<RecordState>, Failure> {
        let span = self.shared.spans.start_client_span("control.await_record", span);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let message = "the first run under this key has not ended yet";
                let failure = Failure::may_have_run(Code::OutcomeUnknown, message);
                return Err(failure.retry_after_ms(1_000));
            }
            let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
            let wait = AwaitRecordRequest {
                key: Some(self.key.clone()),
                fingerprint: self.fingerprint.clone(),
                timeout_ms: remaining_ms.min(MAX_AWAIT_MS),
            };
            let body = request::Body::AwaitRecord(wait);
            let reply = self.shared.control.call(body, span.traceparent(), remaining).await;
            match reply {
                Ok(reply::Body::Record(RecordOutcome { state: Some(state) })) => match state {
                    RecordState::Running(_) => {}
                    RecordState::Absent(_) => return Ok(None),
                    state => return Ok(Some(state)),
                },
                Ok(_) | Err(_) => {
                    let message = "the control processes cannot be asked for the first run";
                    return Err(Failure::may_have_run(Code::ControlUnavailable, message));
                }
            }
        }
    }

    /// Converts the state of an ended record into the caller's result.
    fn result_for(&self, state: RecordState) -> Result<StoredAnswer, Failure> {
        match state {
            RecordState::Answer(answer) if answer.truncated => {
                let message = "the first run's answer was too large to keep";
                Err(Failure::ran(Code::AnswerNotKept, message))
            }
            RecordState::Answer(answer) => Ok(answer),
            RecordState::Unknown(unknown) => {
                let message = format!("the outcome of the first run is lost: {}", unknown.reason);
                Err(Failure::may_have_run(Code::OutcomeUnknown, message))
            }
            RecordState::Conflict(_) => {
                let message = "the key was used with another request";
                Err(Failure::not_run(Code::KeyConflict, message))
            }
            RecordState::Full(_) => {
                let message = "no more keys can be held now";
                Err(Failure::not_run(Code::Overloaded, message).retry_after_ms(5_000))
            }
            RecordState::Owned(_)
            | RecordState::Running(_)
            | RecordState::Released(_)
            | RecordState::Absent(_)
            | RecordState::NotMember(_) => {
                Err(Failure::not_run(Code::Internal, "unexpected state of the record"))
            }
        }
    }

    fn truncate_oversized(&self, answer: &StoredAnswer) -> StoredAnswer {
        let max_bytes = self.shared.config.limits.max_answer_bytes;
        if answer.body.len() as u64 <= max_bytes {
            return answer.clone();
        }
        StoredAnswer { status: answer.status, truncated: true, ..StoredAnswer::default() }
    }

    fn finish(&self, attempt: Bytes, outcome: finish_record::Outcome) {
        let finish = FinishRecord { key: Some(self.key.clone()), attempt, outcome: Some(outcome) };
        self.report_in_background(request::Body::FinishRecord(finish), FINISH_TIMEOUT);
    }

    fn release(&self, attempt: Bytes) {
        let release = ReleaseRecord { key: Some(self.key.clone()), attempt };
        self.report_in_background(request::Body::ReleaseRecord(release), RELEASE_TIMEOUT);
    }

    /// Reports in the background, so that the caller does not wait for it; a
    /// graceful shutdown does.
    fn report_in_background(&self, body: request::Body, limit: Duration) {
        let control = self.shared.control.clone();
        let guard = self.shared.in_flight.enter();
        actix_rt::spawn(async move {
            if let Err(error) = control.call(body, String::new(), limit).await {
                log::warn!(error = error.to_string().as_str(); "could not finish or release the record of a call");
            }
            drop(guard);
        });
    }
}

fn control_failure(error: &ControlError) -> Failure {
    match error {
        ControlError::Unavailable(_) => {
            Failure::not_run(Code::ControlUnavailable, error.to_string()).retry_after_ms(500)
        }
        ControlError::Refused(_) => Failure::not_run(Code::InvalidRequest, error.to_string()),
    }
}
