//! Slot reservations on upstreams for the requests of all entries, granted one
//! at a time.
//!
//! Entries that choose on their own learn the load of the others with a delay
//! and all pick the same upstream that has free capacity. The arbiter counts
//! each reservation immediately, and keeps requests that find no capacity in
//! one queue.

mod account;
mod appraisal;
mod candidates;
mod entries;
mod holds;
mod order;
mod request;
mod round;
mod waits;

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use rand::Rng;

use crate::cost::RouteSizes;
use crate::limits::UpstreamLimits;
use crate::load::{Candidate, UpstreamLoad};
use crate::room::Rooms;
use crate::speed::{EngineSpeeds, SpeedReport};
use crate::witnesses::Witnesses;

use self::account::{Accounts, Ahead};
pub use self::account::{WaitAccount, WaitOutcome};
use self::appraisal::Appraisal;
use self::entries::EntryLoads;
pub use self::entries::Rejections;
use self::holds::Holds;
use self::order::OrderKey;
pub use self::request::{OwnedCandidate, ReservationOutcome, ReservationRequest, ShedReason};
use self::round::Round;
use self::waits::{ServiceHistory, Waiting};

/// Reserves slots on upstreams for the requests of all entries.
#[derive(Debug)]
pub struct Arbiter<T> {
    entries: EntryLoads,
    /// Requests that wait for capacity, in the order of the last round; new ones at
    /// the end.
    waiting: Vec<Waiting<T>>,
    services: HashMap<CompactString, ServiceHistory>,
    route_sizes: RouteSizes,
    accounts: Accounts,
    speeds: EngineSpeeds,
    limits: UpstreamLimits,
    /// Room at upstreams that are brittle.
    rooms: Rooms,
    /// Failures of upstreams, as all entries saw them.
    witnesses: Witnesses,
    /// Upstreams kept free for requests that are owed a slot.
    holds: Holds,
    /// Part of all entries that this arbiter serves.
    limit_share: f64,
}

impl<T> Default for Arbiter<T> {
    fn default() -> Self {
        Arbiter {
            entries: EntryLoads::default(),
            waiting: Vec::new(),
            services: HashMap::new(),
            route_sizes: RouteSizes::default(),
            accounts: Accounts::default(),
            speeds: EngineSpeeds::default(),
            limits: UpstreamLimits::default(),
            rooms: Rooms::default(),
            witnesses: Witnesses::default(),
            holds: Holds::default(),
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
        self.entries.report(entry, reported, placed_through);
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
        let count = self.entries.report_rejections(entry, id, rejections, now_ms);
        if count == 0 {
            return None;
        }
        let held = self.entries.load(id).running;
        Some(self.rooms.record_rejections(id, (count, rejections.last_ms), held, now_ms))
    }

    /// Returns what a brittle upstream may hold, and how many requests it has rejected;
    /// `None` if no request asked for it lately.
    pub fn room(&self, id: &str) -> Option<(u32, u64)> {
        self.rooms.status(id)
    }

    /// Records what an entry observed of an engine's speed.
    pub fn report_speed(&mut self, id: &str, report: SpeedReport, now_ms: u64) {
        self.speeds.record(id, report, now_ms);
    }

    /// Returns the speeds of engines.
    pub fn speeds(&self) -> &EngineSpeeds {
        &self.speeds
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

    /// Returns what entries saw of failing upstreams.
    pub fn witnesses(&self) -> &Witnesses {
        &self.witnesses
    }

    /// Returns what entries saw of failing upstreams, to be changed.
    pub fn witnesses_mut(&mut self) -> &mut Witnesses {
        &mut self.witnesses
    }

    /// Removes an entry that disconnected, with its reservations and waiting
    /// requests.
    pub fn remove_entry(&mut self, entry: &str) {
        self.entries.remove(entry);
        self.waiting.retain(|waiting| waiting.request.entry != entry);
    }

    /// Returns the total load reported by all entries but `entry`, by upstream.
    pub fn load_of_others(&self, entry: &str) -> BTreeMap<&str, UpstreamLoad> {
        self.entries.reported_by_others(entry)
    }

    /// Returns the load of all entries on an upstream, reserved slots included.
    pub fn load(&self, id: &str) -> UpstreamLoad {
        self.entries.load(id)
    }

    /// Queues a request; [`Arbiter::grant_waiting`] returns `reply` with the result.
    pub fn enqueue(&mut self, request: ReservationRequest, reply: T) {
        let history = self.services.entry(request.service.clone()).or_default();
        let event_gap_ms = self.speeds.mean().gap_ms;
        let sizes = &mut self.route_sizes;
        let appraisal = Appraisal::of(&request, event_gap_ms, sizes, &history.shares);
        self.waiting.push(Waiting { request, appraisal, reply });
    }

    /// Returns the accounts of waits that ended since the last call.
    pub fn take_accounts(&mut self) -> Vec<WaitAccount> {
        self.accounts.take()
    }

    /// Grants or times out waiting requests, in the order of [`OrderKey`].
    ///
    /// Returns the `reply` of each finished request with its outcome. Where more waits than
    /// is granted in the queue time of a request, the one that costs callers least is shed:
    /// finished at once; so is one that the limits of its upstreams do not allow in that
    /// time. Requests for which `is_wanted` returns false are dropped.
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
        self.speeds.refresh(now_ms);
        self.holds.expire(now_ms);
        let mut round = Round::new(now_ms, self.entries.total(), self.speeds.mean());
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|waiting| is_wanted(&waiting.reply));
        waiting.sort_by_cached_key(|waiting| {
            OrderKey::new(&waiting.request, waiting.appraisal.as_ref(), now_ms)
        });
        let mut finished = Vec::new();
        let mut unplaced = Vec::new();
        for waiting in waiting {
            match self.try_grant(&waiting, &mut round, rng) {
                Some(outcome) => finished.push((waiting.reply, outcome)),
                None => unplaced.push(waiting),
            }
        }
        finished.extend(self.end_waits(unplaced, &round));
        finished
    }

