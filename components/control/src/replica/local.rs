//! What the process serves to upstreams, callers and operators of gateways.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Context, Handler, Message, ResponseFuture};
use credentials::{Identity, Role};
use registry::Announced;
use schema::{
    ErrorCode, GetRoutesReply, PublishRoutes, Reply, Request, UpstreamPhase, UpstreamRecord,
    command, reply, request,
};
use wire::refuse;

use super::Replica;
use super::requests::ready;

/// Longest wait for the leader's answer to a forwarded request; operators turn
/// to another process after a second without an answer.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Ready gateways in a caller's data centre that are enough to name no others.
const ENOUGH_NEAR: usize = 2;

/// Request that arrived on an interface of this process rather than from a
/// peer; the leader answers it wherever it arrived.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct Ask(pub(crate) request::Body);

impl Handler<Ask> for Replica {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, Ask(body): Ask, _: &mut Context<Self>) -> Self::Result {
        let request = Request { traceparent: String::new(), body: Some(body) };
        if self.node.is_leader() {
            let here = Identity { role: Role::Control, name: self.config.vm.clone() };
            let reply = self.answer(&here, request);
            self.drive();
            return reply;
        }
        let Ok(leader) = self.leader_address().parse() else {
            return ready(refuse(ErrorCode::NotLeader, "no leader is known"));
        };
        let link = self.link(leader);
        Box::pin(async move {
            match link.call(request, FORWARD_TIMEOUT).await {
                Ok(body) => Reply { body: Some(body) },
                Err(wire::CallError::Refused(error)) => {
                    Reply { body: Some(reply::Body::Error(error)) }
                }
                Err(error) => refuse(ErrorCode::UnknownOutcome, error.to_string()),
            }
        })
    }
}

/// Announcement of an upstream; true once it may be acknowledged.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Announce(pub(crate) UpstreamRecord);

impl Handler<Announce> for Replica {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, Announce(record): Announce, _: &mut Context<Self>) -> Self::Result {
        let now_ms = self.clock.now_ms();
        if !self.syncs.reaches_entries(now_ms) {
            log::debug!(upstream = record.id.as_str(); "announcement refused: no gateway is connected");
            return Box::pin(std::future::ready(false));
        }
        let (id, phase) = (record.id.clone(), record.phase());
        let (born_ms, sequence) = (record.born_ms, record.sequence);
        let announced = self.syncs.registry.announce(record, now_ms);
        let ends = matches!(phase, UpstreamPhase::Draining | UpstreamPhase::Gone);
        if let Announced::Changed(version) = announced {
            log::info!(upstream = id.as_str(), phase = phase.as_str_name(), born_ms, sequence, version; "upstream changed");
        }
        if !ends || announced == Announced::Outdated {
            self.serve_syncs();
            return Box::pin(std::future::ready(true));
        }
        let version = self.syncs.registry.version();
        let confirmed = self.syncs.confirmation(version, now_ms);
        self.serve_syncs();
        Box::pin(async move { confirmed.await.unwrap_or(false) })
    }
}

/// Asks where callers in a data centre may connect.
#[derive(Debug, Message)]
#[rtype(result = "Vec<SocketAddr>")]
pub(crate) struct CallerAddresses(pub(crate) String);

impl Handler<CallerAddresses> for Replica {
    type Result = Vec<SocketAddr>;

    fn handle(&mut self, message: CallerAddresses, _: &mut Context<Self>) -> Self::Result {
        let now_ms = self.clock.now_ms();
        self.syncs.caller_addresses(&message.0, ENOUGH_NEAR, now_ms)
    }
}

impl Replica {
    pub(super) fn expire_upstreams(&mut self, now_ms: u64) {
        let interval_ms = self.config.announce_interval_ms;
        for id in self.syncs.registry.expire(interval_ms, now_ms) {
            log::warn!(upstream = id.as_str(), interval_ms; "upstream silent");
        }
    }

    pub(super) fn publish_routes(&mut self, publish: PublishRoutes) -> ResponseFuture<Reply> {
        let set = publish.set.clone().unwrap_or_default();
        if let Err(problem) = routing::check_routes(&set) {
            log::info!(number = set.number, problem = problem.to_string().as_str(); "set of routes refused");
            return ready(refuse(ErrorCode::Invalid, problem.to_string()));
        }
        if !self.is_formed() {
            let message = "the group is forming; too few voters to keep a set";
            return ready(refuse(ErrorCode::Overloaded, message));
        }
        let number = set.number;
        let committed = self.commit(command::Body::PublishRoutes(publish));
        Box::pin(async move {
            let reply = committed.await;
            if let Some(reply::Body::PublishRoutes(outcome)) = &reply.body {
                log::info!(number, current = outcome.number, changed = outcome.changed; "set of routes accepted");
            }
            reply
        })
    }

    /// Returns whether a set that is accepted now survives the losses that the
    /// group is meant to bear.
    fn is_formed(&self) -> bool {
        let voters = consensus::voter_count(self.node.configuration());
        let needed = 2 * self.config.tolerated_losses as usize + 1;
        voters >= needed || self.state.routes().current().number > 0
    }

    pub(super) fn get_routes(&mut self) -> ResponseFuture<Reply> {
        self.after_barrier(|replica| {
            let current = replica.state.routes().current();
            let set = (current.number > 0).then(|| current.clone());
            Reply { body: Some(reply::Body::GetRoutes(GetRoutesReply { set })) }
        })
    }
}
