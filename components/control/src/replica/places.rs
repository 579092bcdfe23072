//! Slot reservations at model engines, granted to the requests of all gateways.

use std::collections::HashMap;

use actix::ResponseFuture;
use balance::{
    Arbiter, ExpectedStream, FirstEventTarget, OwnedCandidate, PlacementDemand, RequestCost,
    ReservationOutcome, ReservationRequest, ShedReason, UpstreamLoad,
};
use compact_str::CompactString;
use credentials::Identity;
use lineage::{Origin, RecordedOrigin, StreamId};
use schema::{
    ErrorCode, FindOriginRequest, OriginReply, OriginState, PlaceCandidate, PlaceReply,
    PlaceRequest, Reply, reply,
};
use tokio::sync::oneshot;
use wire::error_reply;

use super::Replica;
use super::requests::ready;

/// Longest time for which a request waits for capacity at an engine.
const MAX_CAPACITY_WAIT_MS: u32 = 5_000;
/// Interval between scheduling rounds while requests wait. A new request starts a
/// round at once.
const SCHEDULING_INTERVAL_MS: u64 = 10;
/// Interval between updates of the metrics of limits.
const LIMIT_METRICS_INTERVAL_MS: u64 = 1_000;
/// Maximum random cost added to an engine to break ties.
const TIE_BREAK_JITTER: f64 = 0.01;

/// Placement that waits for its grant.
pub(super) struct WaitingPlacement {
    result: oneshot::Sender<Reply>,
    stream: Option<PlacedStream>,
}

/// Stream that begins with the placed request, and where it may begin.
struct PlacedStream {
    id: StreamId,
    service: CompactString,
    versions: Vec<String>,
    /// Candidates of other versions than the first one, by id.
    other_versions: HashMap<CompactString, u32>,
}

impl PlacedStream {
    /// Returns the stream of a request, unless its caller cannot take it up again.
    fn of(request: &PlaceRequest) -> Option<Self> {
        let candidates = request.candidates.iter().filter(|candidate| candidate.version != 0);
        let version = |candidate: &PlaceCandidate| {
            (CompactString::from(candidate.id.as_str()), candidate.version)
        };
        (request.stream != 0).then(|| PlacedStream {
            id: StreamId(request.stream),
            service: request.service.as_str().into(),
            versions: request.versions.clone(),
            other_versions: candidates.map(version).collect(),
        })
    }

    fn origin_at(&self, upstream: &str) -> Origin {
        let version = self.other_versions.get(upstream).copied().unwrap_or_default();
        let version = self.versions.get(version as usize);
        let version = version.map(CompactString::from).unwrap_or_default();
        Origin { service: self.service.clone(), version }
    }
}

impl Replica {
    pub(super) fn reserve_slot(
        &mut self,
        peer: &Identity,
        request: PlaceRequest,
    ) -> ResponseFuture<Reply> {
        if request.vm != peer.name.as_str() {
            return ready(error_reply(ErrorCode::Forbidden, "a gateway asks for itself only"));
        }
        let now_ms = self.clock.now_ms();
        let (result, receiver) = oneshot::channel();
        let waiting = WaitingPlacement { result, stream: PlacedStream::of(&request) };
        if let Some(placed_through) = request.placed_through {
            let loads = request.r#use.iter();
            let loads =
                loads.map(|load| (load.id.as_str().into(), UpstreamLoad::from_message(load)));
            let arbiter = &mut self.gateway_syncs.arbiter;
            arbiter.report_load(&request.vm, loads.collect(), placed_through);
        }
        let mut request = to_reservation_request(request, now_ms);
        if !self.knows_later_evacuations(&request.entry) {
            request.candidates.retain(|candidate| !self.is_evacuated(&candidate.id));
        }
        self.gateway_syncs.arbiter.enqueue(request, waiting);
        self.gateway_syncs.next_scheduling_ms = 0;
        Box::pin(async move {
            let stopping = || error_reply(ErrorCode::NotLeader, "the process is stopping");
            receiver.await.unwrap_or_else(|_| stopping())
        })
    }

    pub(super) fn grant_slots(&mut self) {
        let now_ms = self.clock.now_ms();
        let syncs = &mut self.gateway_syncs;
        if now_ms < syncs.next_scheduling_ms {
            return;
        }
        syncs.next_scheduling_ms = now_ms + SCHEDULING_INTERVAL_MS;
        let is_request_open = |waiting: &WaitingPlacement| !waiting.result.is_closed();
        let finished = syncs.arbiter.grant_waiting(now_ms, is_request_open, &mut rand::rng());
        self.wait_log.record(&syncs.arbiter.take_accounts(), &self.metrics, now_ms);
        for (WaitingPlacement { result, stream }, outcome) in finished {
            if let (Some(stream), ReservationOutcome::Granted(upstream)) = (stream, &outcome) {
                let origin = stream.origin_at(upstream);
                syncs.origins.record_grant(stream.id, &origin, now_ms);
            }
            let place = to_place_reply(outcome, &syncs.arbiter);
            // Fails if the request was dropped meanwhile. The next load report of the
            // gateway that covers the request's number then ends the reservation.
            let _ = result.send(Reply { body: Some(reply::Body::Place(place)) });
        }
    }

