//! Renewal and release of credits by their holder, and credit requests,
//! renewals and releases handled by the owner.

use std::collections::HashMap;

use admission::GrantRequest;
use compact_str::CompactString;
use schema::{
    CreditProgress, CreditRelease, CreditRenew, CreditRenewReply, CreditReply, CreditRequest,
};

use crate::effect::Effect;
use crate::placer::Placer;
use crate::request::{Placement, Release};

const RENEWALS_PER_LEASE: u64 = 4;

impl Placer {
    /// Records the output of a running generation so far.
    pub fn record_progress(&mut self, upstream: &str, credit: u64, output_tokens: u64) {
        if let Some(held) = self.held_credits.get_mut(&(upstream.into(), credit)) {
            held.output_tokens = output_tokens;
        }
    }

    /// Releases the placement of a generation that ended.
    pub fn release(&mut self, release: Release, now_ms: u64) {
        let Release { placement, service, workspace, share, .. } = release;
        let tokens = (release.prompt_tokens + release.output_tokens) as f64;
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.queue.settle(&workspace, share, placement.expected_tokens, tokens);
        }
        let key = (placement.upstream.clone(), placement.credit);
        self.remove_held_credit(&key);
        if release.output_complete {
            self.estimator.observe(&service, &workspace, release.output_tokens);
        }
        let body = CreditRelease {
            upstream: placement.upstream.to_string(),
            credit: placement.credit,
            output_tokens: release.output_tokens,
            whole: release.output_complete,
            service: service.to_string(),
            workspace: workspace.to_string(),
        };
        self.send_release(placement.owner_vm, body, now_ms);
        self.resume_paused_queues(now_ms);
    }

    /// Releases a placement whose request was cancelled before it started.
    pub fn release_unused(&mut self, service: &str, placement: &Placement, now_ms: u64) {
        let key = (placement.upstream.clone(), placement.credit);
        self.release_unused_credit(&key, service, now_ms);
    }

    pub(crate) fn release_unused_credit(
        &mut self,
        key: &(CompactString, u64),
        service: &str,
        now_ms: u64,
    ) {
        let Some(held) = self.held_credits.get(key).cloned() else { return };
        self.remove_held_credit(key);
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

    fn remove_held_credit(&mut self, key: &(CompactString, u64)) {
        let Some(held) = self.held_credits.remove(key) else { return };
        self.directory.request_ended(&key.0);
        if let Some(running) = self.running_by_workspace.get_mut(&held.workspace) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running_by_workspace.remove(&held.workspace);
            }
        }
    }

    fn send_release(&mut self, owner_vm: CompactString, release: CreditRelease, now_ms: u64) {
        if owner_vm == self.vm() {
            self.release_owned_credit(&release.upstream, release.credit, now_ms);
        } else {
            // If the release is lost, the credit's lease expires at the owner.
            self.effects.push(Effect::ReleaseCredit(owner_vm, release));
        }
    }

    fn release_owned_credit(&mut self, upstream: &str, credit: u64, now_ms: u64) {
        if let Some(ledger) = self.owned.get_mut(upstream).and_then(|o| o.ledger.as_mut()) {
            ledger.release(credit);
        }
        self.update_own_directory(upstream, now_ms);
    }

    /// Renews all held credits at their owners.
    pub(crate) fn renew_credits(&mut self, now_ms: u64) {
        if now_ms < self.next_renewal_ms {
            return;
        }
        self.next_renewal_ms = now_ms + self.options.credit_lease_ms / RENEWALS_PER_LEASE;
        let mut by_owner: HashMap<CompactString, Vec<CreditProgress>> = HashMap::new();
        for ((upstream, credit), held) in &self.held_credits {
            by_owner.entry(held.owner_vm.clone()).or_default().push(CreditProgress {
                upstream: upstream.to_string(),
                credit: *credit,
                output_tokens: held.output_tokens,
            });
        }
        for (owner_vm, progress) in by_owner {
            let renew = CreditRenew { progress };
            if owner_vm == self.vm() {
                self.handle_renewal(&renew, now_ms);
            } else {
                self.effects.push(Effect::RenewCredits(owner_vm, renew));
            }
        }
    }

    /// Renews credits of owned engines; the reply lists those that could not be
    /// renewed, such as expired ones and those of engines owned by other entries.
    pub fn handle_renewal(&mut self, renew: &CreditRenew, now_ms: u64) -> CreditRenewReply {
        let mut lost = Vec::new();
        for progress in &renew.progress {
            let owned = self.owned.get_mut(progress.upstream.as_str());
            let ledger = owned.and_then(|owned| owned.ledger.as_mut());
            let renewed =
                ledger.is_some_and(|l| l.renew(progress.credit, progress.output_tokens, now_ms));
            if !renewed {
                lost.push(progress.credit);
            }
        }
        CreditRenewReply { lost }
    }

    /// Handles the credit request of another entry; `None` if this entry does not
    /// own the upstream or accepts no new requests.
    pub fn handle_credit_request(
        &mut self,
        holder_vm: &str,
        request: &CreditRequest,
        now_ms: u64,
    ) -> Option<CreditReply> {
        if !self.view.accepts_requests {
            return None;
        }
        let CreditRequest { service, workspace, max_output_tokens, .. } = request;
        let curve = self.estimator.curve(service, workspace, *max_output_tokens);
        let grant_request = GrantRequest {
            holder_vm: holder_vm.into(),
            priority: request.priority.as_str().into(),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: *max_output_tokens,
            curve,
        };
        let owned = self.owned.get_mut(request.upstream.as_str())?;
        let accepts_requests = !owned.announcement.leaving && now_ms < owned.expires_ms;
        let ledger = owned.ledger.as_mut().filter(|_| accepts_requests);
        let credit = ledger.and_then(|l| l.try_grant(&grant_request, &self.reservations, now_ms));
        self.update_own_directory(&request.upstream, now_ms);
        Some(CreditReply {
            granted: credit.is_some(),
            credit: credit.unwrap_or_default(),
            lease_ms: self.options.credit_lease_ms,
            digest: self.own_digest(&request.upstream),
        })
    }

    /// Releases a credit that another entry held.
    pub fn handle_release(&mut self, release: &CreditRelease, now_ms: u64) {
        self.release_owned_credit(&release.upstream, release.credit, now_ms);
        if release.whole {
            let CreditRelease { service, workspace, output_tokens, .. } = release;
            self.estimator.observe(service, workspace, *output_tokens);
        }
        self.resume_paused_queues(now_ms);
    }
}
