//! Selection of an upstream for a request, and reservation of a slot there.
//!
//! Slots at engines are granted by the arbiter, which is one of the control
//! processes. Without it, and for plain services, the gateway selects by the load
//! that it knows of.

use std::rc::Rc;
use std::time::Duration;

use balance::{
    ExpectedStream, FirstEventTarget, OwnedCandidate, PlacementDemand, remote_cost, sample_size,
};
use compact_str::CompactString;
use lineage::{Origin, StreamId};
use schema::{PlaceCandidate, PlaceReply, PlaceRequest, Request, UpstreamPhase, reply, request};
use telemetry::Span;
use tokio::time::{Instant, sleep, sleep_until};
use wire::CallError;

use crate::accept::Call;
use crate::capacity::{ENGINE_LOAD_LIMIT, MOVE_LOAD_LIMIT, PLAIN_LOAD_LIMIT};
use crate::eligibility::{Eligibility, Excluded};
use crate::evacuations;
use crate::health;
use crate::limits;
use crate::notices;
use crate::reservation::Reservation;
use crate::shared::Shared;
use crate::target::Target;
use crate::timing::elapsed_ms;

/// Interval at which a queued request checks for free capacity without the
/// arbiter.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which one request to the arbiter queues for a slot; the
/// loss of an arbiter is detected only after it.
const ARBITER_MAX_WAIT: Duration = Duration::from_millis(250);
/// Time for the arbiter's reply in addition to the queueing time.
const ARBITER_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Ranks of moved generations; no other request has lower ones.
const MOVE_RANKS: (u32, u32) = (0, 0);
/// Time for which a moved generation asks for capacity: its copy is repeated until
/// its engine is gone.
const MOVE_QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Extra cost of an upstream in another data centre for moved generations, as a share of the
/// cost of a fully loaded one: a KV cache transfer to another data centre takes twice as
/// long, over a link that many transfers share.
const MOVE_REMOTE_COST: f64 = 0.6;
/// Time until the other gateways receive the load of a placed request: one sync
/// interval, and on average half of another until this gateway reports it.
const LOAD_PROPAGATION_MS: f64 = 120.0;
/// Longest time until a gateway learns that an upstream leaves, after that was acknowledged.
const DRAIN_NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Random jitter on the cost of an upstream, because several gateways place
/// requests within one sync interval.
const COST_JITTER: f64 = 0.06;
/// Jitter for moved generations, for which all gateways choose at the same time.
const MOVE_COST_JITTER: f64 = 0.5;

/// Why no slot can be reserved for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReserveError {
    /// No upstream of the service accepts new requests, or the arbiter does not know yet that
    /// those are cold which do.
    NoUpstream,
    /// All upstreams that accept requests are in evacuated data centres.
    Evacuated,
    /// All upstreams are at capacity.
    Full,
    /// No upstream of the version that began the stream accepts requests.
    VersionGone,
    /// No engine has enough memory for this request.
    TooLarge,
    /// The upstreams will not have capacity in time; what waits there is served after this
    /// time.
    Shed(Duration),
    /// All upstreams name limits or want no requests; one may take it after this time.
    Limited(Duration),
}

/// Parameters of the selection for one request.
#[derive(Clone, Copy, Debug)]
struct SelectionParams<'a> {
    eligibility: Eligibility<'a>,
    /// Call that waits for its first slot.
    call: Option<&'a Call>,
    /// Stream that begins with the request, if its caller may take it up again.
    stream: Option<StreamId>,
    load_limit: f64,
    jitter: f64,
    /// Ranks of the workspace and of the route.
    ranks: (u32, u32),
    cache_tokens: u64,
    prefill_tokens: u64,
    /// Events that the stream may still have, and the gaps that its caller accepts.
    expected: ExpectedStream,
    /// When the first event is due; `None` for generations that already run.
    first_event_due: Option<Instant>,
    /// Until when capacity is asked for.
    queue_until: Instant,
    span: &'a Span,
}

impl SelectionParams<'_> {
    /// Returns when the first event is due, on a clock that reads 0 now.
    fn target(&self, shared: &Shared) -> Option<FirstEventTarget> {
        let left = self.first_event_due?.saturating_duration_since(Instant::now());
        let due_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        Some(FirstEventTarget { due_ms, tokens_per_ms: shared.prefill_rate.get().tokens_per_ms() })
    }
}

