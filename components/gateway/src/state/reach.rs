//! Whether a gateway reaches upstreams, judged by its own connections.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

/// Time without a sign of life from any upstream, while requests wait, after which upstreams
/// are probed.
const QUIET_LIMIT: Duration = Duration::from_millis(400);
/// Upstreams that cannot be reached, with no sign of life between them, after which others are
/// probed.
const MAX_UNREACHABLE: usize = 2;
/// Time after successful probes before the next ones, in which a quiet spell is no suspicion.
const PROBE_PAUSE: Duration = Duration::from_millis(1_000);
/// Rounds of successful probes after which all requests are sent to upstreams again; before
/// that, a growing share of them.
const RECOVERY_ROUNDS: u32 = 3;

/// Links of this gateway to upstreams, as a whole.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Links {
    #[default]
    Connected,
    /// No upstream is reached.
    CutOff,
    /// Upstreams are reached again, in this number of rounds of probes.
    Recovering(u32),
}

/// Evidence from this gateway's connections. A service that is down everywhere looks like a
/// partition to one request; only upstreams of all services together tell them apart.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    links: Links,
    /// Requests that wait for an upstream.
    waiting: u32,
    /// When requests began to wait.
    waiting_since: Option<Instant>,
    /// Last sign of life of any upstream.
    heard: Option<Instant>,
    /// Upstreams that could not be reached since the last sign of life.
    unreachable: BTreeSet<CompactString>,
    probed: Option<Instant>,
}

impl Reachability {
    /// Records that a request is about to wait for an upstream.
    pub(crate) fn start_waiting(&mut self, now: Instant) {
        if self.waiting == 0 {
            self.waiting_since = Some(now);
        }
        self.waiting += 1;
    }

    /// Records that a request no longer waits.
    pub(crate) fn end_waiting(&mut self) {
        self.waiting -= 1;
    }

    /// Records bytes or a connection of an upstream.
    pub(crate) fn record_heard(&mut self, now: Instant) {
        self.heard = Some(now);
        self.unreachable.clear();
    }

    /// Records an upstream that accepts no connection.
    pub(crate) fn record_unreachable(&mut self, id: &str) {
        self.unreachable.insert(id.into());
    }

    /// Returns whether any upstream gave a sign of life after `since`.
    pub(crate) fn heard_after(&self, since: Instant) -> bool {
        self.heard > Some(since)
    }

    /// Returns whether other upstreams should be probed, to tell a failure of some upstreams
    /// from one of this gateway's links.
    pub(crate) fn needs_probe(&self, now: Instant) -> bool {
        if self.is_cut_off() || self.unreachable.len() >= MAX_UNREACHABLE {
            return true;
        }
        let quiet_since = self.heard.max(self.waiting_since);
        let quiet = self.waiting > 0 && quiet_since.is_some_and(|at| now >= at + QUIET_LIMIT);
        let probed_lately = self.probed.is_some_and(|at| now < at + PROBE_PAUSE);
        quiet && !probed_lately
    }

    /// Records a round of probes of several upstreams, of which some or none were `reached`.
    pub(crate) fn record_probes(&mut self, reached: bool, now: Instant) {
        self.probed = Some(now);
        if reached {
            self.record_heard(now);
        }
        self.links = match (self.links, reached) {
            (_, false) => Links::CutOff,
            (Links::Connected, true) => Links::Connected,
            (Links::CutOff, true) => Links::Recovering(1),
            (Links::Recovering(rounds), true) if rounds + 1 >= RECOVERY_ROUNDS => Links::Connected,
            (Links::Recovering(rounds), true) => Links::Recovering(rounds + 1),
        };
    }

    /// Returns whether upstreams are out of reach, or were until shortly before.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.links != Links::Connected
    }

    /// Returns the share of the requests that are to be sent to upstreams from here.
    pub(crate) fn local_share(&self) -> f64 {
        match self.links {
            Links::Connected => 1.0,
            Links::CutOff => 0.0,
            Links::Recovering(rounds) => f64::from(rounds) / f64::from(RECOVERY_ROUNDS),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/reach.rs"]
mod tests;
