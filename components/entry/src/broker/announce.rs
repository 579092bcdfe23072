//! Announcements of upstreams.

use actix::{Context, Handler, Message, ResponseFuture};
use admission::{Ledger, LedgerOptions};
use compact_str::CompactString;
use schema::{
    AnnounceReply, AnnounceRequest, ErrorCode, Reply, UpstreamDigest, UpstreamKind, Weights, reply,
    request,
};
use std::time::Duration;
use verdict::{Code, Failure};
use wire::refuse;

use super::Broker;
use crate::view::Mode;

const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Standard deviations of memory kept free when a preemption costs as much as
/// all else together.
const BASE_DEVIATIONS: f64 = 2.0;

/// Upstream that this entry owns.
pub(super) struct Owned {
    pub(super) announce: AnnounceRequest,
    pub(super) expires_ms: u64,
    /// Present for engines.
    pub(super) ledger: Option<Ledger>,
}

/// Result of an announcement for the upstream.
#[derive(Clone, Debug)]
pub(crate) struct Announced {
    /// Time within which the upstream must announce itself again.
    pub(crate) lease_ms: u64,
    /// Address to which it should announce itself next.
    pub(crate) owner_http_address: String,
}

/// Announcement that arrived over HTTP.
#[derive(Message)]
#[rtype(result = "Result<Announced, Failure>")]
pub(crate) struct Announce(pub(crate) AnnounceRequest);

impl Handler<Announce> for Broker {
    type Result = ResponseFuture<Result<Announced, Failure>>;

    fn handle(&mut self, message: Announce, context: &mut Context<Self>) -> Self::Result {
        let Announce(announce) = message;
        let owner = routing::owner(&self.view.members, &announce.upstream).cloned();
        let Some(owner) = owner.filter(|_| self.view.mode != Mode::Unconfirmed) else {
            let message = "this entry does not know the membership now; announce at another one";
            let failure = Failure::not_run(Code::Unavailable, message).retry_after_ms(500);
            return Box::pin(std::future::ready(Err(failure)));
        };
        if owner.vm == self.vm() {
            let announced = self.take_announcement(announce, context);
            return Box::pin(std::future::ready(announced));
        }
        let peers = self.peers.clone();
        Box::pin(async move {
            let body = request::Body::Announce(announce);
            match peers.call(&owner, body, String::new(), FORWARD_TIMEOUT).await {
                Ok(reply::Body::Announce(reply)) => Ok(Announced {
                    lease_ms: reply.lease_ms,
                    owner_http_address: reply.owner_http_address,
                }),
                Ok(_) | Err(_) => {
                    let message = format!("the owner {} cannot be reached now", owner.vm);
                    Err(Failure::not_run(Code::Unavailable, message).retry_after_ms(500))
                }
            }
        })
    }
}

impl Broker {
    pub(super) fn announce_from_peer(
        &mut self,
        announce: AnnounceRequest,
        context: &mut Context<Self>,
    ) -> Reply {
        let owner = routing::owner(&self.view.members, &announce.upstream);
        if owner.is_none_or(|owner| owner.vm != self.vm()) {
            return refuse(ErrorCode::NotOwner, "another entry owns the upstream");
        }
        match self.take_announcement(announce, context) {
            Ok(announced) => Reply {
                body: Some(reply::Body::Announce(AnnounceReply {
                    lease_ms: announced.lease_ms,
                    owner_http_address: announced.owner_http_address,
                })),
            },
            Err(failure) => refuse(ErrorCode::Overloaded, failure.message),
        }
    }