/// Waits, at most until `until`, for a free slot at an upstream and reserves it; only at
/// `origin` for a stream that goes on.
pub(crate) async fn wait_for_slot(
    shared: &Rc<Shared>,
    call: &Call,
    origin: Option<&Origin>,
    excluded: &Excluded,
    until: Instant,
) -> Result<Reservation, ReserveError> {
    let requirements = &call.requirements;
    let span = shared.spans.start_client_span("place", &call.span);
    let expected = expected_stream(call, 0);
    let params = SelectionParams {
        eligibility: Eligibility {
            requirements,
            origin,
            excluded,
            local_data_centre: shared.config.data_centre.as_str(),
            remote_cost: remote_cost(expected.events),
            may_run_again: call.may_repeat() && call.route.max_attempts > 1,
        },
        call: Some(call),
        stream: call.stream,
        load_limit: if requirements.engine.is_some() {
            ENGINE_LOAD_LIMIT
        } else {
            PLAIN_LOAD_LIMIT
        },
        jitter: COST_JITTER,
        ranks: call.ranks,
        cache_tokens: requirements.cache_tokens(0),
        prefill_tokens: requirements.tokens.prompt_tokens,
        expected,
        first_event_due: requirements.engine.is_some().then_some(call.first_event_due),
        queue_until: until,
        span: &span,
    };
    if requirements.exceeds_engine() {
        return Err(ReserveError::TooLarge);
    }
    let since = Instant::now();
    loop {
        let asked = Instant::now();
        let wait = until.saturating_duration_since(asked).min(ARBITER_MAX_WAIT);
        match try_reserve(shared, &params, since, wait).await {
            Ok(reservation) => return Ok(reservation),
            Err(
                error @ (ReserveError::VersionGone
                | ReserveError::Evacuated
                | ReserveError::TooLarge
                | ReserveError::Shed(_)
                | ReserveError::Limited(_)),
            ) => return Err(error),
            Err(reason) if Instant::now() >= until => return Err(reason),
            // A request that has queued at the arbiter is retried without delay. An arbiter may
            // also end a wait at once, if its evacuations differ from those of this gateway.
            Err(ReserveError::Full)
                if shared.arbiter().is_some() && requirements.engine.is_some() =>
            {
                sleep_until((asked + CAPACITY_POLL_INTERVAL).min(until)).await;
            }
            Err(_) => sleep(CAPACITY_POLL_INTERVAL).await,
        }
    }
}

/// Reserves a slot for a generation that moves to another engine after it has
/// produced `events` events.
pub(crate) async fn reserve_for_move(
    shared: &Rc<Shared>,
    call: &Call,
    excluded: &Excluded,
    source: &Target,
    events: u64,
) -> Result<Reservation, ReserveError> {
    let requirements = &call.requirements;
    let span = shared.spans.start_client_span("place", &call.span);
    let source_data_centre = shared
        .registry
        .borrow()
        .get(&source.id)
        .map(|upstream| upstream.record.data_centre.clone());
    let params = SelectionParams {
        eligibility: Eligibility {
            requirements,
            origin: Some(&source.origin),
            excluded,
            local_data_centre: source_data_centre.as_deref().unwrap_or_default(),
            remote_cost: MOVE_REMOTE_COST,
            may_run_again: false,
        },
        call: None,
        stream: None,
        load_limit: MOVE_LOAD_LIMIT,
        jitter: MOVE_COST_JITTER,
        ranks: MOVE_RANKS,
        cache_tokens: requirements.cache_tokens(events),
        prefill_tokens: 0,
        expected: expected_stream(call, events),
        first_event_due: None,
        queue_until: Instant::now() + MOVE_QUEUE_TIMEOUT,
        span: &span,
    };
    try_reserve(shared, &params, Instant::now(), Duration::ZERO).await
}

/// Returns whether an upstream that stopped a generation may get it back: one that leaves takes
/// requests for a while, and one that names a limit gets those that the arbiter grants.
pub(crate) fn accepts_return(shared: &Shared, source: &Target) -> bool {
    let drain = Duration::from_millis(shared.config.timers.upstream_drain_ms);
    let in_time = shared
        .departed
        .borrow()
        .elapsed(&source.id)
        .is_none_or(|known| known + DRAIN_NOTICE_DELAY < drain);
    in_time
        && notices::pause_ms(shared, &source.id, source.born_ms) == 0
        && !limits::is_limited(shared, &source.id)
        && !evacuations::is_evacuated(shared, source)
}

