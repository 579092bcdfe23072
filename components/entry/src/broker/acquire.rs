//! From a waiting request to a credit at an engine.

use std::sync::Arc;
use std::time::Duration;

use actix::{AsyncContext as _, Context, Handler, Message, ResponseFuture};
use admission::{Ask, Ticket, TicketId};
use compact_str::CompactString;
use rand::RngExt as _;
use routing::{Choice, choose};
use schema::{CreditReply, CreditRequest, UpstreamKind, reply, request};
use smallvec::SmallVec;
use telemetry::Span;
use tokio::sync::oneshot;
use verdict::{Code, Failure};

use super::Broker;
use super::credits::Held;
use super::service::{Pending, ServiceQueue};

const CREDIT_TIMEOUT: Duration = Duration::from_millis(400);
/// Attempts of one service that may wait for other entries at a time.
const MAX_ATTEMPTS: usize = 64;
/// Pause after an attempt that found no room; jitter keeps entries apart.
const PAUSE_MS: std::ops::Range<u64> = 10..30;
/// How long a request waits for the first engine of its service.
const NO_ENGINE_GRACE_MS: u64 = 2_000;
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Asks for a place on an engine.
#[derive(Debug, Message)]
#[rtype(result = "Result<Placement, Failure>")]
pub(crate) struct Acquire {
    pub(crate) service: CompactString,
    pub(crate) workspace: CompactString,
    pub(crate) share: u32,
    pub(crate) max_streams: u32,
    pub(crate) max_waiting: u32,
    pub(crate) priority: CompactString,
    pub(crate) rank: u32,
    pub(crate) max_wait_ms: u64,
    /// Version and adapter that the engine must serve.
    pub(crate) needs: SmallVec<[CompactString; 2]>,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) prefix: u64,
    /// Engines that failed this request before.
    pub(crate) exclude: SmallVec<[CompactString; 2]>,
    pub(crate) traceparent: String,
}

/// Place on an engine, under a credit.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) upstream: CompactString,
    pub(crate) address: CompactString,
    pub(crate) owner_vm: CompactString,
    pub(crate) credit: u64,
    /// Tokens that the workspace was charged with in advance.
    pub(crate) expected_tokens: f64,
    /// Stream to which the placement belongs, for the workspace's bound.
    pub(crate) waited_ms: u64,
}

impl Handler<Acquire> for Broker {
    type Result = ResponseFuture<Result<Placement, Failure>>;

    fn handle(&mut self, acquire: Acquire, context: &mut Context<Self>) -> Self::Result {
        let (result, receiver) = oneshot::channel();
        if let Err(failure) = self.enqueue(acquire, result, context) {
            return Box::pin(std::future::ready(Err(failure)));
        }
        Box::pin(async move {
            let stopping = || Failure::not_run(Code::Unavailable, "the entry is stopping");
            receiver.await.unwrap_or_else(|_| Err(stopping()))
        })
    }
}

/// Outcome of a request for a credit at another entry.
#[derive(Message)]
#[rtype(result = "()")]
struct Attempted {
    service: CompactString,
    ticket: Ticket,
    choice: Choice,
    rest: SmallVec<[Choice; 3]>,
    reply: Option<CreditReply>,
}

