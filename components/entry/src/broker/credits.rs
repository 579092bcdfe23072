//! Life of credits: renewal, release, and the owner's side of both.

use std::collections::HashMap;
use std::time::Duration;

use actix::{AsyncContext as _, Context, Handler, Message};
use admission::Ask;
use compact_str::CompactString;
use credentials::Identity;
use schema::{
    CreditProgress, CreditRelease, CreditRenew, CreditRenewReply, CreditReply, CreditRequest,
    Empty, ErrorCode, Reply, reply, request,
};
use wire::refuse;

use super::{Broker, Placement};

const RENEWALS_PER_LEASE: u64 = 4;
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Credit that this entry holds.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) owner_vm: CompactString,
    pub(super) workspace: CompactString,
    pub(super) output_tokens: u64,
}

/// Notes the output so far of a generation.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Progress {
    pub(crate) upstream: CompactString,
    pub(crate) credit: u64,
    pub(crate) output_tokens: u64,
}

impl Handler<Progress> for Broker {
    type Result = ();

    fn handle(&mut self, progress: Progress, _: &mut Context<Self>) {
        if let Some(held) = self.held.get_mut(&(progress.upstream, progress.credit)) {
            held.output_tokens = progress.output_tokens;
        }
    }
}

/// Ends a generation.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Release {
    pub(crate) placement: Placement,
    pub(crate) service: CompactString,
    pub(crate) workspace: CompactString,
    pub(crate) share: u32,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    /// The output ended by itself, so its length tells about later ones.
    pub(crate) whole: bool,
}

impl Handler<Release> for Broker {
    type Result = ();

    fn handle(&mut self, release: Release, context: &mut Context<Self>) {
        let Release { placement, service, workspace, share, .. } = release;
        let tokens = (release.prompt_tokens + release.output_tokens) as f64;
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.queue.settle(&workspace, share, placement.expected_tokens, tokens);
        }
        let key = (placement.upstream.clone(), placement.credit);
        self.drop_held(&key);
        if release.whole {
            self.estimator.observe(&service, &workspace, release.output_tokens);
        }
        let body = CreditRelease {
            upstream: placement.upstream.to_string(),
            credit: placement.credit,
            output_tokens: release.output_tokens,
            whole: release.whole,
            service: service.to_string(),
            workspace: workspace.to_string(),
        };
        self.send_release(&placement.owner_vm, body);
        self.room_reported(context);
    }
}

impl Broker {
    /// Returns a credit whose request went away before it was used.
    pub(super) fn return_unused(&mut self, key: &(CompactString, u64), service: &str) {
        let Some(held) = self.held.get(key).cloned() else { return };
        self.drop_held(key);
        let body = CreditRelease {
            upstream: key.0.to_string(),
            credit: key.1,
            output_tokens: 0,
            whole: false,
            service: service.to_string(),
            workspace: held.workspace.to_string(),
        };
        self.send_release(&held.owner_vm, body);
    }

    fn drop_held(&mut self, key: &(CompactString, u64)) {
        let Some(held) = self.held.remove(key) else { return };
        self.directory.ended(&key.0);
        if let Some(streams) = self.streams_of.get_mut(&held.workspace) {
            *streams = streams.saturating_sub(1);
            if *streams == 0 {
                self.streams_of.remove(&held.workspace);
            }
        }
    }

    fn send_release(&mut self, owner_vm: &str, release: CreditRelease) {
        if owner_vm == self.vm() {
            self.take_back(&release.upstream, release.credit);
            return;
        }
        let Some(owner) = self.member(owner_vm).cloned() else { return };
        let peers = self.peers.clone();
        actix_rt::spawn(async move {
            let body = request::Body::CreditRelease(release);
            // A lost release is made up for by the end of the credit's lease.
            let _ = peers.call(&owner, body, String::new(), RELEASE_TIMEOUT).await;
        });
    }

    fn take_back(&mut self, upstream: &str, credit: u64) {
        let now_ms = self.clock.now_ms();
        if let Some(ledger) = self.owned.get_mut(upstream).and_then(|o| o.ledger.as_mut()) {
            ledger.release(credit);
        }
        self.refresh_own(upstream, now_ms);
    }