    /// Reserves a slot for a request, if an upstream has capacity for it. Otherwise keeps an
    /// upstream for a request that is owed a slot.
    fn try_grant(
        &mut self,
        waiting: &Waiting<T>,
        round: &mut Round,
        rng: &mut impl Rng,
    ) -> Option<ReservationOutcome> {
        let Waiting { request, appraisal, .. } = waiting;
        let owed = appraisal.as_ref().and_then(Appraisal::owed_asker);
        let now_ms = round.now_ms;
        let demand = request.demand_at(now_ms);
        let mut candidates = self.candidates(request, round);
        let is_free = |candidate: &Candidate<'_>| !self.holds.is_kept_from(candidate.id, owed);
        if self.holds.apply_to(request, owed) && candidates.iter().any(is_free) {
            candidates.retain(is_free);
        }
        let Some(id) = round.loads.choose(candidates.iter().copied(), demand, rng) else {
            round.ahead += 1;
            if let Some(asker) = owed {
                self.holds.keep(asker, request, &candidates, &round.loads, now_ms);
            }
            return None;
        };
        let id = CompactString::from(id);
        let running = round.loads.total(&id).running;
        self.rooms.take(&id, running, now_ms);
        if demand.prefill_tokens > 0 {
            self.speeds.record_prompt(&id, running);
        }
        round.loads.start_request(&id, demand.cache_tokens, demand.prefill_tokens);
        self.limits.take(&id);
        self.witnesses.take(&id, now_ms);
        self.holds.release(&id);
        let history = self.services.entry(request.service.clone()).or_default();
        history.grants.record(now_ms);
        self.entries.grant(request, id.clone());
        let outcome = ReservationOutcome::Granted(id);
        if let Some(appraisal) = appraisal {
            history.work.record(appraisal.work, now_ms);
            let ahead = Ahead { requests: round.ahead, work_ms: 0 };
            self.record_end(request, appraisal, &outcome, ahead, now_ms);
        }
        Some(outcome)
    }
}
