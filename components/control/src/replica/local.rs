//! Requests from adapters in this process: announcements of upstreams, gateway
//! addresses for callers, and sets of routes from operators.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Context, Handler, Message, ResponseFuture};
use balance::AnswerLimits;
use bytes::Bytes;
use credentials::{Identity, Role};
use registry::AnnounceOutcome;
use schema::{
    ErrorCode, GetRoutesReply, GetRoutesRequest, PublishRoutes, Reply, Request, UpstreamPhase,
    UpstreamRecord, command, reply, request,
};
use tokio::time::Instant;
use wire::error_reply;

use super::Replica;
use super::confirmations::Awaited;
use super::drive::unpack_publication;
use super::ends::record_end;
use super::requests::ready;

/// Timeout of a request forwarded to the leader; shorter than the second after
/// which operators retry at another control process.
const LEADER_FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// With at least this many ready gateways in the caller's data centre, gateways
/// in other data centres are not returned.
const MIN_LOCAL_GATEWAYS: usize = 2;

/// Request that arrived through a [`crate::Handle`] of this process rather than
/// from a peer. A replica that does not lead forwards it to the leader.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct LocalRequest(pub(crate) request::Body);

impl Handler<LocalRequest> for Replica {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, LocalRequest(body): LocalRequest, _: &mut Context<Self>) -> Self::Result {
        self.request_from_leader(body)
    }
}

/// Linearizable read of the document of the set of routes in force.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct ReadDocument;

impl Handler<ReadDocument> for Replica {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, _: ReadDocument, _: &mut Context<Self>) -> Self::Result {
        let held = self.state.routes().current();
        let (known_number, document) = (held.number, held.document.clone());
        let reply =
            self.request_from_leader(request::Body::GetRoutes(GetRoutesRequest { known_number }));
        Box::pin(async move {
            let mut reply = reply.await;
            if let Some(reply::Body::GetRoutes(read)) = &mut reply.body
                && read.number <= known_number
            {
                read.document = document;
            }
            reply
        })
    }
}

/// Announcement of an upstream. Returns true once it may be acknowledged: for
/// the end of an upstream, once the gateways confirmed it or the wait for them
/// timed out, and the control group has recorded it. Returns false if no gateway is connected,
/// none knows the upstream, or no quorum records its end.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Announce(pub(crate) UpstreamRecord);

impl Handler<Announce> for Replica {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, Announce(record): Announce, _: &mut Context<Self>) -> Self::Result {
        let now_ms = self.clock.now_ms();
        if !self.gateway_syncs.has_live_gateway(now_ms) {
            log::debug!(upstream = record.id.as_str(); "announcement refused: no gateway is connected");
            return Box::pin(std::future::ready(false));
        }
        let (id, phase) = (record.id.clone(), record.phase());
        let (born_ms, sequence) = (record.born_ms, record.sequence);
        let is_ending = matches!(phase, UpstreamPhase::Draining | UpstreamPhase::Gone);
        let ending = is_ending.then(|| record.clone());
        let outcome = self.gateway_syncs.registry.apply_announcement(record, now_ms);
        if let AnnounceOutcome::Changed(version) = outcome {
            log::info!(upstream = id.as_str(), phase = phase.as_str_name(), born_ms, sequence, version; "upstream changed");
        }
        let Some(ending) = ending.filter(|_| outcome != AnnounceOutcome::Outdated) else {
            self.serve_gateways();
            return Box::pin(std::future::ready(true));
        };
        let awaited = Awaited::End(id.as_str().into());
        let confirmed = self.gateway_syncs.wait_for_confirmation(awaited, now_ms);
        self.serve_gateways();
        let (replica, announced_at) = (self.actor_address.clone(), Instant::now());
        Box::pin(async move {
            let is_confirmed = confirmed.await.unwrap_or(false);
            let Some(replica) = replica.filter(|_| is_confirmed) else { return false };
            record_end(&replica, ending, announced_at).await
        })
    }
}

