//! Slot reservations on upstreams for the requests of all entries, granted one
//! at a time.
//!
//! Entries that choose on their own learn the load of the others with a delay
//! and all pick the same upstream that has free capacity. The arbiter counts
//! each reservation immediately, and keeps requests that find no capacity in
//! one queue.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use rand::Rng;

use crate::backlog::GrantHistory;
use crate::limits::UpstreamLimits;
use crate::load::{Candidate, Loads, PlacementDemand, UpstreamLoad};
use crate::pace::Paces;
use crate::prefill::FirstEventTarget;
use crate::room::Rooms;

/// Extra cost of an engine that takes twice the mean time for an event, where 1 is a
/// fully loaded upstream.
const PACE_COST: f64 = 1.0;
/// Time for which the rejections that an entry reported are kept.
const REJECTIONS_PERIOD_MS: u64 = 30_000;

/// Upstream on which a slot may be reserved.
#[derive(Clone, Debug)]
pub struct OwnedCandidate {
    /// Id of the upstream.
    pub id: CompactString,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Capacity of its KV cache in tokens.
    pub cache_tokens: u64,
    /// Cost added to its load, where 1 is a fully loaded upstream.
    pub extra_cost: f64,
}

impl OwnedCandidate {
    /// Borrows the upstream as a [`Candidate`].
    pub fn as_candidate(&self) -> Candidate<'_> {
        Candidate {
            id: &self.id,
            slots: self.slots,
            cache_tokens: self.cache_tokens,
            extra_cost: self.extra_cost,
        }
    }
}

/// Request for a slot reservation.
#[derive(Clone, Debug)]
pub struct ReservationRequest {
    /// Entry that sends the request.
    pub entry: CompactString,
    /// Sequence number of the request at its entry.
    pub request_number: u64,
    /// Service whose upstreams can serve the request.
    pub service: CompactString,
    /// Priority; 0 is served first. Within a rank, requests are served in the order in
    /// which their first events are due.
    pub rank: u32,
    /// Rank of its route, which decides between requests that are due together.
    pub route_rank: u32,
    /// Capacity that the request needs.
    pub demand: PlacementDemand,
    /// When its first event is due, if that is known.
    pub target: Option<FirstEventTarget>,
    /// Upstreams that can serve the request.
    pub candidates: Vec<OwnedCandidate>,
    /// Time at which the request began to wait for capacity.
    pub waiting_since_ms: u64,
    /// Time at which this wait for capacity ends; the entry may ask again.
    pub deadline_ms: u64,
    /// Time at which the entry stops asking.
    pub queue_until_ms: u64,
}

/// Result of a [`ReservationRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReservationOutcome {
    /// A slot is reserved on this upstream.
    Granted(CompactString),
    /// No capacity became free by the deadline.
    TimedOut,
    /// No capacity is expected as long as the entry would ask.
    Shed,
    /// All upstreams name limits, which allow the request in this many milliseconds.
    Limited(u64),
}

impl ReservationRequest {
    /// Returns how many prompt tokens may await prefill at the upstream if the first
    /// event is to be in time; `None` if it will be late, or is due at no certain time.
    fn max_prefill_tokens(&self, now_ms: u64) -> Option<u64> {
        self.target?.max_prefill_tokens(self.demand.prefill_tokens, now_ms)
    }

    fn candidate_ids(&self) -> impl Iterator<Item = &str> {
        self.candidates.iter().map(|candidate| candidate.id.as_str())
    }

    /// Returns the demand at `now_ms`: a request that can still be in time is not
    /// placed behind prompts that would make it late.
    fn demand_at(&self, now_ms: u64) -> PlacementDemand {
        PlacementDemand { max_prefill_tokens: self.max_prefill_tokens(now_ms), ..self.demand }
    }

