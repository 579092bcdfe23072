//! Client that sends requests to the leader of the control group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use credentials::Role;
use displaydoc::Display;
use rand::RngExt as _;
use schema::{ErrorCode, Request, reply, request};
use tokio::time::{Instant, sleep};
use wire::{CallError, Endpoint, Link};

/// Number of attempts among which the timeout of one request is divided, so that
/// there is time to find a new leader if the old one does not respond. The share of
/// an attempt is clamped to the range from `MIN_ATTEMPT_TIMEOUT` to
/// `MAX_ATTEMPT_TIMEOUT`.
const ATTEMPTS_PER_REQUEST: u32 = 5;
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_DELAY_MS: std::ops::Range<u64> = 20..80;

/// Error of a request to the control group.
#[derive(Clone, Debug, Display)]
pub enum ControlError {
    /// no control process answered in time; the last error was: {0}
    Unavailable(String),
    /// the control processes refused: {0}
    Refused(String),
}

/// Sends requests to the leader of the control group.
///
/// Requests are retried until their deadline, so they must be idempotent.
#[derive(Clone, Debug)]
pub struct ControlClient {
    links: Arc<[Link]>,
    /// Index in `links` of the process to try next: the last known leader, or
    /// the next process in turn if the leader is unknown.
    leader: Arc<AtomicUsize>,
}

impl std::error::Error for ControlError {}

impl ControlClient {
    /// Creates a client for the control processes at `addresses`, which must not
    /// be empty.
    pub fn new(endpoint: &Endpoint, addresses: &[SocketAddr]) -> Self {
        let links = addresses.iter().map(|address| endpoint.link(*address, Role::Control));
        ControlClient { links: links.collect(), leader: Arc::default() }
    }

    /// Sends a request and retries it until it gets a reply or a permanent error, or
    /// until `timeout` has passed.
    pub async fn call(
        &self,
        body: request::Body,
        traceparent: String,
        timeout: Duration,
    ) -> Result<reply::Body, ControlError> {
        let deadline = Instant::now() + timeout;
        let request = Request { traceparent, body: Some(body) };
        let attempt_timeout = attempt_timeout(&request, timeout);
        let mut last_error = String::from("none");
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ControlError::Unavailable(last_error));
            }
            let index = self.leader.load(Ordering::Relaxed) % self.links.len();
            match self.links[index].call(request.clone(), attempt_timeout.min(remaining)).await {
                Ok(body) => return Ok(body),
                Err(CallError::Refused(error)) if is_permanent(error.code()) => {
                    return Err(ControlError::Refused(error.message));
                }
                Err(CallError::Refused(error)) => {
                    self.switch_leader(index, &error.leader_address);
                    last_error = error.message;
                }
                Err(error) => {
                    self.switch_leader(index, "");
                    last_error = error.to_string();
                }
            }
            let delay_ms = rand::rng().random_range(RETRY_DELAY_MS);
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Selects the process at `leader_address` for the next attempt, or the process
    /// after `tried` if there is no link to that address.
    fn switch_leader(&self, tried: usize, leader_address: &str) {
        let known_leader = leader_address.parse().ok().and_then(|address: SocketAddr| {
            self.links.iter().position(|link| link.address() == address)
        });
        let next = known_leader.unwrap_or(tried + 1);
        self.leader.store(next % self.links.len(), Ordering::Relaxed);
    }
}

fn is_permanent(code: ErrorCode) -> bool {
    match code {
        ErrorCode::Forbidden | ErrorCode::Invalid => true,
        ErrorCode::Unspecified
        | ErrorCode::NotLeader
        | ErrorCode::Overloaded
        | ErrorCode::NotInitialised
        | ErrorCode::UnknownOutcome
        | ErrorCode::NotOwner => false,
    }
}

/// Returns the timeout of one attempt. For a request that waits for a record, the
/// time of that wait is added.
fn attempt_timeout(request: &Request, timeout: Duration) -> Duration {
    let attempt = (timeout / ATTEMPTS_PER_REQUEST).clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
    match &request.body {
        Some(request::Body::AwaitRecord(await_record)) => {
            attempt + Duration::from_millis(await_record.timeout_ms)
        }
        _ => attempt,
    }
}
