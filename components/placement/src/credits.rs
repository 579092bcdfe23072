//! Life of credits: renewal, release, and the owner's side of both.

use std::collections::HashMap;

use admission::Ask;
use compact_str::CompactString;
use schema::{
    CreditProgress, CreditRelease, CreditRenew, CreditRenewReply, CreditReply, CreditRequest,
};

use crate::effect::Effect;
use crate::placer::Placer;
use crate::request::{Placement, Release};

const RENEWALS_PER_LEASE: u64 = 4;

impl Placer {
    /// Notes the output so far of a generation.
    pub fn progress(&mut self, upstream: &str, credit: u64, output_tokens: u64) {
        if let Some(held) = self.held.get_mut(&(upstream.into(), credit)) {
            held.output_tokens = output_tokens;
        }
    }

    /// Ends a generation.
    pub fn release(&mut self, release: Release, now_ms: u64) {
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
        self.send_release(placement.owner_vm, body, now_ms);
        self.room_reported(now_ms);
    }

    /// Gives a place back whose request went away before it was used.
    pub fn give_up(&mut self, service: &str, placement: &Placement, now_ms: u64) {
        let key = (placement.upstream.clone(), placement.credit);
        self.return_unused(&key, service, now_ms);
    }

    pub(crate) fn return_unused(&mut self, key: &(CompactString, u64), service: &str, now_ms: u64) {
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
        self.send_release(held.owner_vm, body, now_ms);
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

    fn send_release(&mut self, owner_vm: CompactString, release: CreditRelease, now_ms: u64) {
        if owner_vm == self.vm() {
            self.take_back(&release.upstream, release.credit, now_ms);
        } else {
            // A lost release is made up for by the end of the credit's lease.
            self.effects.push(Effect::Release(owner_vm, release));
        }
    }

    fn take_back(&mut self, upstream: &str, credit: u64, now_ms: u64) {
        if let Some(ledger) = self.owned.get_mut(upstream).and_then(|o| o.ledger.as_mut()) {
            ledger.release(credit);
        }
        self.refresh_own(upstream, now_ms);
    }

    /// Renews all held credits with their owners.
    pub(crate) fn renew_credits(&mut self, now_ms: u64) {
        if now_ms < self.next_renewal_ms {
            return;
        }
        self.next_renewal_ms = now_ms + self.options.credit_lease_ms / RENEWALS_PER_LEASE;
        let mut by_owner: HashMap<CompactString, Vec<CreditProgress>> = HashMap::new();
        for ((upstream, credit), held) in &self.held {
            by_owner.entry(held.owner_vm.clone()).or_default().push(CreditProgress {
                upstream: upstream.to_string(),
                credit: *credit,
                output_tokens: held.output_tokens,
            });
        }
        for (owner_vm, progress) in by_owner {
            let renew = CreditRenew { progress };
            if owner_vm == self.vm() {
                self.answer_renewal(&renew, now_ms);
            } else {
                self.effects.push(Effect::Renew(owner_vm, renew));
            }
        }
    }

    /// Renews credits as their owner and names those that were taken back.
    pub fn answer_renewal(&mut self, renew: &CreditRenew, now_ms: u64) -> CreditRenewReply {
        let mut lost = Vec::new();
        for one in &renew.progress {
            let owned = self.owned.get_mut(one.upstream.as_str());
            let ledger = owned.and_then(|owned| owned.ledger.as_mut());
            let renewed = ledger.is_some_and(|l| l.renew(one.credit, one.output_tokens, now_ms));
            if !renewed {
                lost.push(one.credit);
            }
        }
        CreditRenewReply { lost }
    }

    /// Answers another entry's request for a credit; `None` if this entry
    /// does not own the upstream or takes no new work.
    pub fn answer_credit(
        &mut self,
        holder_vm: &str,
        request: &CreditRequest,
        now_ms: u64,
    ) -> Option<CreditReply> {
        if !self.view.takes_work {
            return None;
        }
        let CreditRequest { service, workspace, max_output_tokens, .. } = request;
        let curve = self.estimator.curve(service, workspace, *max_output_tokens);
        let ask = Ask {
            holder_vm: holder_vm.into(),
            priority: request.priority.as_str().into(),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: *max_output_tokens,
            curve,
        };
        let owned = self.owned.get_mut(request.upstream.as_str())?;
        let takes_work = !owned.announce.leaving && now_ms < owned.expires_ms;
        let ledger = owned.ledger.as_mut().filter(|_| takes_work);
        let credit = ledger.and_then(|l| l.try_grant(&ask, &self.reservations, now_ms));
        self.refresh_own(&request.upstream, now_ms);
        Some(CreditReply {
            granted: credit.is_some(),
            credit: credit.unwrap_or_default(),
            lease_ms: self.options.credit_lease_ms,
            digest: self.own_digest(&request.upstream),
        })
    }

    /// Takes a credit back from another entry.
    pub fn answer_release(&mut self, release: &CreditRelease, now_ms: u64) {
        self.take_back(&release.upstream, release.credit, now_ms);
        if release.whole {
            let CreditRelease { service, workspace, output_tokens, .. } = release;
            self.estimator.observe(service, workspace, *output_tokens);
        }
        self.room_reported(now_ms);
    }
}
