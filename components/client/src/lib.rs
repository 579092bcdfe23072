//! Client of the control processes, which finds their leader.

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

/// Attempts that fit into the time of one request, so that a silent leader
/// leaves time to find the next one.
const ATTEMPTS: u32 = 5;
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_DELAY_MS: std::ops::Range<u64> = 20..80;

/// Why the control processes gave no answer.
#[derive(Clone, Debug, Display)]
pub enum ControlError {
    /// no control process answered in time; the last error was: {0}
    Unavailable(String),
    /// the control processes refused: {0}
    Refused(String),
}

/// Sends requests to the leader of the control processes.
///
/// Requests are repeated until their deadline, so each must be idempotent.
#[derive(Clone, Debug)]
pub struct ControlClient {
    links: Arc<[Link]>,
    /// Index of the process that led last.
    leader: Arc<AtomicUsize>,
}

impl std::error::Error for ControlError {}

impl ControlClient {
    /// Creates a client of the control processes at `addresses`, which must
    /// not be empty.
    pub fn new(endpoint: &Endpoint, addresses: &[SocketAddr]) -> Self {
        let links = addresses.iter().map(|address| endpoint.link(*address, Role::Control));
        ControlClient { links: links.collect(), leader: Arc::default() }
    }

    /// Sends a request until it is answered or `limit` has passed.
    pub async fn call(
        &self,
        body: request::Body,
        traceparent: String,
        limit: Duration,
    ) -> Result<reply::Body, ControlError> {
        let deadline = Instant::now() + limit;
        let request = Request { traceparent, body: Some(body) };
        let attempt_limit = attempt_limit(&request, limit);
        let mut last_error = String::from("none");
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlError::Unavailable(last_error));
            }
            let index = self.leader.load(Ordering::Relaxed) % self.links.len();
            match self.links[index].call(request.clone(), attempt_limit.min(left)).await {
                Ok(body) => return Ok(body),
                Err(CallError::Refused(error)) if is_final(error.code()) => {
                    return Err(ControlError::Refused(error.message));
                }
                Err(CallError::Refused(error)) => {
                    self.follow(index, &error.leader_address);
                    last_error = error.message;
                }
                Err(error) => {
                    self.follow(index, "");
                    last_error = error.to_string();
                }
            }
            let delay_ms = rand::rng().random_range(RETRY_DELAY_MS);
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Turns to the named leader, or to the next process.
    fn follow(&self, asked: usize, leader_address: &str) {
        let named = leader_address.parse().ok().and_then(|address: SocketAddr| {
            self.links.iter().position(|link| link.address() == address)
        });
        let next = named.unwrap_or(asked + 1);
        self.leader.store(next % self.links.len(), Ordering::Relaxed);
    }
}

fn is_final(code: ErrorCode) -> bool {
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

/// Returns how long one attempt may take; a wait for a record takes its time.
fn attempt_limit(request: &Request, limit: Duration) -> Duration {
    let attempt = (limit / ATTEMPTS).clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
    match &request.body {
        Some(request::Body::AwaitRecord(wait)) => attempt + Duration::from_millis(wait.timeout_ms),
        _ => attempt,
    }
}
