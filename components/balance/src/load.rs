//! Load of upstreams, and the choice of the least loaded one.

use std::collections::HashMap;
use std::ops::AddAssign;

use compact_str::CompactString;
use rand::{Rng, RngExt as _};
use schema::UpstreamUse;
use smallvec::SmallVec;

use crate::speed::SpeedReport;

/// Number of prompt tokens awaiting prefill that costs as much as a fully loaded
/// upstream. Their prefill takes about the target time to the first event, and
/// prompts that are prefilled together share that time.
const FULL_LOAD_PREFILL_TOKENS: f64 = 6_000.0;

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Requests running or queued.
    pub running: u32,
    /// Cache tokens that they are expected to need.
    pub committed_cache_tokens: u64,
    /// Prompt tokens that still need prefill.
    pub pending_prefill_tokens: u64,
}

impl UpstreamLoad {
    /// Converts the load of one upstream from its message.
    pub fn from_message(message: &UpstreamUse) -> Self {
        UpstreamLoad {
            running: message.running,
            committed_cache_tokens: message.committed_tokens,
            pending_prefill_tokens: message.unread_tokens,
        }
    }

    /// Converts the load of the upstream `id` to its message.
    pub fn to_message(self, id: &str) -> UpstreamUse {
        UpstreamUse {
            id: id.to_string(),
            running: self.running,
            committed_tokens: self.committed_cache_tokens,
            unread_tokens: self.pending_prefill_tokens,
            ..UpstreamUse::default()
        }
    }
}

/// Sums stay at the largest number, whatever entries report.
impl AddAssign for UpstreamLoad {
    fn add_assign(&mut self, other: UpstreamLoad) {
        self.running = self.running.saturating_add(other.running);
        self.committed_cache_tokens =
            self.committed_cache_tokens.saturating_add(other.committed_cache_tokens);
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_add(other.pending_prefill_tokens);
    }
}

/// Capacity that one request needs, and how its upstream is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementDemand {
    /// Cache tokens; 0 for requests to services without a KV cache.
    pub cache_tokens: u64,
    /// Prompt tokens that need prefill.
    pub prefill_tokens: u64,
    /// Maximum number of prompt tokens that await prefill at the upstream, with those
    /// of the request; `None` without a limit.
    pub max_prefill_tokens: Option<u64>,
    /// Maximum utilization of the upstream, including the request; a limit above 1
    /// lets it queue requests or overcommit its cache.
    pub load_limit: f64,
    /// Maximum random cost added to each sampled candidate, where 1 is a fully
    /// loaded upstream: spreads entries that know the same loads and choose at the
    /// same time.
    pub cost_jitter: f64,
    /// Size of the random sample from which the least loaded upstream is chosen.
    pub sample_size: usize,
}

/// Maximum expected number of requests that entries send concurrently to the least
/// loaded upstream before their load reports reach one another.
const MAX_EXPECTED_COLLISIONS: f64 = 0.7;
/// The better of two random choices already avoids the most loaded upstreams.
const MIN_SAMPLE_SIZE: usize = 2;

/// Returns how many of `upstreams` to sample when all entries together place
/// `arrivals` requests before their load reports reach one another.
///
/// Without sampling, the least loaded upstream would receive all of them.
///
/// ```
/// assert_eq!(balance::sample_size(18, 0.5), 18);
/// assert_eq!(balance::sample_size(46, 8.0), 4);
/// ```
pub fn sample_size(upstreams: usize, arrivals: f64) -> usize {
    let size = MAX_EXPECTED_COLLISIONS * upstreams as f64 / arrivals.max(MAX_EXPECTED_COLLISIONS);
    (size as usize).max(MIN_SAMPLE_SIZE)
}

/// Upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the upstream.
    pub id: &'a str,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Capacity of its KV cache in tokens; 0 for services without one.
    pub cache_tokens: u64,
    /// Cost added to its load, where 1 is a fully loaded upstream.
    pub extra_cost: f64,
    /// Speed at which it prefills, where 1 is the mean of all upstreams.
    pub prefill_speed: f64,
}

/// Load of all upstreams: from this entry, and as reported by the other entries.
#[derive(Debug, Default)]
pub struct Loads {
    own: HashMap<CompactString, UpstreamLoad>,
    others: HashMap<CompactString, UpstreamLoad>,
}

impl Loads {
    /// Adds a request that is placed on an upstream.
    pub fn start_request(&mut self, id: &str, cache_tokens: u64, prefill_tokens: u64) {
        self.add(
            id,
            UpstreamLoad {
                running: 1,
                committed_cache_tokens: cache_tokens,
                pending_prefill_tokens: prefill_tokens,
            },
        );
    }

    /// Adds load to this entry's own load of an upstream.
    pub fn add(&mut self, id: &str, load: UpstreamLoad) {
        *self.own.entry(id.into()).or_default() += load;
    }

