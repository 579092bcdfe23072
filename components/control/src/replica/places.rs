//! Places at model engines, granted to the requests of all gateways.

use actix::ResponseFuture;
use balance::{Ask, Demand, Offer};
use credentials::Identity;
use schema::{ErrorCode, PlaceReply, PlaceRequest, Reply, reply};
use tokio::sync::oneshot;
use wire::refuse;

use super::Replica;
use super::requests::ready;

/// Longest time for which a request may wait for room.
const MAX_WAIT_MS: u32 = 5_000;
/// Shortest interval between two rounds of decisions while requests wait.
const DECIDE_INTERVAL_MS: u64 = 10;
/// Noise on the cost of an engine: breaks ties.
const NOISE: f64 = 0.01;

impl Replica {
    pub(super) fn place(
        &mut self,
        peer: &Identity,
        request: PlaceRequest,
    ) -> ResponseFuture<Reply> {
        if request.vm != peer.name.as_str() {
            return ready(refuse(ErrorCode::Forbidden, "a gateway asks for itself only"));
        }
        let now_ms = self.clock.now_ms();
        let (result, receiver) = oneshot::channel();
        self.syncs.arbiter.ask(to_ask(request, now_ms), result);
        self.syncs.next_decision_ms = 0;
        Box::pin(async move {
            let stopping = || refuse(ErrorCode::NotLeader, "the process is stopping");
            receiver.await.unwrap_or_else(|_| stopping())
        })
    }

    pub(super) fn decide_places(&mut self) {
        let now_ms = self.clock.now_ms();
        let syncs = &mut self.syncs;
        if now_ms < syncs.next_decision_ms {
            return;
        }
        syncs.next_decision_ms = now_ms + DECIDE_INTERVAL_MS;
        let is_wanted = |result: &oneshot::Sender<Reply>| !result.is_closed();
        for (result, id) in syncs.arbiter.decide(now_ms, is_wanted, &mut rand::rng()) {
            let id = id.map(String::from).unwrap_or_default();
            // A gateway that went away meanwhile tells no use of the place.
            let _ = result.send(Reply { body: Some(reply::Body::Place(PlaceReply { id })) });
        }
    }
}

fn to_ask(request: PlaceRequest, now_ms: u64) -> Ask {
    let offers = request.candidates.into_iter().map(|candidate| Offer {
        id: candidate.id.into(),
        slots: candidate.slots,
        cache_tokens: candidate.cache_tokens,
        extra_cost: candidate.extra_cost,
    });
    Ask {
        entry: request.vm.into(),
        number: request.number,
        rank: request.rank,
        demand: Demand {
            tokens: request.tokens,
            fill: request.fill,
            noise: NOISE,
            sample: usize::MAX,
        },
        unread_tokens: request.unread_tokens,
        offers: offers.collect(),
        since_ms: now_ms.saturating_sub(request.waited_ms),
        deadline_ms: now_ms + u64::from(request.wait_ms.min(MAX_WAIT_MS)),
    }
}
