//! Attempts of one request at upstreams: how they ended, and whether another may follow.

use compact_str::CompactString;
use http::{Response, StatusCode};
use tokio::time::Instant;
use verdict::RequestError;

use crate::accept::{Call, RETRY_AFTER_NO_UPSTREAM};
use crate::answer::{Body, Refusal};
use crate::eligibility::Excluded;

/// Maximum number of upstreams that one request is sent to, including those
/// that reject it.
pub(crate) const MAX_SENDS: u32 = 4;
/// Maximum number of upstreams that accept no connection before a request is given up.
pub(crate) const MAX_UNREACHABLE: u32 = 8;

/// Reason of the answer to a request that only evacuated upstreams would take.
pub(crate) const EVACUATED: &str = "upstreams evacuated";

/// How one attempt ended.
pub(crate) enum Attempt {
    /// The upstream's response, ready for the caller.
    Responded(Response<Body>),
    /// The upstream did not run the request.
    Rejected(&'static str),
    /// The upstream accepts no connection.
    Unreachable,
    /// The data centre of the upstream was evacuated before the request was sent.
    Evacuated,
    /// The upstream ran the request and returned a server error.
    Failed(Response<Body>),
    /// The upstream's status would promise callers that the request has not run, which the
    /// upstream does not state; the request may have run.
    Ambiguous(&'static str),
    /// The response was lost; the request may have run.
    Lost(&'static str),
    /// The request was quarantined; it may have run.
    Withdrawn(&'static str),
    TimedOut,
}

/// Attempts of one request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Upstreams that may have run the request.
    pub(crate) runs: u32,
    /// Upstreams that the request reached.
    pub(crate) sends: u32,
    /// Upstreams that accepted no connection.
    unreachable: u32,
    /// Those that the request reached.
    pub(crate) reached: Excluded,
    /// Server error that an upstream returned, with its id.
    pub(crate) failed: Option<(Response<Body>, CompactString)>,
    pub(crate) error: RequestError<Refusal>,
}

impl Attempts {
    /// Returns the attempts that another gateway made before it handed the call on.
    pub(crate) fn from_peer(runs: u32, sends: u32, reached: Excluded) -> Self {
        let mut attempts = Attempts { runs, sends, reached, ..Attempts::default() };
        if runs > 0 {
            let reason = "an earlier attempt may have run";
            attempts.refuse(Refusal::unknown_outcome(StatusCode::BAD_GATEWAY, reason));
        }
        attempts
    }

    /// Returns the number of upstreams that accepted no connection.
    pub(crate) fn unreachable(&self) -> u32 {
        self.unreachable
    }

    /// Records the refusal of one attempt.
    pub(crate) fn refuse(&mut self, refusal: Refusal) {
        self.error.record(refusal.verdict, refusal);
    }

    /// Records an attempt that ended without a response for the caller.
    pub(crate) fn record(&mut self, call: &Call, ended: Attempt, upstream: &CompactString) {
        match ended {
            Attempt::Unreachable => self.unreachable += 1,
            Attempt::Evacuated => {}
            _ => {
                self.sends += 1;
                self.reached.push(upstream.clone());
            }
        }
        match ended {
            Attempt::Responded(_) => {}
            Attempt::Rejected(reason) => {
                self.refuse(Refusal::unavailable(reason, call.retry_after_full()));
            }
            Attempt::Unreachable => {
                self.refuse(Refusal::unavailable("upstream unreachable", call.retry_after_full()));
            }
            Attempt::Evacuated => {
                self.refuse(Refusal::unavailable(EVACUATED, RETRY_AFTER_NO_UPSTREAM));
            }
            Attempt::Failed(response) => {
                self.runs += 1;
                self.failed = Some((response, upstream.clone()));
            }
            Attempt::Ambiguous(reason) | Attempt::Lost(reason) => self.record_lost(reason),
            Attempt::Withdrawn(reason) => {
                self.refuse(Refusal::unknown_outcome(StatusCode::BAD_GATEWAY, reason));
            }
            Attempt::TimedOut => {
                self.refuse(Refusal::unknown_outcome(StatusCode::GATEWAY_TIMEOUT, "timed out"));
            }
        }
    }

    /// Records an attempt that may have run the request and has no response for the caller.
    pub(crate) fn record_lost(&mut self, reason: &'static str) {
        self.runs += 1;
        self.refuse(Refusal::unknown_outcome(StatusCode::BAD_GATEWAY, reason));
    }

    /// Returns whether the request may be sent to another upstream.
    pub(crate) fn may_go_on(&self, call: &Call) -> bool {
        let may_run = self.runs == 0 || (call.may_repeat() && self.runs < call.route.max_attempts);
        let may_send = self.sends < MAX_SENDS && self.unreachable < MAX_UNREACHABLE;
        may_run && may_send && Instant::now() < call.until
    }
}
