//! Choice of an upstream for a request.

use std::rc::Rc;
use std::time::Duration;

use balance::{Demand, Offer, sample_size};
use compact_str::CompactString;
use schema::{
    EngineCapacity, PlaceCandidate, PlaceRequest, Request, UpstreamPhase, reply, request,
};
use smallvec::SmallVec;
use telemetry::Span;
use tokio::time::{Instant, sleep};
use wire::CallError;

use crate::accept::Call;
use crate::dialect::Prompt;
use crate::exchange::Target;
use crate::forward::elapsed_ms;
use crate::shared::Shared;

/// Interval at which a waiting request looks for room again.
const ROOM_POLL: Duration = Duration::from_millis(20);
/// Longest time for which one request to the arbiter waits for room; a lost
/// arbiter is noticed after it.
const ASK_WAIT: Duration = Duration::from_millis(250);
/// Time for the arbiter's answer beside the wait.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// Rank of moved generations: before all others.
const MOVE_RANK: u32 = 0;
/// Cost of an upstream that is still warming up, as a share of a full one.
const COLD_COST: f64 = 0.3;
/// Share of an engine's memory that new requests may fill, counted at their
/// expected end: streams are spread over their length, so some stays free.
const FILL: f64 = 1.0;
/// Share of an engine's memory that moved generations may fill: they cannot
/// wait.
const MOVE_FILL: f64 = 1.1;
/// Plain services queue a few requests beyond their slots.
const PLAIN_FILL: f64 = 4.0;

/// Cost of an upstream in another data centre, as a share of a full one.
const REMOTE_COST: f64 = 0.06;
/// The same for moved generations: a copy to another data centre takes twice
/// the time on a link that many copies share.
const MOVE_REMOTE_COST: f64 = 0.6;
/// Time until the other gateways learn of a request that was placed: an
/// interval of their exchanges, and half of one on average before it is told.
const USE_LAG_MS: f64 = 120.0;
/// Noise on the cost of an upstream: requests of several gateways meet within
/// one interval of their exchanges.
const NOISE: f64 = 0.06;
/// Noise for moved generations, whose gateways all choose at one moment.
const MOVE_NOISE: f64 = 0.5;

/// Returns how many requests are placed at an upstream with `slots` at most.
pub(crate) fn most_places(slots: u32, engine: bool) -> u32 {
    let fill = if engine { MOVE_FILL } else { PLAIN_FILL };
    (f64::from(slots) * fill).ceil() as u32
}

/// Upstreams that a request was already sent to.
pub(crate) type Excluded = SmallVec<[CompactString; 4]>;

/// What a request needs of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Need {
    pub(crate) service: CompactString,
    pub(crate) engine: Option<EngineCapacity>,
    pub(crate) tokens: u64,
    pub(crate) prompt_tokens: u64,
}

impl Need {
    pub(crate) fn new(
        service: &str,
        engine: Option<EngineCapacity>,
        prompt: Option<Prompt>,
    ) -> Self {
        let prompt = prompt.filter(|_| engine.is_some()).unwrap_or_default();
        Need {
            service: service.into(),
            engine,
            tokens: expected_tokens(prompt),
            prompt_tokens: prompt.prompt_tokens,
        }
    }
}

/// Returns the cache tokens that a generation is expected to need at its end.
fn expected_tokens(prompt: Prompt) -> u64 {
    let expected = prompt.expected_output_tokens.unwrap_or(prompt.max_output_tokens / 2);
    prompt.prompt_tokens + expected.min(prompt.max_output_tokens)
}

/// Place at an upstream; its load is counted until the place is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    shared: Rc<Shared>,
    pub(crate) target: Target,
    tokens: u64,
    unread_tokens: u64,
}

impl Place {
    /// Counts that the prompt was read.
    pub(crate) fn mark_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        self.shared.loads.borrow_mut().read(&self.target.id, unread_tokens);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.mark_read();
        self.shared.loads.borrow_mut().end(&self.target.id, self.tokens);
    }
}

