//! Upstreams that an entry knows of.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schema::{DigestRequest, UpstreamDigest, UpstreamKind};

/// Upstream as an entry knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// State as its owner last told.
    pub digest: UpstreamDigest,
    /// VM of its owner.
    pub owner_vm: CompactString,
    /// Time after which the state is no longer believed.
    pub expires_ms: u64,
    /// Requests that this entry has in flight there.
    pub in_flight: u32,
    /// Its owner did not answer since it last told of the upstream.
    pub distrusted: bool,
}

impl Known {
    /// Returns whether new work may be sent there.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        !self.digest.leaving && !self.distrusted && now_ms < self.expires_ms
    }

    /// Returns whether the upstream serves all of `needs`.
    pub fn serves(&self, kind: UpstreamKind, needs: &[&str]) -> bool {
        let serves = |need: &&str| self.digest.serves.iter().any(|served| served == need);
        self.digest.kind() == kind && needs.iter().all(serves)
    }
}

/// Upstreams that an entry knows of, by name.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<CompactString, Known>,
    owners: BTreeMap<CompactString, OwnerState>,
}

#[derive(Debug)]
struct OwnerState {
    epoch: u64,
    sequence: u64,
}

impl Directory {
    /// Applies what an owner tells; returns false for a message that arrived
    /// out of order or lacks a predecessor, so that the owner sends a whole list.
    pub fn apply(&mut self, request: DigestRequest, lease_ms: u64, now_ms: u64) -> bool {
        let owner_vm = CompactString::from(request.vm.as_str());
        let expected = self
            .owners
            .get(&owner_vm)
            .filter(|state| state.epoch == request.epoch)
            .map(|state| state.sequence + 1);
        let is_late = expected.is_some_and(|expected| request.sequence < expected);
        if is_late || (!request.whole && expected != Some(request.sequence)) {
            return false;
        }
        let state = OwnerState { epoch: request.epoch, sequence: request.sequence };
        self.owners.insert(owner_vm.clone(), state);
        if request.whole {
            let named = |name: &str| request.upstreams.iter().any(|u| u.upstream == name);
            self.known.retain(|name, known| known.owner_vm != owner_vm || named(name));
        }
        for digest in request.upstreams {
            self.put(&owner_vm, digest, lease_ms, now_ms);
        }
        let expires_ms = now_ms + lease_ms;
        for known in self.known.values_mut().filter(|known| known.owner_vm == owner_vm) {
            known.expires_ms = expires_ms;
            known.distrusted = false;
        }
        true
    }

    /// Stores the state of one upstream.
    pub fn put(&mut self, owner_vm: &str, digest: UpstreamDigest, lease_ms: u64, now_ms: u64) {
        let name = CompactString::from(digest.upstream.as_str());
        if digest.gone {
            self.known.remove(&name);
            return;
        }
        let expires_ms = now_ms + lease_ms;
        let in_flight = self.known.get(&name).map_or(0, |known| known.in_flight);
        // A change names only what changed; the rest stays as it was told.
        let digest = match self.known.get(&name) {
            Some(known) if digest.address.is_empty() => UpstreamDigest {
                free_tokens: digest.free_tokens,
                running: digest.running,
                leaving: digest.leaving,
                ..known.digest.clone()
            },
            None if digest.address.is_empty() => return,
            _ => digest,
        };
        let owner_vm = owner_vm.into();
        let known = Known { digest, owner_vm, expires_ms, in_flight, distrusted: false };
        self.known.insert(name, known);
    }

    /// Forgets upstreams whose state has not been refreshed for a while.
    pub fn expire(&mut self, now_ms: u64) {
        self.known.retain(|_, known| now_ms < known.expires_ms || known.in_flight > 0);
    }

    /// Sends no new work to the upstreams of an owner until it tells of them
    /// again.
    pub fn distrust(&mut self, owner_vm: &str) {
        for known in self.known.values_mut().filter(|known| known.owner_vm == owner_vm) {
            known.distrusted = true;
        }
    }

    /// Returns an upstream by its name.
    pub fn get(&self, upstream: &str) -> Option<&Known> {
        self.known.get(upstream)
    }

    /// Returns upstreams that take new work and serve all of `needs`.
    pub fn candidates<'a>(
        &'a self,
        kind: UpstreamKind,
        needs: &'a [&'a str],
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Known> {
        let usable = move |known: &&Known| known.takes_work(now_ms) && known.serves(kind, needs);
        self.known.values().filter(usable)
    }

    /// Counts a request that was sent to an upstream.
    pub fn started(&mut self, upstream: &str) {
        if let Some(known) = self.known.get_mut(upstream) {
            known.in_flight += 1;
        }
    }

    /// Counts the end of a request.
    pub fn ended(&mut self, upstream: &str) {
        if let Some(known) = self.known.get_mut(upstream) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Returns all known upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }
}