/// Counts a generation at the upstream that stopped it and takes it back.
pub(crate) fn reserve_for_return(
    shared: &Rc<Shared>,
    call: &Call,
    source: &Target,
    events: u64,
) -> Reservation {
    Reservation::new(shared, source.clone(), call.requirements.cache_tokens(events), 0)
}

async fn try_reserve(
    shared: &Rc<Shared>,
    params: &SelectionParams<'_>,
    since: Instant,
    wait: Duration,
) -> Result<Reservation, ReserveError> {
    let eligibility = &params.eligibility;
    let eligible = eligibility.upstreams(shared);
    if eligible.is_empty() {
        return Err(match eligibility.shortest_pause(shared) {
            Some(pause) => ReserveError::Limited(pause),
            None if eligibility.is_origin_gone(shared) => ReserveError::VersionGone,
            None if eligibility.is_evacuated(shared) => ReserveError::Evacuated,
            None => ReserveError::NoUpstream,
        });
    }
    let has_engines = eligibility.requirements.engine.is_some();
    let needs_grant = has_engines
        || limits::any_limited(shared, &eligible)
        || health::any_on_trial(shared, &eligible);
    if needs_grant && let Some(arbiter) = shared.arbiter() {
        // The number stays pending until the slot is part of the load that this
        // gateway reports.
        let pending = shared.start_placement();
        let number = pending.number();
        let mut place = to_place_request(shared, &eligible, params, number, since, wait);
        if limits::max_rejections(shared, &eligible).is_some() {
            place.r#use =
                shared.loads.borrow().own().map(|(id, load)| load.to_message(id)).collect();
            place.placed_through = Some(shared.placed_through());
        }
        let body = request::Body::Place(place);
        let request = Request { traceparent: params.span.traceparent(), body: Some(body) };
        match arbiter.call(request, wait + ARBITER_REPLY_TIMEOUT).await {
            Ok(reply::Body::Place(place)) if place.shed => {
                return Err(rejected(params, number, &place));
            }
            Ok(reply::Body::Place(place)) if place.limited_ms > 0 => {
                return Err(ReserveError::Limited(Duration::from_millis(place.limited_ms)));
            }
            Ok(reply::Body::Place(place)) if place.id.is_empty() => {
                return Err(ReserveError::Full);
            }
            Ok(reply::Body::Place(place)) => {
                let reserved = reserve_at(shared, params, &place.id);
                let reserved = reserved.map(|reserved| reserved.behind(place.unread_tokens));
                return reserved.ok_or(ReserveError::Full);
            }
            failed => {
                let error = failed.err().unwrap_or(CallError::UnexpectedReply).to_string();
                log::warn!(error = error.as_str(); "arbiter request failed; selecting an upstream from local load data");
                shared.suspend_arbiter();
            }
        }
    }
    let selected = select_locally(shared, &eligible, params);
    let selected = selected.ok_or(ReserveError::Full)?;
    limits::take_fallback_room(shared, &selected);
    reserve_at(shared, params, &selected).ok_or(ReserveError::Full)
}

/// Returns what is known of the events of a call after the first `events`.
fn expected_stream(call: &Call, events: u64) -> ExpectedStream {
    let target_gap_ms = call.route.target_gap_ms;
    ExpectedStream { events: call.requirements.max_events_after(events), target_gap_ms }
}

/// Logs why the arbiter rejected a request.
fn rejected(params: &SelectionParams<'_>, number: u64, place: &PlaceReply) -> ReserveError {
    let request = params.call.map_or("", |call| call.head.id.as_str());
    log::info!(request, number, reason = place.reason().as_str_name(), retry_after_ms = place.retry_after_ms; "request rejected by the arbiter");
    ReserveError::Shed(Duration::from_millis(place.retry_after_ms))
}