    /// Adds cache tokens to those of a request that was added by
    /// [`Loads::start_request`].
    pub fn grow_request(&mut self, id: &str, cache_tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            load.committed_cache_tokens = load.committed_cache_tokens.saturating_add(cache_tokens);
        }
    }

    /// Subtracts the tokens of a prompt whose prefill is complete.
    pub fn finish_prefill(&mut self, id: &str, prefill_tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            load.pending_prefill_tokens =
                load.pending_prefill_tokens.saturating_sub(prefill_tokens);
        }
    }

    /// Removes a finished request that was added by [`Loads::start_request`]; its
    /// prefill tokens are subtracted by [`Loads::finish_prefill`].
    pub fn end_request(&mut self, id: &str, cache_tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            load.running = load.running.saturating_sub(1);
            load.committed_cache_tokens = load.committed_cache_tokens.saturating_sub(cache_tokens);
            if load.running == 0 {
                self.own.remove(id);
            }
        }
    }

    /// Replaces the load reported by the other entries.
    pub fn set_others(&mut self, others: impl Iterator<Item = (CompactString, UpstreamLoad)>) {
        self.others = others.collect();
    }

    /// Replaces the load reported by the other entries, except that of the upstreams for
    /// which `is_kept` returns true.
    pub fn update_others(
        &mut self,
        others: impl Iterator<Item = (CompactString, UpstreamLoad)>,
        is_kept: impl Fn(&str) -> bool,
    ) {
        self.others.retain(|id, _| is_kept(id));
        self.others.extend(others);
    }

    /// Returns the messages by which this entry reports its own load, and what it observed
    /// of the speed of engines.
    pub fn report(&self, mut speeds: HashMap<CompactString, SpeedReport>) -> Vec<UpstreamUse> {
        let with_speed = |(id, load): (&CompactString, &UpstreamLoad)| {
            speeds.remove(id).unwrap_or_default().add_to_message(load.to_message(id))
        };
        let mut report: Vec<UpstreamUse> = self.own.iter().map(with_speed).collect();
        let idle = speeds.into_iter();
        report.extend(
            idle.map(|(id, speed)| speed.add_to_message(UpstreamLoad::default().to_message(&id))),
        );
        report
    }

    /// Iterates over this entry's own load.
    pub fn own(&self) -> impl Iterator<Item = (&str, UpstreamLoad)> {
        self.own.iter().map(|(id, load)| (id.as_str(), *load))
    }

    /// Returns how many requests this entry has at an upstream.
    pub fn own_running(&self, id: &str) -> u32 {
        self.own.get(id).map_or(0, |load| load.running)
    }

    /// Returns the load of an upstream from all entries.
    pub fn total(&self, id: &str) -> UpstreamLoad {
        let mut total = self.own.get(id).copied().unwrap_or_default();
        total += self.others.get(id).copied().unwrap_or_default();
        total
    }

    /// Returns the candidate of the lowest cost (load, extra cost and jitter) in a
    /// random sample of those that have capacity for the request.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        demand: PlacementDemand,
        rng: &mut impl Rng,
    ) -> Option<&'a str> {
        let cost = |candidate: Candidate<'a>| Some((self.cost(&candidate, demand)?, candidate.id));
        let mut available: SmallVec<[(f64, &str); 32]> = candidates.filter_map(cost).collect();
        let sample_size = demand.sample_size.clamp(1, available.len().max(1)).min(available.len());
        for index in 0..sample_size {
            let other = rng.random_range(index..available.len());
            available.swap(index, other);
            available[index].0 += demand.cost_jitter * rng.random::<f64>();
        }
        let sampled = available.into_iter().take(sample_size);
        sampled.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// Returns the cost of a candidate without jitter; `None` if the request would
    /// exceed the load limit or wait too long for its prefill.
    fn cost(&self, candidate: &Candidate<'_>, demand: PlacementDemand) -> Option<f64> {
        let load = self.total(candidate.id);
        let slot_use = (f64::from(load.running) + 1.0) / f64::from(candidate.slots.max(1));
        let cache_use = if candidate.cache_tokens == 0 {
            0.0
        } else {
            load.committed_cache_tokens.saturating_add(demand.cache_tokens) as f64
                / candidate.cache_tokens as f64
        };
        let utilization = slot_use.max(cache_use);
        let prefill_tokens = load.pending_prefill_tokens.saturating_add(demand.prefill_tokens);
        let max_prefill_tokens = demand.max_prefill_tokens.map(|max| max as f64);
        let is_backlogged = max_prefill_tokens
            .is_some_and(|max| prefill_tokens as f64 > max * candidate.prefill_speed);
        if utilization > demand.load_limit || is_backlogged {
            return None;
        }
        let prefill = load.pending_prefill_tokens as f64
            / (FULL_LOAD_PREFILL_TOKENS * candidate.prefill_speed);
        Some(utilization + prefill + candidate.extra_cost)
    }
}