    /// Takes an announcement as the owner of the upstream.
    fn take_announcement(
        &mut self,
        announce: AnnounceRequest,
        context: &mut Context<Self>,
    ) -> Result<Announced, Failure> {
        let now_ms = self.clock.now_ms();
        let name = CompactString::from(announce.upstream.as_str());
        let max_upstreams = self.config.limits.max_upstreams as usize;
        if !self.owned.contains_key(&name) && self.owned.len() >= max_upstreams {
            let message = format!("this entry holds {max_upstreams} upstreams already");
            return Err(Failure::not_run(Code::Overloaded, message).retry_after_ms(1_000));
        }
        let lease_ms = self.config.timers.upstream_lease_ms;
        let expires_ms = now_ms + lease_ms;
        let ledger = self.ledger_for(&name, &announce, now_ms);
        let leaves = announce.leaving;
        let known = self.owned.get(&name).map(|owned| owned.announce.leaving);
        if known.is_none() {
            log::info!(upstream = name.as_str(), kind = announce.kind().as_str_name(), address = announce.address.as_str(); "upstream announced");
        } else if leaves && known == Some(false) {
            log::info!(upstream = name.as_str(); "upstream is leaving");
        }
        self.owned.insert(name.clone(), Owned { announce, expires_ms, ledger });
        self.refresh_own(&name, now_ms);
        if leaves {
            self.next_digest_ms = 0;
            self.send_digests(context, now_ms);
        }
        self.pump_all(context);
        Ok(Announced {
            lease_ms,
            owner_http_address: self.config.advertised_http_address.to_string(),
        })
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
        let same_start = |epoch: u64| epoch == announce.epoch;
        if let Some(mut ledger) =
            previous.filter(|o| same_start(o.announce.epoch)).and_then(|o| o.ledger)
        {
            ledger.report(load, now_ms);
            return Some(ledger);
        }
        self.hints.forget(name);
        let options = LedgerOptions {
            deviations: deviations(self.view.catalog.weights()),
            credit_lease_ms: self.config.timers.credit_lease_ms,
        };
        // The clock keeps credits apart from those of an earlier ledger.
        Some(Ledger::new(options, load, now_ms << 16, now_ms))
    }

    /// Puts an owned upstream into this entry's own directory.
    pub(super) fn refresh_own(&mut self, name: &str, now_ms: u64) {
        let Some(digest) = self.own_digest(name) else { return };
        let lease_ms = self.config.timers.upstream_lease_ms;
        let vm = CompactString::from(self.vm());
        self.directory.put(&vm, digest, lease_ms, now_ms);
    }

    /// Returns the state of an owned upstream as other entries are told.
    pub(super) fn own_digest(&self, name: &str) -> Option<UpstreamDigest> {
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

    /// Drops upstreams that no longer announce themselves.
    pub(super) fn expire_upstreams(&mut self, now_ms: u64) {
        let expired = self.owned.iter().filter(|(_, owned)| now_ms >= owned.expires_ms);
        let expired: Vec<CompactString> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            log::warn!(upstream = name.as_str(); "upstream lease expired");
            self.owned.remove(&name);
            self.forget_own(&name, now_ms);
        }
        for (name, owned) in &mut self.owned {
            let taken_back = owned.ledger.as_mut().map_or(0, |ledger| ledger.expire(now_ms));
            if taken_back > 0 {
                log::warn!(upstream = name.as_str(), credits = taken_back; "credits were not renewed");
            }
        }
    }

    fn forget_own(&mut self, name: &str, now_ms: u64) {
        let vm = CompactString::from(self.vm());
        let gone = UpstreamDigest { upstream: name.to_string(), gone: true, ..Default::default() };
        self.directory.put(&vm, gone, 0, now_ms);
    }

    /// Gives up upstreams that a changed membership assigns to other entries.
    pub(super) fn give_up_moved_upstreams(&mut self) {
        let now_ms = self.clock.now_ms();
        let members = self.view.members.clone();
        let is_own = |name: &str| {
            routing::owner(&members, name).is_some_and(|owner| owner.vm == self.config.vm.as_str())
        };
        let moved: Vec<CompactString> =
            self.owned.keys().filter(|name| !is_own(name)).cloned().collect();
        for name in moved {
            log::info!(upstream = name.as_str(); "upstream moves to another owner");
            // It stays in the directory until the new owner tells of it or
            // the lease ends, so that requests still find it.
            let owner = routing::owner(&self.view.members, &name).map(|o| o.vm.clone());
            if let (Some(owner), Some(digest)) = (owner, self.own_digest(&name)) {
                let lease_ms = self.config.timers.upstream_lease_ms;
                self.directory.put(&owner, digest, lease_ms, now_ms);
            }
            self.owned.remove(&name);
        }
    }
}

/// Returns the margin of memory for a deployment: the more a preemption costs
/// in comparison, the more is kept free.
fn deviations(weights: Weights) -> f64 {
    let Weights { stall, preemption, token_tail, goodput } = weights;
    let total = stall + preemption + token_tail + goodput;
    if total <= 0.0 {
        return BASE_DEVIATIONS;
    }
    BASE_DEVIATIONS * (0.5 + 2.0 * preemption / total)
}
