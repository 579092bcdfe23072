//! Queueing of requests, and their placement by acquiring credits at engines.

use std::sync::Arc;

use admission::{GrantRequest, Ticket, TicketId};
use compact_str::CompactString;
use rand::RngExt as _;
use routing::{UpstreamChoice, choose_upstreams};
use schema::{CreditReply, CreditRequest, UpstreamKind};
use smallvec::SmallVec;
use verdict::{Code, Failure};

use crate::RETRY_AFTER_MS;
use crate::effect::{CreditRequestId, Effect};
use crate::options::Mechanisms;
use crate::placer::Placer;
use crate::request::{Placement, PlacementRequest};
use crate::service::{PendingCreditRequest, ServiceQueue};
use crate::state::HeldCredit;

/// Maximum credit requests of one service that are pending at other entries.
const MAX_PENDING_CREDIT_REQUESTS: usize = 64;
/// Delay after an attempt that found no capacity; jitter keeps entries from
/// retrying in lockstep.
const RETRY_DELAY_MS: std::ops::Range<u64> = 10..30;
/// Delay when jitter is disabled.
const FIXED_RETRY_DELAY_MS: u64 = 20;
/// Time for which a request waits for an engine when none serves its service, up
/// to half of its maximum wait.
const NO_ENGINE_GRACE_MS: u64 = 2_000;
const MIN_RETRY_AFTER_MS: u64 = 100;

impl Placer {
    /// Queues a request; its result is reported as [`Effect::Placed`] or
    /// [`Effect::Refused`].
    pub fn enqueue(&mut self, request: PlacementRequest, now_ms: u64) -> Result<TicketId, Failure> {
        let running =
            self.running_by_workspace.get(&request.workspace).copied().unwrap_or_default();
        if running >= request.max_running {
            let message = format!("the workspace has {running} generations running already");
            return Err(limit_reached(message));
        }
        let service = request.service.clone();
        let expected_tokens = self.expected_tokens(&request);
        let Mechanisms { early_refusal, deadlines, .. } = self.options.mechanisms;
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let queue = self.service_queue(&service);
        if queue.queue.workspace_len(&request.workspace) >= request.max_waiting as usize {
            let message = format!("the workspace has {} requests waiting", request.max_waiting);
            return Err(limit_reached(message));
        }
        let wait_ms = queue.expected_wait_ms(request.rank);
        if early_refusal && wait_ms > request.max_wait_ms as f64 {
            let message = "the queue is too long for the request to start in time";
            let retry_after_ms = (wait_ms as u64 - request.max_wait_ms).max(MIN_RETRY_AFTER_MS);
            return Err(Failure::not_run(Code::Overloaded, message).retry_after_ms(retry_after_ms));
        }
        let ticket = Ticket {
            id,
            workspace: request.workspace.clone(),
            share: request.share,
            rank: request.rank,
            max_wait_ms: request.max_wait_ms,
            queued_ms: now_ms,
            due_ms: if deadlines { now_ms + request.max_on_time_wait_ms } else { u64::MAX },
            expected_tokens,
        };
        queue.queue.push(ticket).map_err(|error| {
            Failure::not_run(Code::Overloaded, error.to_string()).retry_after_ms(RETRY_AFTER_MS)
        })?;
        queue.retry_token_bucket.earn();
        queue.pending.insert(id, Arc::new(request));
        self.dispatch(&service, now_ms);
        Ok(id)
    }