impl Broker {
    fn enqueue(
        &mut self,
        acquire: Acquire,
        result: oneshot::Sender<Result<Placement, Failure>>,
        context: &mut Context<Self>,
    ) -> Result<(), Failure> {
        let now_ms = self.clock.now_ms();
        let running = self.streams_of.get(&acquire.workspace).copied().unwrap_or_default();
        if running >= acquire.max_streams {
            let message = format!("the workspace has {running} generations running already");
            return Err(limit_reached(message));
        }
        let service = acquire.service.clone();
        let expected_tokens = self.expected_tokens(&acquire);
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let limit = self.config.limits.max_waiting as usize;
        let queue = self.queues.entry(service.clone()).or_insert_with(|| ServiceQueue::new(limit));
        if queue.queue.len_of(&acquire.workspace) >= acquire.max_waiting as usize {
            let message = format!("the workspace has {} requests waiting", acquire.max_waiting);
            return Err(limit_reached(message));
        }
        let wait_ms = queue.expected_wait_ms(acquire.rank);
        if wait_ms > acquire.max_wait_ms as f64 {
            let message = "the queue is too long for the request to start in time";
            let retry_after_ms = (wait_ms as u64 - acquire.max_wait_ms).max(MIN_RETRY_AFTER_MS);
            return Err(Failure::not_run(Code::Overloaded, message).retry_after_ms(retry_after_ms));
        }
        let ticket = Ticket {
            id,
            workspace: acquire.workspace.clone(),
            share: acquire.share,
            rank: acquire.rank,
            max_wait_ms: acquire.max_wait_ms,
            queued_ms: now_ms,
            expected_tokens,
        };
        queue.queue.push(ticket).map_err(|error| {
            Failure::not_run(Code::Overloaded, error.to_string()).retry_after_ms(1_000)
        })?;
        queue.retries.earn();
        queue.pending.insert(id, Pending { acquire: Arc::new(acquire), result });
        self.pump(&service, context);
        Ok(())
    }

    fn expected_tokens(&mut self, acquire: &Acquire) -> f64 {
        let Acquire { service, workspace, max_output_tokens, prompt_tokens, .. } = acquire;
        let curve = self.estimator.curve(service, workspace, *max_output_tokens);
        let output = curve.mean_after(0).min(*max_output_tokens as f64);
        *prompt_tokens as f64 + output
    }

    pub(super) fn pump_all(&mut self, context: &mut Context<Self>) {
        let services: Vec<CompactString> = self.queues.keys().cloned().collect();
        for service in services {
            self.pump(&service, context);
        }
    }

    /// Makes attempts for waiting requests as long as there may be room.
    fn pump(&mut self, service: &CompactString, context: &mut Context<Self>) {
        loop {
            let now_ms = self.clock.now_ms();
            let Some(queue) = self.queues.get_mut(service) else { return };
            let waiting = i64::try_from(queue.queue.len()).unwrap_or(i64::MAX);
            self.metrics.waiting.with_label_values(&[service.as_str()]).set(waiting);
            if queue.attempts >= MAX_ATTEMPTS || now_ms < queue.paused_until_ms {
                return;
            }
            let Some(ticket) = queue.queue.pop(now_ms) else { return };
            if queue.is_abandoned(&ticket) {
                queue.pending.remove(&ticket.id);
                queue.queue.settle(&ticket.workspace, ticket.share, ticket.expected_tokens, 0.0);
                continue;
            }
            let choices = self.choices_for(service, &ticket, now_ms);
            if choices.is_empty() && self.refuse_without_engine(service, &ticket, now_ms) {
                continue;
            }
            self.attempt(service, ticket, choices, context);
        }
    }

    fn choices_for(
        &mut self,
        service: &str,
        ticket: &Ticket,
        now_ms: u64,
    ) -> SmallVec<[Choice; 3]> {
        let pending = self.queues.get(service).and_then(|q| q.pending.get(&ticket.id));
        let Some(acquire) = pending.map(|pending| pending.acquire.clone()) else {
            return SmallVec::new();
        };
        let needs: SmallVec<[&str; 2]> = acquire.needs.iter().map(|n| n.as_str()).collect();
        let candidates = self.directory.candidates(UpstreamKind::Engine, &needs, now_ms);
        let candidates = candidates.filter(|known| {
            !acquire.exclude.iter().any(|excluded| *excluded == known.digest.upstream)
        });
        let preferred = self.hints.find(acquire.prefix, now_ms);
        choose(candidates, preferred, self.config.data_centre.as_str(), &mut self.rng)
    }

