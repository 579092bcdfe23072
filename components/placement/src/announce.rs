//! Announcements of upstreams.

use admission::{Ledger, LedgerOptions};
use compact_str::CompactString;
use schema::{AnnounceRequest, UpstreamDigest, UpstreamKind, Weights};
use verdict::{Code, Failure};

use crate::RETRY_AFTER_MS;
use crate::placer::Placer;
use crate::state::Owned;

/// Standard deviations of memory kept free when a preemption costs nothing,
/// and what its share of all costs adds.
const BASE_DEVIATIONS: f64 = 0.25;
const DEVIATIONS_PER_COST: f64 = 2.0;
/// Bits below the clock in the first credit of a ledger.
const CREDIT_BITS: u32 = 16;

/// Result of an announcement for the upstream.
#[derive(Clone, Debug)]
pub struct Announced {
    /// Time within which the upstream must announce itself again.
    pub lease_ms: u64,
    /// Address to which it should announce itself next.
    pub owner_http_address: CompactString,
}

impl Placer {
    /// Takes an announcement as the owner of the upstream.
    pub fn announce(
        &mut self,
        announce: AnnounceRequest,
        now_ms: u64,
    ) -> Result<Announced, Failure> {
        let name = CompactString::from(announce.upstream.as_str());
        let max_upstreams = self.options.max_upstreams;
        if !self.owned.contains_key(&name) && self.owned.len() >= max_upstreams {
            let message = format!("this entry holds {max_upstreams} upstreams already");
            let failure = Failure::not_run(Code::Overloaded, message);
            return Err(failure.retry_after_ms(RETRY_AFTER_MS));
        }
        let lease_ms = self.options.upstream_lease_ms;
        let was_leaving = self.owned.get(&name).map(|owned| owned.announce.leaving);
        log_change(&announce, was_leaving);
        let ledger = self.ledger_for(&name, &announce, now_ms);
        let leaves = announce.leaving;
        let owned = Owned { announce, expires_ms: now_ms + lease_ms, ledger };
        self.owned.insert(name.clone(), owned);
        self.refresh_own(&name, now_ms);
        if leaves && was_leaving != Some(true) {
            self.next_digest_ms = 0;
            self.send_digests(now_ms);
        }
        self.pump_all(now_ms);
        let owner_http_address = self.options.http_address.clone();
        Ok(Announced { lease_ms, owner_http_address })
    }

    /// Returns the ledger of an engine, kept from its last announcement unless
    /// the engine restarted.
    fn ledger_for(
        &mut self,
        name: &CompactString,
        announce: &AnnounceRequest,
        now_ms: u64,
    ) -> Option<Ledger> {
        if announce.kind() != UpstreamKind::Engine {
            return None;
        }
        let load = announce.load.unwrap_or_default();
        let previous = self.owned.remove(name);
        let previous = previous.filter(|owned| owned.announce.epoch == announce.epoch);
        if let Some(mut ledger) = previous.and_then(|owned| owned.ledger) {
            ledger.report(load, now_ms);
            return Some(ledger);
        }
        self.hints.forget(name);
        let options = LedgerOptions {
            deviations: deviations(self.view.weights),
            credit_lease_ms: self.options.credit_lease_ms,
            forecast: self.options.mechanisms.forecast,
        };
        // The clock keeps credits apart from those of an earlier ledger.
        Some(Ledger::new(options, load, now_ms << CREDIT_BITS, now_ms))
    }

    /// Puts an owned upstream into this entry's own directory.
    pub(crate) fn refresh_own(&mut self, name: &str, now_ms: u64) {
        let Some(digest) = self.own_digest(name) else { return };
        let lease_ms = self.options.upstream_lease_ms;
        self.directory.put(&self.options.vm, digest, lease_ms, now_ms);
    }

    /// Returns the state of an owned upstream as other entries are told.
    pub fn own_digest(&self, name: &str) -> Option<UpstreamDigest> {
        let Owned { announce, ledger, .. } = self.owned.get(name)?;
        let load = ledger.as_ref().map(Ledger::load).copied().unwrap_or_default();
        let running = ledger.as_ref().map_or(0, Ledger::running_count);
        Some(UpstreamDigest {
            upstream: announce.upstream.clone(),
            kind: announce.kind,
            address: announce.address.clone(),
            data_centre: announce.data_centre.clone(),
            epoch: announce.epoch,
            serves: announce.serves.clone(),
            leaving: announce.leaving,
            free_tokens: ledger.as_ref().map_or(0, |l| l.free_tokens(&self.reservations)),
            cache_tokens: load.cache_tokens,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            max_running: load.max_running,
            gone: false,
        })
    }

    /// Drops upstreams that no longer announce themselves, and credits that
    /// are no longer renewed.
    pub(crate) fn expire_upstreams(&mut self, now_ms: u64) {
        let expired = self.owned.iter().filter(|(_, owned)| now_ms >= owned.expires_ms);
        let expired: Vec<CompactString> = expired.map(|(name, _)| name.clone()).collect();
        if !expired.is_empty() {
            // Nobody is to send work there any more.
            self.next_digest_ms = 0;
        }
        for name in expired {
            log::warn!(upstream = name.as_str(); "upstream lease expired");
            self.owned.remove(&name);
            let gone =
                UpstreamDigest { upstream: name.to_string(), gone: true, ..Default::default() };
            self.directory.put(&self.options.vm, gone, 0, now_ms);
        }
        for (name, owned) in &mut self.owned {
            let taken_back = owned.ledger.as_mut().map_or(0, |ledger| ledger.expire(now_ms));
            if taken_back > 0 {
                log::warn!(upstream = name.as_str(), credits = taken_back; "credits were not renewed");
            }
        }
    }

    /// Gives up upstreams that a changed membership assigns to other entries.
    pub(crate) fn give_up_moved_upstreams(&mut self, now_ms: u64) {
        let is_own = |name: &str| {
            self.owner_of(name).is_some_and(|owner| owner.vm == self.options.vm.as_str())
        };
        let moved: Vec<CompactString> =
            self.owned.keys().filter(|name| !is_own(name)).cloned().collect();
        for name in moved {
            log::info!(upstream = name.as_str(); "upstream moves to another owner");
            // It stays in the directory until the new owner tells of it or
            // the lease ends, so that requests still find it.
            let owner = self.owner_of(&name).map(|owner| owner.vm.clone());
            if let (Some(owner), Some(digest)) = (owner, self.own_digest(&name)) {
                let lease_ms = self.options.upstream_lease_ms;
                self.directory.put(&owner, digest, lease_ms, now_ms);
            }
            self.owned.remove(&name);
        }
    }
}

fn log_change(announce: &AnnounceRequest, was_leaving: Option<bool>) {
    let upstream = announce.upstream.as_str();
    if was_leaving.is_none() {
        let kind = announce.kind().as_str_name();
        log::info!(upstream, kind, address = announce.address.as_str(); "upstream announced");
    } else if announce.leaving && was_leaving == Some(false) {
        log::info!(upstream; "upstream is leaving");
    }
}

/// Returns the margin of memory for a deployment: the more a preemption costs
/// in comparison, the more is kept free.
fn deviations(weights: Weights) -> f64 {
    let Weights { stall, preemption, token_tail, goodput } = weights;
    let total = stall + preemption + token_tail + goodput;
    let share = if total > 0.0 { preemption / total } else { 0.25 };
    BASE_DEVIATIONS + DEVIATIONS_PER_COST * share
}
