//! Announcements and leases of owned upstreams.

use admission::{Ledger, LedgerOptions};
use compact_str::CompactString;
use schema::{AnnounceRequest, UpstreamDigest, UpstreamKind, Weights};
use verdict::{Code, Failure};

use crate::RETRY_AFTER_MS;
use crate::placer::Placer;
use crate::state::OwnedUpstream;

/// Safety margin, in standard deviations of the cache usage, when preemptions
/// cost nothing.
const BASE_DEVIATIONS: f64 = 0.25;
/// Standard deviations added when preemptions make up the whole cost; scaled by
/// their share of it.
const DEVIATIONS_PER_COST: f64 = 2.0;
/// Low bits of a credit id that count within a ledger; the bits above hold the
/// time at which the ledger was created.
const CREDIT_SEQUENCE_BITS: u32 = 16;

/// Reply to the announcement of an upstream.
#[derive(Clone, Debug)]
pub struct AnnounceOutcome {
    /// Time within which the upstream must announce itself again.
    pub lease_ms: u64,
    /// HTTP address at which it should announce itself next.
    pub owner_http_address: CompactString,
}

impl Placer {
    /// Registers an upstream that this entry owns, or renews its lease.
    pub fn announce(
        &mut self,
        announcement: AnnounceRequest,
        now_ms: u64,
    ) -> Result<AnnounceOutcome, Failure> {
        let name = CompactString::from(announcement.upstream.as_str());
        let max_upstreams = self.options.max_upstreams;
        if !self.owned.contains_key(&name) && self.owned.len() >= max_upstreams {
            let message = format!("this entry holds {max_upstreams} upstreams already");
            let failure = Failure::not_run(Code::Overloaded, message);
            return Err(failure.retry_after_ms(RETRY_AFTER_MS));
        }
        let lease_ms = self.options.upstream_lease_ms;
        let was_leaving = self.owned.get(&name).map(|owned| owned.announcement.leaving);
        log_change(&announcement, was_leaving);
        let ledger = self.ledger_for(&name, &announcement, now_ms);
        let leaving = announcement.leaving;
        let owned = OwnedUpstream { announcement, expires_ms: now_ms + lease_ms, ledger };
        self.owned.insert(name.clone(), owned);
        self.update_own_directory(&name, now_ms);
        if leaving && was_leaving != Some(true) {
            self.next_digest_ms = 0;
            self.send_digests(now_ms);
        }
        self.dispatch_all(now_ms);
        let owner_http_address = self.options.http_address.clone();
        Ok(AnnounceOutcome { lease_ms, owner_http_address })
    }

    /// Returns the ledger of an engine: the existing one, or a new one if the
    /// engine is new or restarted. Other upstreams have none.
    fn ledger_for(
        &mut self,
        name: &CompactString,
        announcement: &AnnounceRequest,
        now_ms: u64,
    ) -> Option<Ledger> {
        if announcement.kind() != UpstreamKind::Engine {
            return None;
        }
        let load = announcement.load.unwrap_or_default();
        let previous = self.owned.remove(name);
        let previous = previous.filter(|owned| owned.announcement.epoch == announcement.epoch);
        if let Some(mut ledger) = previous.and_then(|owned| owned.ledger) {
            ledger.report(load, now_ms);
            return Some(ledger);
        }
        self.prefix_hints.remove_upstream(name);
        let options = LedgerOptions {
            deviations: margin_deviations(self.view.weights),
            credit_lease_ms: self.options.credit_lease_ms,
            forecast: self.options.mechanisms.forecast,
        };
        // The creation time makes credit ids distinct from those of earlier ledgers.
        Some(Ledger::new(options, load, now_ms << CREDIT_SEQUENCE_BITS, now_ms))
    }

    /// Updates the state of an owned upstream in this entry's own directory.
    pub(crate) fn update_own_directory(&mut self, name: &str, now_ms: u64) {
        let Some(digest) = self.own_digest(name) else { return };
        let lease_ms = self.options.upstream_lease_ms;
        self.directory.store_digest(&self.options.vm, digest, lease_ms, now_ms);
    }

