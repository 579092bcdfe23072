//! Coarse state of upstreams, told by each owner to the entries that listen.

use compact_str::CompactString;
use schema::{DigestRequest, UpstreamDigest};

use crate::effect::Effect;
use crate::placer::Placer;
use crate::state::Watcher;

/// Shortest interval between two digests to one watcher.
const DIGEST_INTERVAL_MS: u64 = 250;
/// Digests that an owner sends in each second, however many listen.
const DIGESTS_PER_S: u64 = 16;
/// Interval after which owners speak up even without a change.
const KEEP_ALIVE_MS: u64 = 1_500;
/// Time for which a digest is believed without another one.
const DIGEST_LEASE_MS: u64 = 4_000;
/// Owners that one entry listens to.
const FAN_IN: usize = 24;
/// Steps in which the free share of a cache is told.
const FREE_STEPS: u64 = 32;
/// Steps in which the number of running generations is told.
const RUNNING_STEPS: u32 = 16;

const MS_PER_S: u64 = 1_000;

impl Placer {
    /// Works out who listens after a change of the membership.
    pub(crate) fn follow_watchers(&mut self) {
        let watchers = routing::watchers(&self.view.members, &self.options.vm, FAN_IN);
        let names: Vec<CompactString> = watchers.iter().map(|m| m.vm.as_str().into()).collect();
        self.watchers.retain(|vm, _| names.contains(vm));
        for name in names {
            let first = || Watcher { needs_whole: true, ..Watcher::default() };
            self.watchers.entry(name).or_insert_with(first);
        }
    }

    pub(crate) fn send_digests(&mut self, now_ms: u64) {
        if now_ms < self.next_digest_ms {
            return;
        }
        let spread_ms = self.watchers.len() as u64 * MS_PER_S / DIGESTS_PER_S;
        self.next_digest_ms = now_ms + spread_ms.max(DIGEST_INTERVAL_MS);
        let names: Vec<CompactString> = self.owned.keys().cloned().collect();
        for name in &names {
            self.refresh_own(name, now_ms);
        }
        let current = names.iter().filter_map(|name| self.own_digest(name));
        let current: Vec<UpstreamDigest> = current.map(coarse).collect();
        for (watcher_vm, watcher) in &mut self.watchers {
            if let Some(digest) = watcher.next(&current, now_ms) {
                let vm = self.options.vm.to_string();
                let digest = DigestRequest { vm, epoch: self.options.epoch, ..digest };
                self.effects.push(Effect::Digest(watcher_vm.clone(), digest));
            }
        }
    }

    /// Takes what an owner tells; false if the owner is to send a whole list.
    pub fn take_digest(&mut self, digest: DigestRequest, now_ms: u64) -> bool {
        let applied = self.directory.apply(digest, DIGEST_LEASE_MS, now_ms);
        if applied {
            self.room_reported(now_ms);
        }
        applied
    }

    /// Takes whether a watcher accepted a digest.
    pub fn digest_answered(&mut self, watcher_vm: &str, accepted: bool) {
        if let Some(watcher) = self.watchers.get_mut(watcher_vm) {
            watcher.in_flight = false;
            watcher.needs_whole |= !accepted;
        }
    }
}

impl Watcher {
    /// Returns what to tell the watcher now, if anything.
    fn next(&mut self, current: &[UpstreamDigest], now_ms: u64) -> Option<DigestRequest> {
        if self.in_flight {
            return None;
        }
        let whole = self.needs_whole;
        let upstreams = if whole { current.to_vec() } else { self.changes(current) };
        if !whole && upstreams.is_empty() && now_ms < self.last_sent_ms + KEEP_ALIVE_MS {
            return None;
        }
        self.sequence += 1;
        self.needs_whole = false;
        self.in_flight = true;
        self.last_sent_ms = now_ms;
        self.told = current.iter().map(|d| (d.upstream.clone(), d.clone())).collect();
        Some(DigestRequest { sequence: self.sequence, whole, upstreams, ..Default::default() })
    }

    fn changes(&self, current: &[UpstreamDigest]) -> Vec<UpstreamDigest> {
        let changed = current.iter().filter_map(|digest| {
            let told = self.told.get(&digest.upstream);
            match told {
                None => Some(digest.clone()),
                Some(told) if told == digest => None,
                Some(told) if is_same_but_load(told, digest) => Some(load_only(digest)),
                Some(_) => Some(digest.clone()),
            }
        });
        let is_current = |name: &String| current.iter().any(|digest| digest.upstream == *name);
        let gone = self.told.keys().filter(|name| !is_current(name)).map(|name| UpstreamDigest {
            upstream: name.clone(),
            gone: true,
            ..Default::default()
        });
        changed.chain(gone).collect()
    }
}

/// Rounds the load, so that small changes need no message.
fn coarse(digest: UpstreamDigest) -> UpstreamDigest {
    let step = (digest.cache_tokens / FREE_STEPS).max(1);
    let slots = (digest.max_running / RUNNING_STEPS).max(1);
    UpstreamDigest {
        free_tokens: digest.free_tokens / step * step,
        running: digest.running / slots * slots,
        ..digest
    }
}

fn is_same_but_load(told: &UpstreamDigest, digest: &UpstreamDigest) -> bool {
    let UpstreamDigest { free_tokens, running, leaving, .. } = *digest;
    UpstreamDigest { free_tokens, running, leaving, ..told.clone() } == *digest
}

/// Leaves out what the watcher has been told before.
fn load_only(digest: &UpstreamDigest) -> UpstreamDigest {
    UpstreamDigest {
        upstream: digest.upstream.clone(),
        free_tokens: digest.free_tokens,
        running: digest.running,
        leaving: digest.leaving,
        ..Default::default()
    }
}