    /// Refuses a request that no engine has served for a while.
    fn refuse_without_engine(&mut self, service: &str, ticket: &Ticket, now_ms: u64) -> bool {
        if now_ms < ticket.queued_ms + NO_ENGINE_GRACE_MS.min(ticket.max_wait_ms / 2) {
            return false;
        }
        let message = format!("no engine serves `{service}` now");
        let failure = Failure::not_run(Code::NoUpstream, message).retry_after_ms(1_000);
        self.finish(service, ticket, Err(failure));
        true
    }

    /// Tries the choices in order; the first one that grants a credit wins.
    fn attempt(
        &mut self,
        service: &CompactString,
        ticket: Ticket,
        mut choices: SmallVec<[Choice; 3]>,
        context: &mut Context<Self>,
    ) {
        let now_ms = self.clock.now_ms();
        while !choices.is_empty() {
            let choice = choices.remove(0);
            if choice.owner_vm != self.vm() {
                self.ask_owner(service, ticket, choice, choices, context);
                return;
            }
            let credit = self.grant_own(service, &ticket, &choice.upstream, now_ms);
            self.count_credit(credit.is_some());
            if let Some(credit) = credit {
                self.place(service, &ticket, choice, credit, now_ms);
                return;
            }
        }
        let pause_ms = self.rng.random_range(PAUSE_MS);
        if let Some(queue) = self.queues.get_mut(service) {
            queue.queue.put_back(ticket);
            queue.paused_until_ms = now_ms + pause_ms;
        }
    }

    fn count_credit(&self, granted: bool) {
        let outcome = if granted { "granted" } else { "refused" };
        self.metrics.credits.with_label_values(&[outcome]).inc();
    }

    fn grant_own(
        &mut self,
        service: &str,
        ticket: &Ticket,
        upstream: &str,
        now_ms: u64,
    ) -> Option<u64> {
        let acquire = self.queues.get(service)?.pending.get(&ticket.id)?.acquire.clone();
        let curve = self.estimator.curve(service, &acquire.workspace, acquire.max_output_tokens);
        let ask = Ask {
            holder_vm: self.vm().into(),
            priority: acquire.priority.clone(),
            prompt_tokens: acquire.prompt_tokens,
            max_output_tokens: acquire.max_output_tokens,
            curve,
        };
        let ledger = self.owned.get_mut(upstream)?.ledger.as_mut()?;
        let credit = ledger.try_grant(&ask, &self.reservations, now_ms);
        self.refresh_own(upstream, now_ms);
        credit
    }