    /// Returns the state of an owned upstream for other entries.
    pub fn own_digest(&self, name: &str) -> Option<UpstreamDigest> {
        let OwnedUpstream { announcement, ledger, .. } = self.owned.get(name)?;
        let load = ledger.as_ref().map(Ledger::load).copied().unwrap_or_default();
        let running = ledger.as_ref().map_or(0, Ledger::running_count);
        Some(UpstreamDigest {
            upstream: announcement.upstream.clone(),
            kind: announcement.kind,
            address: announcement.address.clone(),
            data_centre: announcement.data_centre.clone(),
            epoch: announcement.epoch,
            serves: announcement.serves.clone(),
            leaving: announcement.leaving,
            free_tokens: ledger.as_ref().map_or(0, |l| l.free_tokens(&self.reservations)),
            cache_tokens: load.cache_tokens,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            max_running: load.max_running,
            gone: false,
        })
    }

    /// Removes owned upstreams whose lease expired, and credits that were not
    /// renewed in time.
    pub(crate) fn expire_upstreams(&mut self, now_ms: u64) {
        let expired = self.owned.iter().filter(|(_, owned)| now_ms >= owned.expires_ms);
        let expired: Vec<CompactString> = expired.map(|(name, _)| name.clone()).collect();
        if !expired.is_empty() {
            // Other entries must stop sending requests there.
            self.next_digest_ms = 0;
        }
        for name in expired {
            log::warn!(upstream = name.as_str(); "upstream lease expired");
            self.owned.remove(&name);
            let gone =
                UpstreamDigest { upstream: name.to_string(), gone: true, ..Default::default() };
            self.directory.store_digest(&self.options.vm, gone, 0, now_ms);
        }
        for (name, owned) in &mut self.owned {
            let expired_credits = owned.ledger.as_mut().map_or(0, |ledger| ledger.expire(now_ms));
            if expired_credits > 0 {
                log::warn!(upstream = name.as_str(), credits = expired_credits; "credit leases expired");
            }
        }
    }

    /// Removes upstreams that a membership change assigns to other entries.
    pub(crate) fn remove_reassigned_upstreams(&mut self, now_ms: u64) {
        let is_own = |name: &str| {
            self.owner_of(name).is_some_and(|owner| owner.vm == self.options.vm.as_str())
        };
        let reassigned: Vec<CompactString> =
            self.owned.keys().filter(|name| !is_own(name)).cloned().collect();
        for name in reassigned {
            log::info!(upstream = name.as_str(); "upstream reassigned to another owner");
            // Keep it in the directory until the new owner reports it or the lease
            // expires, so that requests can still be placed on it.
            let owner = self.owner_of(&name).map(|owner| owner.vm.clone());
            if let (Some(owner), Some(digest)) = (owner, self.own_digest(&name)) {
                let lease_ms = self.options.upstream_lease_ms;
                self.directory.store_digest(&owner, digest, lease_ms, now_ms);
            }
            self.owned.remove(&name);
        }
    }
}

fn log_change(announcement: &AnnounceRequest, was_leaving: Option<bool>) {
    let upstream = announcement.upstream.as_str();
    if was_leaving.is_none() {
        let kind = announcement.kind().as_str_name();
        log::info!(upstream, kind, address = announcement.address.as_str(); "upstream announced");
    } else if announcement.leaving && was_leaving == Some(false) {
        log::info!(upstream; "upstream is leaving");
    }
}

/// Returns the safety margin for a deployment, in standard deviations of the
/// cache usage: it grows with the relative cost of preemptions.
fn margin_deviations(weights: Weights) -> f64 {
    let Weights { stall, preemption, token_tail, goodput } = weights;
    let total = stall + preemption + token_tail + goodput;
    let share = if total > 0.0 { preemption / total } else { 0.25 };
    BASE_DEVIATIONS + DEVIATIONS_PER_COST * share
}
