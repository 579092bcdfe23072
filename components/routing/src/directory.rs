//! Upstreams known to an entry from the digests of their owners.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schema::{DigestRequest, UpstreamDigest, UpstreamKind};

/// Upstream with its state as known to an entry.
#[derive(Clone, Debug)]
pub struct RoutableUpstream {
    /// State that the owner last reported.
    pub digest: UpstreamDigest,
    /// VM of the entry that owns the upstream.
    pub owner_vm: CompactString,
    /// Time at which the reported state expires.
    pub expires_ms: u64,
    /// Requests that this entry has in flight at the upstream.
    pub in_flight: u32,
    /// The owner did not reply to a request, and no digest of the upstream and no
    /// digest message of the owner has arrived since.
    pub owner_unresponsive: bool,
}

impl RoutableUpstream {
    /// Returns whether new requests may be sent to the upstream.
    pub fn accepts_requests(&self, now_ms: u64) -> bool {
        !self.digest.leaving && !self.owner_unresponsive && now_ms < self.expires_ms
    }

    /// Returns whether the upstream is of this kind and serves every name in
    /// `required`.
    pub fn serves(&self, kind: UpstreamKind, required: &[&str]) -> bool {
        let serves = |name: &&str| self.digest.serves.iter().any(|served| served == name);
        self.digest.kind() == kind && required.iter().all(serves)
    }
}

/// Upstreams known to an entry, by name.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<CompactString, RoutableUpstream>,
    owners: BTreeMap<CompactString, OwnerState>,
}

#[derive(Debug)]
struct OwnerState {
    epoch: u64,
    sequence: u64,
}

impl Directory {
    /// Applies a digest message of an owner and renews the lease of all its
    /// upstreams. Returns false, without effect, if the message arrived out of order
    /// or an earlier one is missing; the owner then sends its complete list.
    pub fn apply_digests(&mut self, request: DigestRequest, lease_ms: u64, now_ms: u64) -> bool {
        let owner_vm = CompactString::from(request.vm.as_str());
        let expected = self
            .owners
            .get(&owner_vm)
            .filter(|state| state.epoch == request.epoch)
            .map(|state| state.sequence + 1);
        let is_outdated = expected.is_some_and(|expected| request.sequence < expected);
        if is_outdated || (!request.whole && expected != Some(request.sequence)) {
            return false;
        }
        let state = OwnerState { epoch: request.epoch, sequence: request.sequence };
        self.owners.insert(owner_vm.clone(), state);
        if request.whole {
            let is_listed = |name: &str| request.upstreams.iter().any(|u| u.upstream == name);
            self.upstreams
                .retain(|name, upstream| upstream.owner_vm != owner_vm || is_listed(name));
        }
        for digest in request.upstreams {
            self.store_digest(&owner_vm, digest, lease_ms, now_ms);
        }
        let expires_ms = now_ms + lease_ms;
        for upstream in self.upstreams.values_mut().filter(|upstream| upstream.owner_vm == owner_vm)
        {
            upstream.expires_ms = expires_ms;
            upstream.owner_unresponsive = false;
        }
        true
    }

    /// Stores the digest of one upstream, or removes the upstream if it is gone.
    pub fn store_digest(
        &mut self,
        owner_vm: &str,
        digest: UpstreamDigest,
        lease_ms: u64,
        now_ms: u64,
    ) {
        let name = CompactString::from(digest.upstream.as_str());
        if digest.gone {
            self.upstreams.remove(&name);
            return;
        }
        let expires_ms = now_ms + lease_ms;
        let in_flight = self.upstreams.get(&name).map_or(0, |upstream| upstream.in_flight);
        // A digest without an address is a change: it carries only the load and
        // whether the upstream is leaving; the other fields keep their values.
        let digest = match self.upstreams.get(&name) {
            Some(upstream) if digest.address.is_empty() => UpstreamDigest {
                free_tokens: digest.free_tokens,
                running: digest.running,
                leaving: digest.leaving,
                ..upstream.digest.clone()
            },
            None if digest.address.is_empty() => return,
            _ => digest,
        };
        let owner_vm = owner_vm.into();
        let upstream =
            RoutableUpstream { digest, owner_vm, expires_ms, in_flight, owner_unresponsive: false };
        self.upstreams.insert(name, upstream);
    }

    /// Removes upstreams whose state has expired and that have no requests in
    /// flight.
    pub fn expire(&mut self, now_ms: u64) {
        self.upstreams.retain(|_, upstream| now_ms < upstream.expires_ms || upstream.in_flight > 0);
    }

    /// Excludes the upstreams of an owner from new requests until its next digest
    /// message, or for one upstream until its next digest.
    pub fn mark_owner_unresponsive(&mut self, owner_vm: &str) {
        for upstream in self.upstreams.values_mut().filter(|upstream| upstream.owner_vm == owner_vm)
        {
            upstream.owner_unresponsive = true;
        }
    }

    /// Returns an upstream by its name.
    pub fn get(&self, name: &str) -> Option<&RoutableUpstream> {
        self.upstreams.get(name)
    }

    /// Returns the upstreams of a kind that accept new requests and serve every
    /// name in `required`.
    pub fn candidates<'a>(
        &'a self,
        kind: UpstreamKind,
        required: &'a [&'a str],
        now_ms: u64,
    ) -> impl Iterator<Item = &'a RoutableUpstream> {
        let is_candidate = move |upstream: &&RoutableUpstream| {
            upstream.accepts_requests(now_ms) && upstream.serves(kind, required)
        };
        self.upstreams.values().filter(is_candidate)
    }

    /// Counts the start of a request to an upstream.
    pub fn request_started(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.in_flight += 1;
        }
    }

    /// Counts the end of a request.
    pub fn request_ended(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Returns all known upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &RoutableUpstream> {
        self.upstreams.values()
    }
}
