//! Whether a gateway reaches upstreams, judged by its own connections.

use std::collections::BTreeSet;

use compact_str::CompactString;

/// Time without a sign of life from any upstream, while requests wait, after which upstreams
/// are probed.
const QUIET_MS: u64 = 400;
/// Upstreams that cannot be reached, with no sign of life between them, after which others are
/// probed.
const MAX_UNREACHABLE: usize = 2;
/// Time after successful probes before the next ones, in which a quiet spell is no suspicion.
const PROBE_PAUSE_MS: u64 = 1_000;
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
    waiting_since_ms: u64,
    /// Last sign of life of any upstream.
    heard_ms: u64,
    /// Upstreams that could not be reached since the last sign of life.
    unreachable: BTreeSet<CompactString>,
    probed_ms: Option<u64>,
}

impl Reachability {
    /// Records that a request is about to wait for an upstream.
    pub(crate) fn start_waiting(&mut self, now_ms: u64) {
        if self.waiting == 0 {
            self.waiting_since_ms = now_ms;
        }
        self.waiting += 1;
    }

    /// Records that a request no longer waits.
    pub(crate) fn end_waiting(&mut self) {
        self.waiting -= 1;
    }

    /// Records bytes or a connection of an upstream.
    pub(crate) fn record_heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
        self.unreachable.clear();
    }

    /// Records an upstream that accepts no connection.
    pub(crate) fn record_unreachable(&mut self, id: &str) {
        self.unreachable.insert(id.into());
    }

    /// Returns whether any upstream gave a sign of life after `since_ms`.
    pub(crate) fn heard_after(&self, since_ms: u64) -> bool {
        self.heard_ms > since_ms
    }

    /// Returns whether other upstreams should be probed, to tell a failure of some upstreams
    /// from one of this gateway's links.
    pub(crate) fn needs_probe(&self, now_ms: u64) -> bool {
        if self.is_cut_off() || self.unreachable.len() >= MAX_UNREACHABLE {
            return true;
        }
        let quiet_since_ms = self.heard_ms.max(self.waiting_since_ms);
        let quiet = self.waiting > 0 && now_ms.saturating_sub(quiet_since_ms) >= QUIET_MS;
        let probed_lately = self.probed_ms.is_some_and(|at_ms| now_ms < at_ms + PROBE_PAUSE_MS);
        quiet && !probed_lately
    }

    /// Records a round of probes of several upstreams, of which some or none were `reached`.
    pub(crate) fn record_probes(&mut self, reached: bool, now_ms: u64) {
        self.probed_ms = Some(now_ms);
        if reached {
            self.record_heard(now_ms);
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