    /// Replies with the recorded origin of a stream.
    pub(super) fn find_origin(&self, request: FindOriginRequest) -> Reply {
        let recorded = self.gateway_syncs.origins.find(StreamId(request.stream));
        let state = match &recorded {
            RecordedOrigin::Unknown => OriginState::Unspecified,
            RecordedOrigin::Granted(_) => OriginState::Granted,
            RecordedOrigin::Begun(_) => OriginState::Begun,
            RecordedOrigin::Conflicting => OriginState::Conflicting,
        };
        let Origin { service, version } = recorded.origin().cloned().unwrap_or_default();
        let reply = OriginReply {
            state: state.into(),
            service: service.into(),
            version: version.into(),
            registry_epoch: self.gateway_syncs.registry_epoch,
            registry_version: self.gateway_syncs.registry.version(),
        };
        Reply { body: Some(reply::Body::Origin(reply)) }
    }

    /// Updates the metrics of the limits that upstreams name.
    pub(super) fn update_limit_metrics(&mut self, now_ms: u64) {
        let syncs = &mut self.gateway_syncs;
        if now_ms < syncs.next_limit_metrics_ms {
            return;
        }
        syncs.next_limit_metrics_ms = now_ms + LIMIT_METRICS_INTERVAL_MS;
        self.update_ejection_metrics();
        let syncs = &self.gateway_syncs;
        let metrics = &self.metrics.limits;
        metrics.reset();
        for (upstream, observed, limit) in syncs.arbiter.limits().iter() {
            let set = |value, number| metrics.with_label_values(&[upstream, value]).set(number);
            if observed.rate.is_some() || limit.per_second > 0.0 {
                set("per_second", limit.per_second);
                set("granted", limit.granted as f64);
                set("refused", limit.refused as f64);
            }
            if let Some(max_rejections) = observed.brittle {
                let (room, rejected) = syncs.arbiter.room(upstream).unwrap_or_default();
                set("max_rejections", f64::from(max_rejections));
                set("room", f64::from(room));
                set("rejected", rejected as f64);
            }
        }
    }
}

fn to_place_reply(outcome: ReservationOutcome, arbiter: &Arbiter<WaitingPlacement>) -> PlaceReply {
    match outcome {
        ReservationOutcome::Granted(id) => PlaceReply {
            unread_tokens: arbiter.load(&id).pending_prefill_tokens,
            id: id.into(),
            ..PlaceReply::default()
        },
        ReservationOutcome::TimedOut => PlaceReply::default(),
        ReservationOutcome::Shed(reason) => {
            let (reason, retry_after_ms) = match reason {
                ShedReason::QueueTooLong { retry_after_ms } => {
                    (schema::ShedReason::QueueTooLong, retry_after_ms)
                }
                ShedReason::PastDeadline => (schema::ShedReason::PastDeadline, 0),
            };
            PlaceReply {
                shed: true,
                reason: reason.into(),
                retry_after_ms,
                ..PlaceReply::default()
            }
        }
        ReservationOutcome::Limited(retry_after_ms) => {
            PlaceReply { limited_ms: retry_after_ms.max(1), ..PlaceReply::default() }
        }
    }
}

fn to_reservation_request(request: PlaceRequest, now_ms: u64) -> ReservationRequest {
    let candidates = request.candidates.into_iter().map(|candidate| OwnedCandidate {
        id: candidate.id.into(),
        slots: candidate.slots,
        cache_tokens: candidate.cache_tokens,
        extra_cost: candidate.extra_cost,
    });
    // Gateways of earlier versions name no route.
    let cost = (!request.route.is_empty()).then(|| RequestCost {
        route: request.route.into(),
        workspace: request.workspace.into(),
        output_events: request.output_events,
        caller_deadline_ms: now_ms.saturating_add(request.caller_deadline_ms),
    });
    ReservationRequest {
        entry: request.vm.into(),
        request_number: request.number,
        service: request.service.into(),
        rank: request.rank,
        route_rank: request.route_rank,
        demand: PlacementDemand {
            cache_tokens: request.tokens,
            prefill_tokens: request.unread_tokens,
            max_prefill_tokens: None,
            load_limit: request.fill,
            cost_jitter: TIE_BREAK_JITTER,
            sample_size: usize::MAX,
        },
        target: (request.prefill_tokens_per_ms > 0.0).then(|| FirstEventTarget {
            due_ms: now_ms.saturating_add(request.first_event_due_ms),
            tokens_per_ms: request.prefill_tokens_per_ms,
        }),
        stream: ExpectedStream {
            events: request.expected_events,
            target_gap_ms: request.target_gap_ms,
        },
        candidates: candidates.collect(),
        waiting_since_ms: now_ms.saturating_sub(request.waited_ms),
        deadline_ms: now_ms + u64::from(request.wait_ms.min(MAX_CAPACITY_WAIT_MS)),
        queue_until_ms: now_ms.saturating_add(request.queue_timeout_ms),
        cost,
    }
}