/// Why a request gets no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoPlace {
    /// No upstream of the service takes work.
    NoUpstream,
    /// All upstreams are full.
    Full,
}

/// How a request chooses.
#[derive(Clone, Copy, Debug)]
struct Terms<'a> {
    /// Data centre in which an upstream costs nothing extra.
    near: &'a str,
    remote_cost: f64,
    fill: f64,
    noise: f64,
    rank: u32,
    unread_tokens: u64,
    span: &'a Span,
}

/// Waits until `until` for a place at an upstream.
pub(crate) async fn wait_for_place(
    shared: &Rc<Shared>,
    call: &Call,
    excluded: &Excluded,
    until: Instant,
) -> Result<Place, NoPlace> {
    let need = &call.need;
    let span = shared.spans.client("place", &call.span);
    let terms = Terms {
        near: shared.config.data_centre.as_str(),
        remote_cost: REMOTE_COST,
        fill: if need.engine.is_some() { FILL } else { PLAIN_FILL },
        noise: NOISE,
        rank: call.rank,
        unread_tokens: need.prompt_tokens,
        span: &span,
    };
    let since = Instant::now();
    loop {
        let wait = until.saturating_duration_since(Instant::now()).min(ASK_WAIT);
        match find_place(shared, need, excluded, &terms, since, wait).await {
            Ok(place) => return Ok(place),
            Err(reason) if Instant::now() >= until => return Err(reason),
            // The arbiter has waited for room already.
            Err(NoPlace::Full) if shared.arbiter().is_some() && need.engine.is_some() => {}
            Err(_) => sleep(ROOM_POLL).await,
        }
    }
}

/// Finds a place for a generation that is moved.
pub(crate) async fn place_for_move(
    shared: &Rc<Shared>,
    call: &Call,
    excluded: &Excluded,
    source: &Target,
) -> Result<Place, NoPlace> {
    let need = &call.need;
    let span = shared.spans.client("place", &call.span);
    let near = shared.fleet.borrow().get(&source.id).map(|m| m.record.data_centre.clone());
    let terms = Terms {
        near: near.as_deref().unwrap_or_default(),
        remote_cost: MOVE_REMOTE_COST,
        fill: MOVE_FILL,
        noise: MOVE_NOISE,
        rank: MOVE_RANK,
        unread_tokens: 0,
        span: &span,
    };
    find_place(shared, need, excluded, &terms, Instant::now(), Duration::ZERO).await
}

async fn find_place(
    shared: &Rc<Shared>,
    need: &Need,
    excluded: &Excluded,
    terms: &Terms<'_>,
    since: Instant,
    wait: Duration,
) -> Result<Place, NoPlace> {
    let offers = offers(shared, need, excluded, terms);
    if offers.is_empty() {
        return Err(NoPlace::NoUpstream);
    }
    if need.engine.is_some()
        && let Some(arbiter) = shared.arbiter()
    {
        // The number stays open until the place counts as this gateway's use.
        let number = shared.open_number();
        let ask = to_request(shared, need, &offers, terms, number.number(), since, wait);
        let body = request::Body::Place(ask);
        let request = Request { traceparent: terms.span.traceparent(), body: Some(body) };
        match arbiter.call(request, wait + ASK_TIMEOUT).await {
            Ok(reply::Body::Place(place)) if place.id.is_empty() => return Err(NoPlace::Full),
            Ok(reply::Body::Place(place)) => {
                return take(shared, need, terms, &place.id).ok_or(NoPlace::Full);
            }
            failed => {
                let error = failed.err().unwrap_or(CallError::UnexpectedReply).to_string();
                log::warn!(error = error.as_str(); "arbiter did not answer; choosing without it");
                shared.suspend_arbiter();
            }
        }
    }
    let chosen = choose(shared, need, &offers, terms).ok_or(NoPlace::Full)?;
    take(shared, need, terms, &chosen).ok_or(NoPlace::Full)
}