    /// Returns the key by which waiting requests are sorted: a request that is late
    /// already yields to those that can still be in time.
    fn order(&self, now_ms: u64) -> impl Ord + use<> {
        let is_late = self.target.is_some() && self.max_prefill_tokens(now_ms).is_none();
        let due_ms = self.target.map_or(0, |target| target.due_ms);
        (is_late, self.rank, due_ms, self.route_rank, self.waiting_since_ms)
    }
}

/// Reservation that the load reports of its entry do not include yet.
#[derive(Debug)]
struct Grant {
    number: u64,
    id: CompactString,
    load: UpstreamLoad,
}

/// Load reported by one entry, and reservations granted to it since.
#[derive(Debug, Default)]
struct EntryLoad {
    reported: Vec<(CompactString, UpstreamLoad)>,
    placed_through: u64,
    grants: Vec<Grant>,
    /// Requests that upstreams rejected since the entry started, as it reported.
    rejections: HashMap<CompactString, Rejections>,
}

/// Requests that one incarnation of an upstream rejected for want of room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rejections {
    /// Start time of the incarnation, in Unix milliseconds.
    pub born_ms: u64,
    /// Number since the entry that reports them started.
    pub count: u32,
    /// When the last of them arrived.
    pub last_ms: u64,
}

/// Reserves slots on upstreams for the requests of all entries.
#[derive(Debug)]
pub struct Arbiter<T> {
    entries: BTreeMap<CompactString, EntryLoad>,
    /// Requests that wait for capacity, in the order of the last round; new ones at
    /// the end.
    waiting: Vec<(ReservationRequest, T)>,
    /// Recent grants by service.
    grants: HashMap<CompactString, GrantHistory>,
    paces: Paces,
    limits: UpstreamLimits,
    /// Room at upstreams that are brittle.
    rooms: Rooms,
    /// Part of all entries that this arbiter serves.
    limit_share: f64,
}

impl<T> Default for Arbiter<T> {
    fn default() -> Self {
        Arbiter {
            entries: BTreeMap::new(),
            waiting: Vec::new(),
            grants: HashMap::new(),
            paces: Paces::default(),
            limits: UpstreamLimits::default(),
            rooms: Rooms::default(),
            limit_share: 1.0,
        }
    }
}

impl<T> Arbiter<T> {
    /// Applies the load that an entry reports. The load includes each of its
    /// reservations up to the number `placed_through` that was not released. A report that a
    /// later one has overtaken is ignored.
    pub fn report_load(
        &mut self,
        entry: &str,
        reported: Vec<(CompactString, UpstreamLoad)>,
        placed_through: u64,
    ) {
        let load = self.entries.entry(entry.into()).or_default();
        if placed_through < load.placed_through {
            return;
        }
        load.placed_through = placed_through;
        load.reported = reported;
        load.grants.retain(|grant| grant.number > placed_through);
    }

    /// Records the requests that a brittle upstream rejected, as an entry reports them.
    /// Returns what the upstream may hold from now on, if there are new ones.
    pub fn report_rejections(
        &mut self,
        entry: &str,
        id: &str,
        rejections: Rejections,
        now_ms: u64,
    ) -> Option<u32> {
        let load = self.entries.entry(entry.into()).or_default();
        load.rejections.retain(|_, known| now_ms < known.last_ms + REJECTIONS_PERIOD_MS);
        let known = load.rejections.insert(id.into(), rejections).unwrap_or_default();
        let is_same = known.born_ms == rejections.born_ms;
        let count = rejections.count.saturating_sub(if is_same { known.count } else { 0 });
        if count == 0 {
            return None;
        }
        let held = self.held(id);
        Some(self.rooms.record_rejections(id, (count, rejections.last_ms), held, now_ms))
    }

    /// Returns what a brittle upstream may hold, and how many requests it has rejected;
    /// `None` if no request asked for it lately.
    pub fn room(&self, id: &str) -> Option<(u32, u64)> {
        self.rooms.status(id)
    }

