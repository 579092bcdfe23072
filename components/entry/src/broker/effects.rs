//! Performs the placer's effects.

use std::time::Duration;

use actix::{AsyncContext as _, Context, Handler, Message};
use compact_str::CompactString;
use placement::{CreditRequestId, Effect, Placement, TicketId};
use schema::{CreditReply, CreditRequest, DigestRequest, EntryMember, reply, request};
use telemetry::Span;
use verdict::Failure;
use wire::CallError;

use super::Broker;

const CREDIT_TIMEOUT: Duration = Duration::from_millis(400);
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);
const DIGEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Reply of another entry to a credit request; `None` if the request failed.
#[derive(Message)]
#[rtype(result = "()")]
struct CreditReplyReceived(CreditRequestId, Option<CreditReply>);

/// Whether another entry accepted a digest.
#[derive(Message)]
#[rtype(result = "()")]
struct DigestAcknowledged(CompactString, bool);

impl Broker {
    pub(super) fn apply_effects(&mut self, context: &mut Context<Self>) {
        // Returning an unused placement queues further effects.
        loop {
            let effects = self.placer.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_effect(effect, context);
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect, context: &mut Context<Self>) {
        match effect {
            Effect::Placed(ticket, placement) => self.resolve(ticket, Ok(placement)),
            Effect::Refused(ticket, failure) => self.resolve(ticket, Err(failure)),
            Effect::RequestCredit { id, ticket, owner_vm, request } => {
                self.request_credit(id, ticket, &owner_vm, request, context);
            }
            Effect::ReleaseCredit(owner_vm, release) => {
                self.notify(&owner_vm, request::Body::CreditRelease(release));
            }
            Effect::RenewCredits(owner_vm, renew) => {
                // The reply is not needed: generations whose credits are lost
                // are counted from the engine's load reports.
                self.notify(&owner_vm, request::Body::CreditRenew(renew));
            }
            Effect::SendDigest(watcher_vm, digest) => self.send_digest(watcher_vm, digest, context),
        }
    }

    fn resolve(&mut self, ticket: TicketId, outcome: Result<Placement, Failure>) {
        let Some(queued) = self.queued.remove(&ticket) else { return };
        if let Ok(placement) = &outcome {
            let seconds = placement.waited_ms as f64 / 1_000.0;
            let service = queued.service.as_str();
            self.metrics.queue_seconds.with_label_values(&[service]).observe(seconds);
            if placement.owner_vm == self.placer.vm() {
                self.metrics.credits.with_label_values(&["own"]).inc();
            }
        }
        if let Err(Ok(placement)) = queued.result.send(outcome) {
            self.placer.release_unused(&queued.service, &placement, self.clock.now_ms());
        }
    }

    fn request_credit(
        &mut self,
        id: CreditRequestId,
        ticket: TicketId,
        owner_vm: &str,
        request: CreditRequest,
        context: &mut Context<Self>,
    ) {
        let owner = self.placer.member(owner_vm).cloned();
        let traceparent = self.queued.get(&ticket).map(|queued| queued.traceparent.clone());
        let span = self.spans.start_server_span("credit.request", &traceparent.unwrap_or_default());
        let (peers, metrics) = (self.peers.clone(), self.metrics.clone());
        let address = context.address();
        actix_rt::spawn(async move {
            let reply = match owner {
                Some(owner) => {
                    let body = request::Body::Credit(request);
                    let called = peers.call(&owner, body, span.traceparent(), CREDIT_TIMEOUT).await;
                    credit_reply(&span, called)
                }
                None => None,
            };
            let outcome = match &reply {
                Some(reply) if reply.granted => "granted",
                Some(_) => "refused",
                None => "unanswered",
            };
            metrics.credits.with_label_values(&[outcome]).inc();
            address.do_send(CreditReplyReceived(id, reply));
        });
    }

    fn send_digest(
        &mut self,
        watcher_vm: CompactString,
        digest: DigestRequest,
        context: &mut Context<Self>,
    ) {
        let watcher = self.placer.member(&watcher_vm).cloned();
        let (peers, address) = (self.peers.clone(), context.address());
        actix_rt::spawn(async move {
            let accepted = match watcher {
                Some(watcher) => {
                    let body = request::Body::Digest(digest);
                    peers.call(&watcher, body, String::new(), DIGEST_TIMEOUT).await.is_ok()
                }
                None => false,
            };
            address.do_send(DigestAcknowledged(watcher_vm, accepted));
        });
    }

    /// Sends a credit release or renewal without retry; the credit's lease limits
    /// the effect of a lost one.
    fn notify(&self, vm: &str, body: request::Body) {
        let Some(member) = self.placer.member(vm).cloned() else { return };
        let peers = self.peers.clone();
        actix_rt::spawn(async move { notify(peers, member, body).await });
    }
}

async fn notify(peers: crate::peers::Peers, member: EntryMember, body: request::Body) {
    if let Err(error) = peers.call(&member, body, String::new(), NOTIFY_TIMEOUT).await {
        log::debug!(vm = member.vm.as_str(), error = error.to_string().as_str(); "credit release or renewal failed");
    }
}

fn credit_reply(span: &Span, called: Result<reply::Body, CallError>) -> Option<CreditReply> {
    match called {
        Ok(reply::Body::Credit(reply)) => {
            span.set_attribute("granted", reply.granted);
            Some(reply)
        }
        Ok(_) => None,
        Err(error) => {
            span.set_error(error.to_string());
            None
        }
    }
}

impl Handler<CreditReplyReceived> for Broker {
    type Result = ();

    fn handle(
        &mut self,
        CreditReplyReceived(id, reply): CreditReplyReceived,
        context: &mut Context<Self>,
    ) {
        self.placer.handle_credit_reply(id, reply, self.clock.now_ms());
        self.apply_effects(context);
    }
}

impl Handler<DigestAcknowledged> for Broker {
    type Result = ();

    fn handle(&mut self, ack: DigestAcknowledged, _: &mut Context<Self>) {
        let DigestAcknowledged(watcher_vm, accepted) = ack;
        self.placer.handle_digest_ack(&watcher_vm, accepted);
    }
}
