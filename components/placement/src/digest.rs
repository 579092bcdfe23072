//! Digests: the approximate state of owned upstreams, sent by each owner to
//! its watchers.

use compact_str::CompactString;
use schema::{DigestRequest, UpstreamDigest};

use crate::effect::Effect;
use crate::placer::Placer;
use crate::state::Watcher;

/// Minimum interval between two digests to one watcher. Neither this nor the rate
/// limit below delays a digest after an upstream began to leave or expired.
const MIN_DIGEST_INTERVAL_MS: u64 = 250;
/// Maximum digests that an owner sends per second to all watchers together.
const MAX_DIGESTS_PER_S: u64 = 16;
/// Interval after which owners send a digest even without a change.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_500;
/// Time for which the state of a digest stays valid without another one.
const DIGEST_LEASE_MS: u64 = 4_000;
/// Number of owners whose digests one entry receives.
const FAN_IN: usize = 24;
/// Steps to which the free share of a cache is quantized.
const FREE_TOKENS_STEPS: u64 = 32;
/// Steps to which the number of running generations is quantized.
const RUNNING_STEPS: u32 = 16;

const MS_PER_S: u64 = 1_000;

impl Placer {
    /// Updates the watchers after a membership change.
    pub(crate) fn update_watchers(&mut self) {
        let watchers = routing::watchers(&self.view.members, &self.options.vm, FAN_IN);
        let names: Vec<CompactString> = watchers.iter().map(|m| m.vm.as_str().into()).collect();
        self.watchers.retain(|vm, _| names.contains(vm));
        for name in names {
            let new_watcher = || Watcher { needs_full_list: true, ..Watcher::default() };
            self.watchers.entry(name).or_insert_with(new_watcher);
        }
    }

    pub(crate) fn send_digests(&mut self, now_ms: u64) {
        if now_ms < self.next_digest_ms {
            return;
        }
        let rate_limit_ms = self.watchers.len() as u64 * MS_PER_S / MAX_DIGESTS_PER_S;
        self.next_digest_ms = now_ms + rate_limit_ms.max(MIN_DIGEST_INTERVAL_MS);
        let names: Vec<CompactString> = self.owned.keys().cloned().collect();
        for name in &names {
            self.update_own_directory(name, now_ms);
        }
        let current = names.iter().filter_map(|name| self.own_digest(name));
        let current: Vec<UpstreamDigest> = current.map(quantize_load).collect();
        for (watcher_vm, watcher) in &mut self.watchers {
            if let Some(digest) = watcher.next_digest(&current, now_ms) {
                let vm = self.options.vm.to_string();
                let digest = DigestRequest { vm, epoch: self.options.epoch, ..digest };
                self.effects.push(Effect::SendDigest(watcher_vm.clone(), digest));
            }
        }
    }

    /// Applies a digest of another owner; returns false if the owner must send its
    /// complete list.
    pub fn apply_digest(&mut self, digest: DigestRequest, now_ms: u64) -> bool {
        let applied = self.directory.apply_digests(digest, DIGEST_LEASE_MS, now_ms);
        if applied {
            self.resume_paused_queues(now_ms);
        }
        applied
    }

    /// Records whether a watcher accepted the last digest.
    pub fn handle_digest_ack(&mut self, watcher_vm: &str, accepted: bool) {
        if let Some(watcher) = self.watchers.get_mut(watcher_vm) {
            watcher.in_flight = false;
            watcher.needs_full_list |= !accepted;
        }
    }
}

impl Watcher {
    /// Returns the digest that is due for the watcher, if any.
    fn next_digest(&mut self, current: &[UpstreamDigest], now_ms: u64) -> Option<DigestRequest> {
        if self.in_flight {
            return None;
        }
        let whole = self.needs_full_list;
        let upstreams = if whole { current.to_vec() } else { self.changes(current) };
        if !whole && upstreams.is_empty() && now_ms < self.last_sent_ms + KEEP_ALIVE_INTERVAL_MS {
            return None;
        }
        self.sequence += 1;
        self.needs_full_list = false;
        self.in_flight = true;
        self.last_sent_ms = now_ms;
        self.last_sent = current.iter().map(|d| (d.upstream.clone(), d.clone())).collect();
        Some(DigestRequest { sequence: self.sequence, whole, upstreams, ..Default::default() })
    }

    fn changes(&self, current: &[UpstreamDigest]) -> Vec<UpstreamDigest> {
        let changed = current.iter().filter_map(|digest| {
            let previous = self.last_sent.get(&digest.upstream);
            match previous {
                None => Some(digest.clone()),
                Some(previous) if previous == digest => None,
                Some(previous) if differs_only_in_load(previous, digest) => Some(load_only(digest)),
                Some(_) => Some(digest.clone()),
            }
        });
        let is_current = |name: &String| current.iter().any(|digest| digest.upstream == *name);
        let gone = self.last_sent.keys().filter(|name| !is_current(name)).map(|name| {
            UpstreamDigest { upstream: name.clone(), gone: true, ..Default::default() }
        });
        changed.chain(gone).collect()
    }
}

/// Quantizes the load, so that small changes are not sent.
fn quantize_load(digest: UpstreamDigest) -> UpstreamDigest {
    let tokens_step = (digest.cache_tokens / FREE_TOKENS_STEPS).max(1);
    let running_step = (digest.max_running / RUNNING_STEPS).max(1);
    UpstreamDigest {
        free_tokens: digest.free_tokens / tokens_step * tokens_step,
        running: digest.running / running_step * running_step,
        ..digest
    }
}

fn differs_only_in_load(previous: &UpstreamDigest, digest: &UpstreamDigest) -> bool {
    let UpstreamDigest { free_tokens, running, leaving, .. } = *digest;
    UpstreamDigest { free_tokens, running, leaving, ..previous.clone() } == *digest
}

/// Omits the fields that the watcher already knows.
fn load_only(digest: &UpstreamDigest) -> UpstreamDigest {
    UpstreamDigest {
        upstream: digest.upstream.clone(),
        free_tokens: digest.free_tokens,
        running: digest.running,
        leaving: digest.leaving,
        ..Default::default()
    }
}