/// Returns addresses of ready gateways for a caller in a data centre.
#[derive(Debug, Message)]
#[rtype(result = "Vec<SocketAddr>")]
pub(crate) struct GatewayAddresses {
    pub(crate) data_centre: String,
    pub(crate) max_addresses: usize,
}

impl Handler<GatewayAddresses> for Replica {
    type Result = Vec<SocketAddr>;

    fn handle(&mut self, message: GatewayAddresses, _: &mut Context<Self>) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let limits =
            AnswerLimits { min_local: MIN_LOCAL_GATEWAYS, max_entries: message.max_addresses };
        self.gateway_syncs.ready_gateway_addresses(&message.data_centre, limits, now_ms)
    }
}

impl Replica {
    pub(super) fn expire_upstreams(&mut self, now_ms: u64) {
        let interval_ms = self.config.announce_interval_ms;
        for id in self.gateway_syncs.registry.expire(interval_ms, now_ms) {
            log::warn!(upstream = id.as_str(), interval_ms; "upstream announcements missed; upstream marked silent");
        }
    }

    /// Handles a request of this process if it leads, and forwards it to the leader if not.
    pub(super) fn request_from_leader(&mut self, body: request::Body) -> ResponseFuture<Reply> {
        let request = Request { traceparent: String::new(), body: Some(body) };
        if self.node.is_leader() {
            let own_identity = Identity { role: Role::Control, name: self.config.vm.clone() };
            let reply = self.handle_request(&own_identity, request);
            self.drive();
            return reply;
        }
        let Ok(leader) = self.leader_address().parse() else {
            return ready(error_reply(ErrorCode::NotLeader, "no leader is known"));
        };
        let link = self.link(leader);
        Box::pin(async move {
            match link.call(request, LEADER_FORWARD_TIMEOUT).await {
                Ok(body) => Reply { body: Some(body) },
                Err(wire::CallError::Refused(error)) => {
                    Reply { body: Some(reply::Body::Error(error)) }
                }
                Err(error) => error_reply(ErrorCode::UnknownOutcome, error.to_string()),
            }
        })
    }

    pub(super) fn publish_routes(&mut self, publish: PublishRoutes) -> ResponseFuture<Reply> {
        let set = match unpack_publication(publish.clone()) {
            Ok(unpacked) => unpacked.set.unwrap_or_default(),
            Err(error) => return ready(error_reply(ErrorCode::Invalid, error.to_string())),
        };
        let number = set.number;
        if let Err(problem) = routing::validate_route_set(&set) {
            log::info!(number, problem = problem.to_string().as_str(); "set of routes refused");
            return ready(error_reply(ErrorCode::Invalid, problem.to_string()));
        }
        if !self.can_accept_routes() {
            let message = "the group is forming; too few voters to keep a set";
            return ready(error_reply(ErrorCode::Overloaded, message));
        }
        let committed = self.commit(command::Body::PublishRoutes(publish));
        Box::pin(async move {
            let reply = committed.await;
            if let Some(reply::Body::PublishRoutes(outcome)) = &reply.body {
                log::info!(number, current = outcome.number, changed = outcome.changed; "set of routes accepted");
            }
            reply
        })
    }

    /// Returns whether the group has enough voters for a set that is accepted
    /// now to survive the loss of `tolerated_losses` VMs; also true once any set
    /// has been published.
    pub(super) fn can_accept_routes(&self) -> bool {
        let voters = consensus::voter_count(self.node.configuration());
        let needed = 2 * self.config.tolerated_losses as usize + 1;
        voters >= needed || self.state.routes().current().number > 0
    }

    /// Reads the document in force, without its bytes if the asking process holds it.
    pub(super) fn get_routes(&mut self, known_number: u64) -> ResponseFuture<Reply> {
        self.linearizable_read(move |replica| {
            let current = replica.state.routes().current();
            let is_known = current.number <= known_number;
            let document = if is_known { Bytes::new() } else { current.document.clone() };
            let read = GetRoutesReply { number: current.number, document };
            Reply { body: Some(reply::Body::GetRoutes(read)) }
        })
    }
}