    /// Records the pace of an engine's streams at one entry; see [`Paces::record`].
    pub fn report_pace(&mut self, id: &str, events: u32, elapsed_ms: u32, now_ms: u64) {
        self.paces.record(id, events, elapsed_ms, now_ms);
    }

    /// Sets the part of all entries that this arbiter serves; the others may be connected
    /// to another one, which grants their part of each limit.
    pub fn set_limit_share(&mut self, share: f64) {
        self.limit_share = share;
    }

    /// Returns the limits that upstreams name.
    pub fn limits(&self) -> &UpstreamLimits {
        &self.limits
    }

    /// Returns the limits that upstreams name, to be changed.
    pub fn limits_mut(&mut self) -> &mut UpstreamLimits {
        &mut self.limits
    }

    /// Removes an entry that disconnected, with its reservations and waiting
    /// requests.
    pub fn remove_entry(&mut self, entry: &str) {
        self.entries.remove(entry);
        self.waiting.retain(|(request, _)| request.entry != entry);
    }

    /// Returns the total load reported by all entries but `entry`, by upstream.
    pub fn load_of_others(&self, entry: &str) -> BTreeMap<&str, UpstreamLoad> {
        let mut total: BTreeMap<&str, UpstreamLoad> = BTreeMap::new();
        let others = self.entries.iter().filter(|(name, _)| name.as_str() != entry);
        for (id, load) in others.flat_map(|(_, entry)| &entry.reported) {
            *total.entry(id).or_default() += *load;
        }
        total
    }

    /// Queues a request; [`Arbiter::grant_waiting`] returns `reply` with the result.
    pub fn enqueue(&mut self, request: ReservationRequest, reply: T) {
        self.waiting.push((request, reply));
    }