/// Returns the upstreams that take work of the service.
fn offers(shared: &Shared, need: &Need, excluded: &Excluded, terms: &Terms<'_>) -> Vec<Offer> {
    let now_ms = shared.now_ms();
    let fleet = shared.fleet.borrow();
    let health = shared.health.borrow();
    let serving = || {
        fleet.iter().filter(|member| {
            member.record.service == need.service.as_str()
                && member.takes_work()
                && !excluded.iter().any(|id| id.as_str() == member.record.id)
        })
    };
    let healthy = |id: &str| !health.is_ejected(id, now_ms);
    // With all of them ejected, each is as good as the others.
    let any_healthy = serving().any(|member| healthy(&member.record.id));
    let open = serving().filter(|member| !any_healthy || healthy(&member.record.id));
    open.map(|member| {
        let remote = member.record.data_centre != terms.near;
        let cold = now_ms < member.warm_at_ms;
        Offer {
            id: member.record.id.as_str().into(),
            slots: member.record.slots,
            cache_tokens: need.engine.as_ref().map_or(0, |engine| engine.cache_tokens),
            extra_cost: if remote { terms.remote_cost } else { 0.0 }
                + if cold { COLD_COST } else { 0.0 },
        }
    })
    .collect()
}

/// Chooses by what this gateway knows of the use by others.
fn choose(
    shared: &Shared,
    need: &Need,
    offers: &[Offer],
    terms: &Terms<'_>,
) -> Option<CompactString> {
    let arrivals = shared.rate_per_ms(&need.service) * USE_LAG_MS;
    let sample = sample_size(offers.len(), arrivals);
    let demand = Demand { tokens: need.tokens, fill: terms.fill, noise: terms.noise, sample };
    let candidates = offers.iter().map(Offer::as_candidate);
    let chosen = shared.loads.borrow().choose(candidates, demand, &mut rand::rng());
    chosen.map(CompactString::from)
}

fn to_request(
    shared: &Shared,
    need: &Need,
    offers: &[Offer],
    terms: &Terms<'_>,
    number: u64,
    since: Instant,
    wait: Duration,
) -> PlaceRequest {
    let candidates = offers.iter().map(|offer| PlaceCandidate {
        id: offer.id.to_string(),
        slots: offer.slots,
        cache_tokens: offer.cache_tokens,
        extra_cost: offer.extra_cost,
    });
    PlaceRequest {
        vm: shared.config.vm.to_string(),
        number,
        rank: terms.rank,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        tokens: need.tokens,
        unread_tokens: terms.unread_tokens,
        fill: terms.fill,
        candidates: candidates.collect(),
        waited_ms: elapsed_ms(since),
    }
}

/// Takes a place at a chosen upstream; `None` if it is gone.
fn take(shared: &Rc<Shared>, need: &Need, terms: &Terms<'_>, id: &str) -> Option<Place> {
    let fleet = shared.fleet.borrow();
    let member = fleet.get(id).filter(|member| member.takes_work())?;
    let target = Target {
        id: id.into(),
        service: need.service.clone(),
        address: member.address,
        born_ms: member.record.born_ms,
    };
    let unread_tokens = terms.unread_tokens;
    shared.loads.borrow_mut().begin(id, need.tokens, unread_tokens);
    Some(Place { shared: shared.clone(), target, tokens: need.tokens, unread_tokens })
}

/// Returns whether the incarnation has announced its end.
pub(crate) fn is_ending(shared: &Shared, target: &Target) -> bool {
    shared.fleet.borrow().get(&target.id).is_some_and(|member| {
        member.record.born_ms == target.born_ms
            && matches!(member.record.phase(), UpstreamPhase::Draining | UpstreamPhase::Gone)
    })
}