    fn ask_owner(
        &mut self,
        service: &CompactString,
        ticket: Ticket,
        choice: Choice,
        rest: SmallVec<[Choice; 3]>,
        context: &mut Context<Self>,
    ) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        let Some(pending) = queue.pending.get(&ticket.id) else { return };
        let acquire = pending.acquire.clone();
        queue.attempts += 1;
        let owner = self.member(&choice.owner_vm).cloned();
        let vm = self.vm().to_string();
        let (peers, spans) = (self.peers.clone(), self.spans.clone());
        let (service, address) = (service.clone(), context.address());
        actix_rt::spawn(async move {
            let span = spans.server("credit.request", &acquire.traceparent);
            let reply = match owner {
                Some(owner) => {
                    let body = credit_request(&acquire, &choice, vm);
                    let called = peers.call(&owner, body, span.traceparent(), CREDIT_TIMEOUT).await;
                    finish_span(&span, called)
                }
                None => None,
            };
            address.do_send(Attempted { service, ticket, choice, rest, reply });
        });
    }

    /// Gives the request its place, or the credit back if its caller left.
    pub(super) fn place(
        &mut self,
        service: &str,
        ticket: &Ticket,
        choice: Choice,
        credit: u64,
        now_ms: u64,
    ) {
        let waited_ms = now_ms.saturating_sub(ticket.queued_ms);
        let placement = Placement {
            upstream: choice.upstream.clone(),
            address: choice.address,
            owner_vm: choice.owner_vm.clone(),
            credit,
            expected_tokens: ticket.expected_tokens,
            waited_ms,
        };
        let held = Held {
            owner_vm: choice.owner_vm,
            workspace: ticket.workspace.clone(),
            output_tokens: 0,
        };
        let key = (choice.upstream.clone(), credit);
        self.held.insert(key.clone(), held);
        *self.streams_of.entry(ticket.workspace.clone()).or_default() += 1;
        self.directory.started(&choice.upstream);
        if let Some(queue) = self.queues.get_mut(service) {
            queue.granted(now_ms);
            if let Some(pending) = queue.pending.get(&ticket.id) {
                self.hints.remember(pending.acquire.prefix, &choice.upstream, now_ms);
            }
        }
        let seconds = waited_ms as f64 / 1_000.0;
        self.metrics.queue_seconds.with_label_values(&[service]).observe(seconds);
        if !self.finish(service, ticket, Ok(placement)) {
            self.return_unused(&key, service);
        }
    }

    /// Reports the outcome; false if nobody waits for it any more.
    fn finish(
        &mut self,
        service: &str,
        ticket: &Ticket,
        outcome: Result<Placement, Failure>,
    ) -> bool {
        let Some(queue) = self.queues.get_mut(service) else { return false };
        if outcome.is_err() {
            queue.queue.settle(&ticket.workspace, ticket.share, ticket.expected_tokens, 0.0);
        }
        let pending = queue.pending.remove(&ticket.id);
        pending.is_some_and(|pending| pending.result.send(outcome).is_ok())
    }

    /// Refuses requests that waited as long as their priority allows.
    pub(super) fn refuse_late(&mut self, now_ms: u64) {
        for queue in self.queues.values_mut() {
            for ticket in queue.queue.expire(now_ms) {
                let message = "no engine could take the request in time";
                let failure = Failure::not_run(Code::Overloaded, message).retry_after_ms(1_000);
                if let Some(pending) = queue.pending.remove(&ticket.id) {
                    let _ = pending.result.send(Err(failure));
                }
            }
        }
    }

    /// Lets paused queues try again because room was reported.
    pub(super) fn room_reported(&mut self, context: &mut Context<Self>) {
        for queue in self.queues.values_mut() {
            queue.paused_until_ms = 0;
        }
        self.pump_all(context);
    }
}

impl Handler<Attempted> for Broker {
    type Result = ();

    fn handle(&mut self, attempted: Attempted, context: &mut Context<Self>) {
        let Attempted { service, ticket, choice, rest, reply } = attempted;
        let now_ms = self.clock.now_ms();
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.attempts = queue.attempts.saturating_sub(1);
        }
        let granted = reply.as_ref().is_some_and(|reply| reply.granted);
        self.count_credit(granted);
        let credit = reply.as_ref().map_or(0, |reply| reply.credit);
        if let Some(digest) = reply.and_then(|reply| reply.digest) {
            let lease_ms = self.config.timers.upstream_lease_ms;
            self.directory.put(&choice.owner_vm, digest, lease_ms, now_ms);
        }
        if granted {
            self.place(&service, &ticket, choice, credit, now_ms);
        } else {
            self.attempt(&service, ticket, rest, context);
        }
        self.pump(&service, context);
    }
}

fn credit_request(acquire: &Acquire, choice: &Choice, vm: String) -> request::Body {
    request::Body::Credit(CreditRequest {
        upstream: choice.upstream.to_string(),
        workspace: acquire.workspace.to_string(),
        service: acquire.service.to_string(),
        priority: acquire.priority.to_string(),
        prompt_tokens: acquire.prompt_tokens,
        max_output_tokens: acquire.max_output_tokens,
        vm,
    })
}

fn finish_span(span: &Span, called: Result<reply::Body, wire::CallError>) -> Option<CreditReply> {
    match called {
        Ok(reply::Body::Credit(reply)) => {
            span.set("granted", reply.granted);
            Some(reply)
        }
        Ok(_) => None,
        Err(error) => {
            span.fail(error.to_string());
            None
        }
    }
}

fn limit_reached(message: String) -> Failure {
    Failure::not_run(Code::WorkspaceLimit, message).retry_after_ms(1_000)
}
