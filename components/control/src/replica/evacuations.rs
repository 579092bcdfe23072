//! Evacuation of data centres: upstreams there get no new requests.
//!
//! The leader commits each order to the replicated state, from which every control process
//! hands the evacuated data centres to the gateways and drops them from the candidates of
//! requests that wait at its arbiter.

use actix::{Addr, Context, Handler, Message, ResponseFuture};
use credentials::{Identity, Role};
use schema::{ErrorCode, EvacuateDataCentre, EvacuationsRequest, Reply, command, reply, request};
use wire::error_reply;

use super::Replica;
use super::confirmations::Awaited;
use super::requests::ready;

/// Maximum length of the name of a data centre.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of evacuated data centres.
const MAX_EVACUATIONS: usize = 256;

/// Order of an operator, acknowledged once it is committed and the gateways have confirmed it,
/// or the wait for them timed out. Gateways that are not connected here learn of it from the
/// other control processes.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub(crate) struct OrderEvacuation(pub(crate) EvacuateDataCentre);

impl Handler<OrderEvacuation> for Replica {
    type Result = ResponseFuture<Reply>;

    fn handle(&mut self, message: OrderEvacuation, _: &mut Context<Self>) -> Self::Result {
        let request = EvacuationsRequest { order: Some(message.0) };
        let committed = self.request_from_leader(request::Body::Evacuations(request));
        let address = self.actor_address.clone();
        Box::pin(async move { confirmed(committed.await, address).await })
    }
}

/// Waits until the gateways of this process have confirmed a version of the evacuated data
/// centres. Returns false if none is connected.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
struct ConfirmEvacuations(u64);

impl Handler<ConfirmEvacuations> for Replica {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, message: ConfirmEvacuations, _: &mut Context<Self>) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let awaited = Awaited::Evacuations(message.0);
        let confirming = self.gateway_syncs.wait_for_confirmation(awaited, now_ms);
        self.serve_gateways();
        Box::pin(async move { confirming.await.unwrap_or(false) })
    }
}

/// Returns the reply to an order once the gateways have confirmed it.
async fn confirmed(reply: Reply, replica: Option<Addr<Replica>>) -> Reply {
    if let (Some(reply::Body::Evacuations(evacuated)), Some(replica)) = (&reply.body, replica) {
        let version = evacuated.version;
        let has_gateway = replica.send(ConfirmEvacuations(version)).await.unwrap_or(false);
        if !has_gateway {
            log::warn!(version; "evacuation order acknowledged without a connected gateway");
        }
    }
    reply
}

impl Replica {
    /// Commits an order, or reads the evacuated data centres.
    pub(super) fn evacuations(
        &mut self,
        peer: &Identity,
        request: EvacuationsRequest,
    ) -> ResponseFuture<Reply> {
        let Some(order) = request.order else {
            return self.linearizable_read(|replica| {
                let evacuated = replica.state.evacuations().to_message();
                Reply { body: Some(reply::Body::Evacuations(evacuated)) }
            });
        };
        if let Err((code, message)) = self.check_order(&order) {
            log::info!(data_centre = order.data_centre.as_str(), withdraw = order.withdraw, error = message; "evacuation order refused");
            return ready(error_reply(code, message));
        }
        let committed = self.commit(command::Body::EvacuateDataCentre(order.clone()));
        // A control process that forwards an order waits for its own gateways.
        let waits = peer.role == Role::Operator;
        let address = self.actor_address.clone().filter(|_| waits);
        let peer = peer.to_string();
        Box::pin(async move {
            let reply = committed.await;
            if let Some(reply::Body::Evacuations(evacuated)) = &reply.body {
                log::info!(data_centre = order.data_centre.as_str(), withdraw = order.withdraw, version = evacuated.version, peer = peer.as_str(); "evacuation order committed");
            }
            confirmed(reply, address).await
        })
    }

    fn check_order(&self, order: &EvacuateDataCentre) -> Result<(), (ErrorCode, &'static str)> {
        if order.data_centre.is_empty() || order.data_centre.len() > MAX_NAME_BYTES {
            return Err((
                ErrorCode::Invalid,
                "the data centre has no name, or one that is too long",
            ));
        }
        let evacuations = self.state.evacuations();
        let adds = !order.withdraw && !evacuations.contains(&order.data_centre);
        if adds && evacuations.iter().len() >= MAX_EVACUATIONS {
            return Err((ErrorCode::Invalid, "too many data centres are evacuated"));
        }
        if !self.can_accept_routes() {
            let message = "the group is forming; too few voters to keep an order";
            return Err((ErrorCode::Overloaded, message));
        }
        Ok(())
    }

    /// Applies a change of the evacuated data centres to the arbiter and the metrics.
    pub(super) fn refresh_evacuations(&mut self) {
        let evacuations = self.state.evacuations();
        let syncs = &mut self.gateway_syncs;
        if syncs.evacuations_version == evacuations.version() {
            return;
        }
        syncs.evacuations_version = evacuations.version();
        let evacuated: Vec<&str> = evacuations.iter().collect();
        log::info!(version = evacuations.version(), evacuated = evacuated.join(" ").as_str(); "evacuated data centres changed");
        self.metrics.evacuated.set(i64::try_from(evacuated.len()).unwrap_or(i64::MAX));
        let registry = &syncs.registry;
        syncs.arbiter.retain_candidates(|id| {
            let data_centre = registry.get(id).map(|upstream| upstream.data_centre.as_str());
            data_centre.is_none_or(|data_centre| !evacuations.contains(data_centre))
        });
    }

    /// Returns whether a gateway has applied later evacuations than this process, which lags
    /// then; the gateway has left out what it may not use.
    pub(super) fn knows_later_evacuations(&self, vm: &str) -> bool {
        let gateway = self.gateway_syncs.gateways.get(vm);
        let version = self.state.evacuations().version();
        gateway.is_some_and(|gateway| gateway.evacuations_version > version)
    }

    /// Returns whether an upstream is known to be in an evacuated data centre.
    pub(super) fn is_evacuated(&self, id: &str) -> bool {
        let upstream = self.gateway_syncs.registry.get(id);
        upstream.is_some_and(|upstream| self.state.evacuations().contains(&upstream.data_centre))
    }
}