/// Selects by the load that this gateway knows of, without the arbiter.
fn select_locally(
    shared: &Shared,
    eligible: &[OwnedCandidate],
    params: &SelectionParams<'_>,
) -> Option<CompactString> {
    let service = &params.eligibility.requirements.service;
    let arrivals = shared.arrival_rate_per_ms(service) * LOAD_PROPAGATION_MS;
    let sample = sample_size(eligible.len(), arrivals);
    let demand = PlacementDemand {
        cache_tokens: params.cache_tokens,
        prefill_tokens: params.prefill_tokens,
        max_prefill_tokens: params
            .target(shared)
            .and_then(|target| target.max_prefill_tokens(params.prefill_tokens, 0)),
        load_limit: params.load_limit,
        cost_jitter: params.jitter,
        sample_size: sample,
    };
    let mut eligible = eligible.to_vec();
    limits::retain_fallback(shared, &mut eligible);
    let candidates = eligible.iter().map(OwnedCandidate::as_candidate);
    let selected = shared.loads.borrow().choose(candidates, demand, &mut rand::rng());
    selected.map(CompactString::from)
}

fn to_place_request(
    shared: &Shared,
    eligible: &[OwnedCandidate],
    params: &SelectionParams<'_>,
    number: u64,
    since: Instant,
    wait: Duration,
) -> PlaceRequest {
    let registry = shared.registry.borrow();
    let mut versions: Vec<String> = Vec::new();
    let mut version_index = |id: &str| {
        let version = registry.get(id).map_or("", |upstream| upstream.record.version.as_str());
        let index = versions.iter().position(|known| known == version).unwrap_or_else(|| {
            versions.push(version.to_string());
            versions.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    };
    let candidates = eligible.iter().map(|upstream| PlaceCandidate {
        id: upstream.id.to_string(),
        slots: upstream.slots,
        cache_tokens: upstream.cache_tokens,
        extra_cost: upstream.extra_cost,
        version: if params.stream.is_some() { version_index(&upstream.id) } else { 0 },
    });
    let candidates: Vec<PlaceCandidate> = candidates.collect();
    let target = params.target(shared);
    let left_ms = |at: Instant| {
        let left = at.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    };
    let has_cost = |call: &&Call| shared.config.order_by_cost && call.requirements.engine.is_some();
    let call = params.call.filter(has_cost);
    PlaceRequest {
        route: call.map_or_else(String::new, |call| call.route.name.clone()),
        workspace: call
            .and_then(|call| call.workspace.as_ref())
            .map_or_else(String::new, ToString::to_string),
        output_events: call.map_or(0, |call| shared.expected_events(call)),
        caller_deadline_ms: call.map_or(0, |call| left_ms(call.until)),
        first_event_due_ms: target.map_or(0, |target| target.due_ms),
        prefill_tokens_per_ms: target.map_or(0.0, |target| target.tokens_per_ms),
        vm: shared.config.vm.to_string(),
        number,
        rank: params.ranks.0,
        route_rank: params.ranks.1,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        tokens: params.cache_tokens,
        unread_tokens: params.prefill_tokens,
        fill: params.load_limit,
        candidates,
        stream: params.stream.map_or(0, |stream| stream.0),
        versions,
        waited_ms: elapsed_ms(since),
        service: params.eligibility.requirements.service.to_string(),
        expected_events: params.expected.events,
        target_gap_ms: params.expected.target_gap_ms,
        queue_timeout_ms: left_ms(params.queue_until),
        ..PlaceRequest::default()
    }
}

/// Reserves a slot at the selected upstream; `None` if it no longer accepts
/// requests.
fn reserve_at(shared: &Rc<Shared>, params: &SelectionParams<'_>, id: &str) -> Option<Reservation> {
    let registry = shared.registry.borrow();
    let upstream =
        registry.get(id).filter(|upstream| params.eligibility.allows(shared, upstream))?;
    let version = upstream.record.version.as_str().into();
    let target = Target {
        id: id.into(),
        origin: Origin { service: params.eligibility.requirements.service.clone(), version },
        address: upstream.address,
        born_ms: upstream.record.born_ms,
    };
    Some(Reservation::new(shared, target, params.cache_tokens, params.prefill_tokens))
}

/// Returns whether this incarnation is known to be draining or gone.
pub(crate) fn is_draining_or_gone(shared: &Shared, target: &Target) -> bool {
    shared.registry.borrow().get(&target.id).is_some_and(|upstream| {
        upstream.record.born_ms == target.born_ms
            && matches!(upstream.record.phase(), UpstreamPhase::Draining | UpstreamPhase::Gone)
    })
}
