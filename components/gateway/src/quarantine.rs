//! Prompt parts that this gateway rejects, and its evidence on them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ::quarantine::{Crash, Evidence, PartId, PartSet};
use tokio::time::{Instant, sleep};

use crate::accept::Call;
use crate::answer::Refusal;
use crate::shared::Shared;

/// Time for which the list of a control process that is not connected stays in force,
/// and a set that this gateway quarantined by itself.
const STALE_LIST_PERIOD: Duration = Duration::from_secs(120);
/// `Retry-After` of requests with a quarantined part.
const RETRY_AFTER_QUARANTINED: Duration = Duration::from_secs(120);
/// Longest time for which a request waits for a pending set to be quarantined or cleared;
/// several times what that takes.
const MAX_HOLD: Duration = Duration::from_millis(400);
/// Interval at which a request that waits looks at the quarantine again.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Answered parts that wait for the next sync; more are dropped.
const MAX_ANSWERED: usize = 4_096;

/// Quarantined sets of prompt parts, by their first part.
#[derive(Debug, Default)]
struct SetIndex(HashMap<PartId, Vec<PartSet>>);

impl SetIndex {
    fn insert(&mut self, set: PartSet) {
        let first = set.iter().next();
        if let Some(first) = first {
            self.0.entry(first).or_default().push(set);
        }
    }

    /// Returns a set all of whose parts are among `parts`.
    fn find(&self, parts: &[PartId]) -> Option<&PartSet> {
        let sets = parts.iter().filter_map(|part| self.0.get(part)).flatten();
        sets.into_iter().find(|set| set.is_subset_of(parts))
    }
}

/// Quarantine according to one control process.
#[derive(Debug, Default)]
struct SourceList {
    digest: u64,
    quarantined: SetIndex,
    pending: SetIndex,
    disconnected_at: Option<Instant>,
}

/// Quarantine from all control processes, and evidence of this gateway.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    by_source: BTreeMap<SocketAddr, SourceList>,
    /// Parts on which an answer began since the last sync with the arbiter.
    answered: BTreeSet<PartId>,
    /// Evidence of this gateway alone, used while no arbiter replies.
    evidence: Evidence,
    /// Sets that this gateway quarantined by itself, and when.
    own: Vec<(PartSet, Instant)>,
}

impl Quarantine {
    /// Returns a quarantined set of which a request has all parts.
    pub(crate) fn find(&self, parts: &[PartId]) -> Option<&PartSet> {
        let listed = self.by_source.values().find_map(|list| list.quarantined.find(parts));
        let own = || self.own.iter().map(|(set, _)| set);
        listed.or_else(|| own().find(|set| set.is_subset_of(parts)))
    }

    fn is_pending(&self, parts: &[PartId]) -> bool {
        self.by_source.values().any(|list| list.pending.find(parts).is_some())
    }

    /// Returns the digest of the list that was last received from a control process.
    pub(crate) fn digest(&self, source: SocketAddr) -> u64 {
        self.by_source.get(&source).map_or(0, |list| list.digest)
    }

    /// Applies the list of a control process; returns whether it changed.
    fn apply(&mut self, source: SocketAddr, digest: u64, sets: &[schema::PartSet]) -> bool {
        let list = self.by_source.entry(source).or_default();
        list.disconnected_at = None;
        if list.digest == digest {
            return false;
        }
        list.digest = digest;
        list.quarantined = SetIndex::default();
        list.pending = SetIndex::default();
        for set in sets {
            let index = if set.pending { &mut list.pending } else { &mut list.quarantined };
            index.insert(PartSet::new(set.parts.iter().map(|part| PartId(*part))));
        }
        log::info!(control = source.to_string().as_str(), sets = sets.len(); "quarantine of prompt parts changed");
        true
    }

    /// Marks a control process as disconnected; its list stays in force for a while.
    pub(crate) fn disconnect(&mut self, source: SocketAddr) {
        if let Some(list) = self.by_source.get_mut(&source) {
            list.disconnected_at.get_or_insert_with(Instant::now);
            list.pending = SetIndex::default();
        }
    }

    /// Drops the list of a control process that is no longer a member.
    pub(crate) fn remove_source(&mut self, source: SocketAddr) {
        self.by_source.remove(&source);
    }

    /// Drops what is too old.
    pub(crate) fn expire(&mut self) {
        self.by_source.retain(|_, list| {
            list.disconnected_at.is_none_or(|since| since.elapsed() < STALE_LIST_PERIOD)
        });
        self.own.retain(|(_, since)| since.elapsed() < STALE_LIST_PERIOD);
    }

    /// Records a crash in the evidence of this gateway.
    pub(crate) fn record_crash(&mut self, crash: Crash, parts: &[PartId], now_ms: u64) {
        self.evidence.record_crash(crash, parts, now_ms);
    }

    /// Quarantines parts by the evidence of this gateway alone; returns whether a request
    /// with these parts may be repeated.
    pub(crate) fn confirm_alone(&mut self, parts: &[PartId], now_ms: u64) -> bool {
        for set in self.evidence.confirm(now_ms, now_ms) {
            log::warn!(parts = set.to_string().as_str(); "prompt parts quarantined at this gateway: upstreams crash under them");
            self.own.push((set, Instant::now()));
        }
        self.evidence.may_repeat(parts, now_ms)
    }

    /// Adds parts whose report was lost.
    pub(crate) fn restore_answered(&mut self, parts: &[u64]) {
        self.answered.extend(parts.iter().map(|part| PartId(*part)));
    }

    /// Takes the parts on which an answer began since the last call.
    pub(crate) fn take_answered(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.answered).into_iter().map(|part| part.0).collect()
    }
}

/// Records that the answer to a request began.
pub(crate) fn record_answer(shared: &Shared, parts: &[PartId]) {
    let now_ms = shared.now_ms();
    let mut quarantine = shared.quarantine.borrow_mut();
    for part in parts {
        quarantine.evidence.record_answer(*part, now_ms);
        if quarantine.answered.len() < MAX_ANSWERED {
            quarantine.answered.insert(*part);
        }
    }
}

/// Waits while the parts of a request are pending, and rejects it once they are
/// quarantined.
pub(crate) async fn admit(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let parts = &call.head.prompt_parts;
    let until = (Instant::now() + MAX_HOLD).min(call.until);
    while shared.quarantine.borrow().is_pending(parts) && Instant::now() < until {
        sleep(HOLD_POLL_INTERVAL).await;
    }
    check(shared, call)
}

/// Waits until the parts of a request that was sent are quarantined.
pub(crate) async fn wait_for_quarantine(shared: &Shared, call: &Call) {
    let mut changes = shared.quarantine_changes.subscribe();
    while shared.quarantine.borrow().find(&call.head.prompt_parts).is_none() {
        // Fails only once `shared` is gone.
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Applies the quarantine in a sync reply of a control process.
pub(crate) fn apply(shared: &Shared, source: SocketAddr, digest: u64, sets: &[schema::PartSet]) {
    if shared.quarantine.borrow_mut().apply(source, digest, sets) {
        shared.quarantine_changes.send_modify(|changes| *changes += 1);
    }
}

/// Rejects a request that has all parts of a quarantined set.
fn check(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    let quarantine = shared.quarantine.borrow();
    let Some(set) = quarantine.find(&call.head.prompt_parts) else { return Ok(()) };
    log::info!(request = call.head.id.as_str(), parts = set.to_string().as_str(); "request rejected: upstreams crash under parts of its prompt");
    shared.metrics.quarantine_rejections.inc();
    Err(Refusal::unavailable("prompt part quarantined", RETRY_AFTER_QUARANTINED))
}