    /// Cancels a request that was not placed yet.
    pub fn cancel(&mut self, service: &str, ticket: TicketId) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.pending.remove(&ticket);
            queue.queue.remove(ticket);
        }
    }

    /// Handles the reply of another entry to a credit request; `None` if the
    /// entry did not grant or deny it, such as after a timeout.
    pub fn handle_credit_reply(
        &mut self,
        id: CreditRequestId,
        reply: Option<CreditReply>,
        now_ms: u64,
    ) {
        let Some(PendingCreditRequest { service, ticket, choice, remaining }) =
            self.pending_credit_requests.remove(&id)
        else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.pending_credit_requests = queue.pending_credit_requests.saturating_sub(1);
        }
        if reply.is_none() {
            self.directory.mark_owner_unresponsive(&choice.owner_vm);
        }
        let granted = reply.as_ref().is_some_and(|reply| reply.granted);
        let credit = reply.as_ref().map_or(0, |reply| reply.credit);
        if let Some(digest) = reply.and_then(|reply| reply.digest) {
            let lease_ms = self.options.upstream_lease_ms;
            self.directory.store_digest(&choice.owner_vm, digest, lease_ms, now_ms);
        }
        if granted {
            self.complete_placement(&service, &ticket, choice, credit, now_ms);
        } else {
            self.try_choices(&service, ticket, remaining, now_ms);
        }
        self.dispatch(&service, now_ms);
    }

    pub(crate) fn service_queue(&mut self, service: &CompactString) -> &mut ServiceQueue {
        let limit = self.options.max_waiting;
        let fair = self.options.mechanisms.fairness;
        self.queues.entry(service.clone()).or_insert_with(|| ServiceQueue::new(limit, fair))
    }

    fn expected_tokens(&mut self, request: &PlacementRequest) -> f64 {
        let PlacementRequest { service, workspace, max_output_tokens, prompt_tokens, .. } = request;
        let curve = self.estimator.curve(service, workspace, *max_output_tokens);
        let output = curve.mean_remaining(0).min(*max_output_tokens as f64);
        *prompt_tokens as f64 + output
    }

    pub(crate) fn dispatch_all(&mut self, now_ms: u64) {
        let services: Vec<CompactString> = self.queues.keys().cloned().collect();
        for service in services {
            self.dispatch(&service, now_ms);
        }
    }

    /// Tries to place waiting requests until an attempt finds no capacity or too
    /// many credit requests are pending.
    fn dispatch(&mut self, service: &CompactString, now_ms: u64) {
        loop {
            let Some(queue) = self.queues.get_mut(service) else { return };
            if queue.pending_credit_requests >= MAX_PENDING_CREDIT_REQUESTS
                || now_ms < queue.paused_until_ms
            {
                return;
            }
            let Some(ticket) = queue.queue.pop(now_ms) else { return };
            if queue.drop_if_cancelled(&ticket) {
                continue;
            }
            let choices = self.choices_for(service, &ticket, now_ms);
            if choices.is_empty() && self.refuse_without_engine(service, &ticket, now_ms) {
                continue;
            }
            self.try_choices(service, ticket, choices, now_ms);
        }
    }

    fn choices_for(
        &mut self,
        service: &str,
        ticket: &Ticket,
        now_ms: u64,
    ) -> SmallVec<[UpstreamChoice; 3]> {
        let pending = self.queues.get(service).and_then(|q| q.pending.get(&ticket.id));
        let Some(request) = pending.cloned() else { return SmallVec::new() };
        let required: SmallVec<[&str; 2]> =
            request.required_artifacts.iter().map(|artifact| artifact.as_str()).collect();
        let candidates = self.directory.candidates(UpstreamKind::Engine, &required, now_ms);
        let candidates = candidates.filter(|upstream| {
            !request.excluded_engines.iter().any(|excluded| *excluded == upstream.digest.upstream)
        });
        let preferred = self.prefix_hints.find(request.prefix, now_ms);
        let preferred = preferred.filter(|_| self.options.mechanisms.affinity);
        choose_upstreams(candidates, preferred, &self.options.data_centre, &mut self.rng)
    }

    /// Refuses a request for which no engine was found, once the grace period is
    /// over; returns whether it was refused.
    fn refuse_without_engine(&mut self, service: &str, ticket: &Ticket, now_ms: u64) -> bool {
        if now_ms < ticket.queued_ms + NO_ENGINE_GRACE_MS.min(ticket.max_wait_ms / 2) {
            return false;
        }
        let message = format!("no engine serves `{service}` now");
        let failure = Failure::not_run(Code::NoUpstream, message).retry_after_ms(RETRY_AFTER_MS);
        if let Some(queue) = self.queues.get_mut(service) {
            queue.queue.settle(&ticket.workspace, ticket.share, ticket.expected_tokens, 0.0);
            queue.pending.remove(&ticket.id);
        }
        self.effects.push(Effect::Refused(ticket.id, failure));
        true
    }

    /// Tries the choices in order until one grants a credit.
    fn try_choices(
        &mut self,
        service: &CompactString,
        ticket: Ticket,
        mut choices: SmallVec<[UpstreamChoice; 3]>,
        now_ms: u64,
    ) {
        while !choices.is_empty() {
            let choice = choices.remove(0);
            if choice.owner_vm != self.vm() {
                self.request_credit(service, ticket, choice, choices);
                return;
            }
            let credit = self.grant_credit(service, &ticket, &choice.upstream, now_ms);
            if let Some(credit) = credit {
                self.complete_placement(service, &ticket, choice, credit, now_ms);
                return;
            }
        }
        let jitter = self.options.mechanisms.jitter;
        let delay_ms =
            if jitter { self.rng.random_range(RETRY_DELAY_MS) } else { FIXED_RETRY_DELAY_MS };
        if let Some(queue) = self.queues.get_mut(service) {
            if queue.drop_if_cancelled(&ticket) {
                return;
            }
            queue.queue.requeue(ticket);
            queue.paused_until_ms = now_ms + delay_ms;
        }
    }

    fn grant_credit(
        &mut self,
        service: &str,
        ticket: &Ticket,
        upstream: &str,
        now_ms: u64,
    ) -> Option<u64> {
        let request = self.queues.get(service)?.pending.get(&ticket.id)?.clone();
        let curve = self.estimator.curve(service, &request.workspace, request.max_output_tokens);
        let grant_request = GrantRequest {
            holder_vm: self.options.vm.clone(),
            priority: request.priority.clone(),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.max_output_tokens,
            curve,
        };
        let ledger = self.owned.get_mut(upstream)?.ledger.as_mut()?;
        let credit = ledger.try_grant(&grant_request, &self.reservations, now_ms);
        self.update_own_directory(upstream, now_ms);
        credit
    }

    fn request_credit(
        &mut self,
        service: &CompactString,
        ticket: Ticket,
        choice: UpstreamChoice,
        remaining: SmallVec<[UpstreamChoice; 3]>,
    ) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        let Some(pending) = queue.pending.get(&ticket.id) else { return };
        queue.pending_credit_requests += 1;
        let request = CreditRequest {
            upstream: choice.upstream.to_string(),
            workspace: pending.workspace.to_string(),
            service: pending.service.to_string(),
            priority: pending.priority.to_string(),
            prompt_tokens: pending.prompt_tokens,
            max_output_tokens: pending.max_output_tokens,
            vm: self.options.vm.to_string(),
        };
        let id = CreditRequestId(self.next_credit_request);
        self.next_credit_request += 1;
        self.effects.push(Effect::RequestCredit {
            id,
            ticket: ticket.id,
            owner_vm: choice.owner_vm.clone(),
            request,
        });
        self.pending_credit_requests.insert(
            id,
            PendingCreditRequest { service: service.clone(), ticket, choice, remaining },
        );
    }

    /// Reports the placement to the request, or releases the credit if the request
    /// was cancelled.
    fn complete_placement(
        &mut self,
        service: &str,
        ticket: &Ticket,
        choice: UpstreamChoice,
        credit: u64,
        now_ms: u64,
    ) {
        let held = HeldCredit {
            owner_vm: choice.owner_vm.clone(),
            workspace: ticket.workspace.clone(),
            output_tokens: 0,
        };
        let key = (choice.upstream.clone(), credit);
        self.held_credits.insert(key.clone(), held);
        *self.running_by_workspace.entry(ticket.workspace.clone()).or_default() += 1;
        self.directory.request_started(&choice.upstream);
        let queue = self.queues.get_mut(service);
        let request = queue.and_then(|queue| {
            queue.record_grant(now_ms);
            queue.pending.remove(&ticket.id)
        });
        let Some(request) = request else {
            self.release_unused_credit(&key, service, now_ms);
            return;
        };
        self.prefix_hints.insert(request.prefix, &choice.upstream, now_ms);
        let placement = Placement {
            upstream: choice.upstream,
            address: choice.address,
            owner_vm: choice.owner_vm,
            credit,
            expected_tokens: ticket.expected_tokens,
            waited_ms: now_ms.saturating_sub(ticket.queued_ms),
        };
        self.effects.push(Effect::Placed(ticket.id, placement));
    }

    /// Refuses requests that reached the maximum wait of their priority.
    pub(crate) fn refuse_expired(&mut self, now_ms: u64) {
        for queue in self.queues.values_mut() {
            for ticket in queue.queue.expire(now_ms) {
                queue.pending.remove(&ticket.id);
                let message = "no engine could take the request in time";
                let failure = Failure::not_run(Code::Overloaded, message);
                let failure = failure.retry_after_ms(RETRY_AFTER_MS);
                self.effects.push(Effect::Refused(ticket.id, failure));
            }
        }
    }

    /// Resumes paused queues after capacity may have become free.
    pub(crate) fn resume_paused_queues(&mut self, now_ms: u64) {
        for queue in self.queues.values_mut() {
            queue.paused_until_ms = 0;
        }
        self.dispatch_all(now_ms);
    }
}

fn limit_reached(message: String) -> Failure {
    Failure::not_run(Code::WorkspaceLimit, message).retry_after_ms(RETRY_AFTER_MS)
}
