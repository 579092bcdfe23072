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

/// Number of attempts that fit into the timeout of one request, so that there is
/// time to find a new leader if the old one does not respond.
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
    /// Index of the last known leader in `links`.
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
    /// until `limit` has passed.
    pub async fn call(
        &self,
        body: request::Body,
        traceparent: String,
        limit: Duration,
    ) -> Result<reply::Body, ControlError> {
        let deadline = Instant::now() + limit;
        let request = Request { traceparent, body: Some(body) };
        let attempt_timeout = attempt_timeout(&request, limit);
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

    /// Makes the process at `leader_address` the leader to try next, or the process
    /// after `tried` if the address is unknown.
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

/// Returns the timeout of one attempt. A request that waits for a record gets its
/// wait time in addition.
fn attempt_timeout(request: &Request, limit: Duration) -> Duration {
    let attempt = (limit / ATTEMPTS_PER_REQUEST).clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
    match &request.body {
        Some(request::Body::AwaitRecord(await_record)) => {
            attempt + Duration::from_millis(await_record.timeout_ms)
        }
        _ => attempt,
    }
}
