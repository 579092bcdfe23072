//! Choice of an upstream for a request.

use std::rc::Rc;
use std::time::Duration;

use balance::{Candidate, Demand, sample_size};
use compact_str::CompactString;
use schema::{EngineCapacity, UpstreamPhase};
use smallvec::SmallVec;
use tokio::time::{Instant, sleep};

use crate::dialect::Prompt;
use crate::exchange::Target;
use crate::shared::Shared;

/// Interval at which a waiting request looks for room again.
const ROOM_POLL: Duration = Duration::from_millis(20);
/// Share of an engine's memory that new requests may fill; the rest absorbs
/// outputs that grow longer than expected.
const FILL: f64 = 0.95;
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

/// Waits until `until` for a place at an upstream.
pub(crate) async fn wait_for_place(
    shared: &Rc<Shared>,
    need: &Need,
    excluded: &Excluded,
    until: Instant,
) -> Result<Place, NoPlace> {
    loop {
        match find_place(shared, need, excluded, None) {
            Ok(place) => return Ok(place),
            Err(reason) if Instant::now() >= until => return Err(reason),
            Err(_) => sleep(ROOM_POLL).await,
        }
    }
}

/// Finds a place for a generation that is moved.
pub(crate) fn place_for_move(
    shared: &Rc<Shared>,
    need: &Need,
    excluded: &Excluded,
    source: &Target,
) -> Result<Place, NoPlace> {
    let fleet = shared.fleet.borrow();
    let near = fleet.get(&source.id).map(|member| member.record.data_centre.clone());
    drop(fleet);
    find_place(shared, need, excluded, near.as_deref())
}

fn find_place(
    shared: &Rc<Shared>,
    need: &Need,
    excluded: &Excluded,
    moved_from: Option<&str>,
) -> Result<Place, NoPlace> {
    let near = moved_from.unwrap_or(shared.config.data_centre.as_str());
    let now_ms = shared.now_ms();
    let (fill, remote_cost, noise) = match (&need.engine, moved_from.is_some()) {
        (Some(_), false) => (FILL, REMOTE_COST, NOISE),
        (Some(_), true) => (MOVE_FILL, MOVE_REMOTE_COST, MOVE_NOISE),
        (None, _) => (PLAIN_FILL, REMOTE_COST, NOISE),
    };
    let fleet = shared.fleet.borrow();
    let health = shared.health.borrow();
    let serving = || {
        fleet.iter().filter(|member| {
            member.record.service == need.service.as_str()
                && member.takes_work()
                && !excluded.iter().any(|id| id.as_str() == member.record.id)
        })
    };
    let arrivals = shared.rate_per_ms(&need.service) * USE_LAG_MS;
    let sample = sample_size(serving().count(), arrivals);
    let demand = Demand { tokens: need.tokens, fill, remote_cost, noise, sample };
    let healthy = |id: &str| !health.is_ejected(id, now_ms);
    // With all of them ejected, each is as good as the others.
    let any_healthy = serving().any(|member| healthy(&member.record.id));
    let candidates =
        serving().filter(|member| !any_healthy || healthy(&member.record.id)).map(|member| {
            Candidate {
                id: &member.record.id,
                slots: member.record.slots,
                cache_tokens: need.engine.as_ref().map_or(0, |engine| engine.cache_tokens),
                remote: member.record.data_centre != near,
                cold: now_ms < member.warm_at_ms,
                affinity: 0.0,
            }
        });
    let chosen = shared.loads.borrow().choose(candidates, demand, &mut rand::rng());
    let Some(member) = chosen.and_then(|id| fleet.get(id)) else {
        let none = serving().next().is_none();
        return Err(if none { NoPlace::NoUpstream } else { NoPlace::Full });
    };
    let target = Target {
        id: member.record.id.as_str().into(),
        service: need.service.clone(),
        address: member.address,
        born_ms: member.record.born_ms,
    };
    let unread_tokens = if moved_from.is_some() { 0 } else { need.prompt_tokens };
    shared.loads.borrow_mut().begin(&target.id, need.tokens, unread_tokens);
    Ok(Place { shared: shared.clone(), target, tokens: need.tokens, unread_tokens })
}

/// Returns whether the incarnation has announced its end.
pub(crate) fn is_ending(shared: &Shared, target: &Target) -> bool {
    shared.fleet.borrow().get(&target.id).is_some_and(|member| {
        member.record.born_ms == target.born_ms
            && matches!(member.record.phase(), UpstreamPhase::Draining | UpstreamPhase::Gone)
    })
}