    /// Grants or times out waiting requests. Those that can still be in time come
    /// first; then rank, due time and start of the wait decide.
    ///
    /// Returns the `reply` of each finished request with its outcome. A request that
    /// has more requests of its service before it than are granted in its queue time is
    /// shed: finished at once; so is one that the limits of its upstreams do not allow in
    /// that time. Requests for which `is_wanted` returns false are
    /// dropped.
    pub fn grant_waiting(
        &mut self,
        now_ms: u64,
        is_wanted: impl Fn(&T) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<(T, ReservationOutcome)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.limits.refill(now_ms, self.limit_share);
        self.rooms.expire(now_ms);
        let limit_share = self.limit_share;
        let mut loads = self.loads();
        let mut finished = Vec::new();
        self.paces.expire(now_ms);
        let mean_gap_ms = self.paces.mean_gap_ms();
        let mut ahead: HashMap<CompactString, usize> = HashMap::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|(_, reply)| is_wanted(reply));
        waiting.sort_by_cached_key(|(request, _)| request.order(now_ms));
        for (request, reply) in waiting {
            let paces = &self.paces;
            let limits = &self.limits;
            let rooms = &mut self.rooms;
            let max_rejections = limits.max_rejections(request.candidate_ids(), now_ms);
            let has_room = |candidate: &&OwnedCandidate| {
                max_rejections.is_none_or(|max_rejections| {
                    let held = loads.total(&candidate.id).running;
                    let slots = share_of_slots(candidate.slots, limit_share);
                    rooms.has_room(&candidate.id, held, slots, max_rejections, now_ms)
                })
            };
            let allowed = request.candidates.iter().filter(|c| limits.has_token(&c.id));
            let allowed: Vec<&OwnedCandidate> = allowed.filter(has_room).collect();
            let candidates = allowed.into_iter().map(|candidate| {
                let slowness = paces.relative(&candidate.id, mean_gap_ms) - 1.0;
                let extra_cost = candidate.extra_cost + PACE_COST * slowness;
                Candidate { extra_cost, ..candidate.as_candidate() }
            });
            let demand = request.demand_at(now_ms);
            let granted = loads.choose(candidates, demand, rng).map(CompactString::from);
            match granted {
                Some(id) => {
                    self.rooms.take(&id, loads.total(&id).running, now_ms);
                    loads.start_request(&id, demand.cache_tokens, demand.prefill_tokens);
                    self.limits.take(&id);
                    self.grant(&request, id.clone(), now_ms);
                    finished.push((reply, ReservationOutcome::Granted(id)));
                }
                None => {
                    let ahead = ahead.entry(request.service.clone()).or_default();
                    if let Some(retry_after_ms) = self.refuse_limited(&request, *ahead, now_ms) {
                        finished.push((reply, ReservationOutcome::Limited(retry_after_ms)));
                        continue;
                    }
                    if self.should_shed(&request, *ahead, now_ms) {
                        finished.push((reply, ReservationOutcome::Shed));
                        continue;
                    }
                    *ahead += 1;
                    if now_ms >= request.deadline_ms {
                        finished.push((reply, ReservationOutcome::TimedOut));
                    } else {
                        self.waiting.push((request, reply));
                    }
                }
            }
        }
        finished
    }

    /// Refuses a request all of whose upstreams are limited and will not have a token in
    /// its queue time, or are held back for longer; returns when its caller may come back.
    fn refuse_limited(
        &mut self,
        request: &ReservationRequest,
        ahead: usize,
        now_ms: u64,
    ) -> Option<u64> {
        let ids = || request.candidate_ids();
        let queue_timeout_ms = request.queue_until_ms.saturating_sub(now_ms);
        if let Some(max_rejections) = self.limits.max_rejections(ids(), now_ms) {
            let held_back_ms = self.rooms.held_back_ms(ids(), max_rejections, now_ms);
            if held_back_ms > queue_timeout_ms {
                return Some(held_back_ms);
            }
        }
        let wait_ms = self.limits.expected_wait_ms(ids(), ahead)?;
        (wait_ms > queue_timeout_ms as f64)
            .then(|| self.limits.refuse(&request.service, ids(), now_ms))
    }

    fn should_shed(&mut self, request: &ReservationRequest, ahead: usize, now_ms: u64) -> bool {
        let queue_timeout_ms = request.queue_until_ms.saturating_sub(now_ms);
        let history = self.grants.get_mut(&request.service);
        history.is_some_and(|history| history.should_shed(ahead, queue_timeout_ms, now_ms))
    }

    fn grant(&mut self, request: &ReservationRequest, id: CompactString, now_ms: u64) {
        self.grants.entry(request.service.clone()).or_default().record(now_ms);
        let load = UpstreamLoad {
            running: 1,
            committed_cache_tokens: request.demand.cache_tokens,
            pending_prefill_tokens: request.demand.prefill_tokens,
        };
        let entry = self.entries.entry(request.entry.clone()).or_default();
        entry.grants.push(Grant { number: request.request_number, id, load });
    }

    /// Returns how many requests all entries have at an upstream.
    fn held(&self, id: &str) -> u32 {
        let at_entry = |entry: &EntryLoad| {
            let reported = entry.reported.iter().filter(|(known, _)| known.as_str() == id);
            let granted = entry.grants.iter().filter(|grant| grant.id.as_str() == id);
            reported.map(|(_, load)| load.running).sum::<u32>()
                + granted.map(|grant| grant.load.running).sum::<u32>()
        };
        self.entries.values().map(at_entry).sum()
    }

    fn loads(&self) -> Loads {
        let mut loads = Loads::default();
        for entry in self.entries.values() {
            let granted = entry.grants.iter().map(|grant| (&grant.id, grant.load));
            for (id, load) in entry.reported.iter().map(|(id, load)| (id, *load)).chain(granted) {
                loads.add(id, load);
            }
        }
        loads
    }
}

/// Returns the slots of a brittle upstream that an arbiter grants which serves this part of
/// all entries; one at least, or nobody would learn that it is brittle no more.
fn share_of_slots(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share) as u32).max(1)
}