    /// Renews all held credits with their owners.
    pub(super) fn renew_credits(&mut self, context: &mut Context<Self>, now_ms: u64) {
        if now_ms < self.next_renewal_ms {
            return;
        }
        let lease_ms = self.config.timers.credit_lease_ms;
        self.next_renewal_ms = now_ms + lease_ms / RENEWALS_PER_LEASE;
        let mut by_owner: HashMap<CompactString, Vec<CreditProgress>> = HashMap::new();
        for ((upstream, credit), held) in &self.held {
            by_owner.entry(held.owner_vm.clone()).or_default().push(CreditProgress {
                upstream: upstream.to_string(),
                credit: *credit,
                output_tokens: held.output_tokens,
            });
        }
        for (owner_vm, progress) in by_owner {
            if owner_vm == self.vm() {
                self.renew_own(&progress, now_ms);
                continue;
            }
            let Some(owner) = self.member(&owner_vm).cloned() else { continue };
            let peers = self.peers.clone();
            let address = context.address();
            actix_rt::spawn(async move {
                let body = request::Body::CreditRenew(CreditRenew { progress });
                let reply = peers.call(&owner, body, String::new(), RENEW_TIMEOUT).await;
                if let Ok(reply::Body::CreditRenew(reply)) = reply {
                    address.do_send(Renewed(reply));
                }
            });
        }
    }

    /// Renews credits and returns those that were taken back before.
    fn renew_own(&mut self, progress: &[CreditProgress], now_ms: u64) -> Vec<u64> {
        let mut lost = Vec::new();
        for one in progress {
            let owned = self.owned.get_mut(one.upstream.as_str());
            let ledger = owned.and_then(|owned| owned.ledger.as_mut());
            let renewed = ledger.is_some_and(|l| l.renew(one.credit, one.output_tokens, now_ms));
            if !renewed {
                lost.push(one.credit);
            }
        }
        lost
    }

    pub(super) fn answer_credit(&mut self, peer: &Identity, request: &CreditRequest) -> Reply {
        let now_ms = self.clock.now_ms();
        if !self.view.mode.takes_work() {
            return refuse(ErrorCode::NotOwner, "this entry grants no credits now");
        }
        let CreditRequest { service, workspace, max_output_tokens, .. } = request;
        let curve = self.estimator.curve(service, workspace, *max_output_tokens);
        let ask = Ask {
            holder_vm: peer.name.as_str().into(),
            priority: request.priority.as_str().into(),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: *max_output_tokens,
            curve,
        };
        let Some(owned) = self.owned.get_mut(request.upstream.as_str()) else {
            return refuse(ErrorCode::NotOwner, "this entry does not own the upstream");
        };
        let takes_work = !owned.announce.leaving && now_ms < owned.expires_ms;
        let ledger = owned.ledger.as_mut().filter(|_| takes_work);
        let credit = ledger.and_then(|l| l.try_grant(&ask, &self.reservations, now_ms));
        self.refresh_own(&request.upstream, now_ms);
        let reply = CreditReply {
            granted: credit.is_some(),
            credit: credit.unwrap_or_default(),
            lease_ms: self.config.timers.credit_lease_ms,
            digest: self.own_digest(&request.upstream),
        };
        Reply { body: Some(reply::Body::Credit(reply)) }
    }

    pub(super) fn answer_renewal(&mut self, renew: &CreditRenew) -> Reply {
        let now_ms = self.clock.now_ms();
        let lost = self.renew_own(&renew.progress, now_ms);
        Reply { body: Some(reply::Body::CreditRenew(CreditRenewReply { lost })) }
    }

    pub(super) fn answer_release(
        &mut self,
        release: &CreditRelease,
        context: &mut Context<Self>,
    ) -> Reply {
        self.take_back(&release.upstream, release.credit);
        if release.whole {
            let CreditRelease { service, workspace, output_tokens, .. } = release;
            self.estimator.observe(service, workspace, *output_tokens);
        }
        self.room_reported(context);
        Reply { body: Some(reply::Body::Empty(Empty {})) }
    }
}

/// Answer of an owner to a renewal.
#[derive(Message)]
#[rtype(result = "()")]
struct Renewed(CreditRenewReply);

impl Handler<Renewed> for Broker {
    type Result = ();

    fn handle(&mut self, Renewed(reply): Renewed, _: &mut Context<Self>) {
        // The generation goes on; the owner counts it from the engine's reports.
        if !reply.lost.is_empty() {
            log::debug!(credits = reply.lost.len(); "credits were taken back by their owner");
        }
    }
}
