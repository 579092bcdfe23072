//! Load of upstreams, and choice by it.

use std::collections::HashMap;
use std::ops::AddAssign;

use compact_str::CompactString;
use rand::{Rng, RngExt as _};
use schema::UpstreamUse;
use smallvec::SmallVec;

/// Unread prompt tokens that weigh as much as a full upstream: about the time
/// of a first event's target, which prompts that are read together share.
const UNREAD_TOKENS_OF_FULL: f64 = 6_000.0;
/// Work at one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Use {
    /// Requests at work or waiting.
    pub running: u32,
    /// Cache tokens that they are expected to need.
    pub tokens: u64,
    /// Prompt tokens that are still to be read.
    pub unread_tokens: u64,
}

impl Use {
    /// Reads the use of one upstream from a message.
    pub fn from_message(message: &UpstreamUse) -> Self {
        Use {
            running: message.running,
            tokens: message.committed_tokens,
            unread_tokens: message.unread_tokens,
        }
    }

    /// Returns the message that tells this use of the upstream `id`.
    pub fn to_message(self, id: &str) -> UpstreamUse {
        UpstreamUse {
            id: id.to_string(),
            running: self.running,
            committed_tokens: self.tokens,
            unread_tokens: self.unread_tokens,
        }
    }
}

impl AddAssign for Use {
    fn add_assign(&mut self, other: Use) {
        self.running += other.running;
        self.tokens += other.tokens;
        self.unread_tokens += other.unread_tokens;
    }
}

/// What one request needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Cache tokens; 0 for requests to plain services.
    pub tokens: u64,
    /// Share of the capacity beyond which no more work is placed.
    pub fill: f64,
    /// Noise on the cost, as a share of a full upstream: spreads entries that
    /// see the same loads and choose at the same moment.
    pub noise: f64,
    /// Upstreams drawn at random among which the least loaded is taken.
    pub sample: usize,
}

/// Requests that may meet at the upstream that all entries hold for the least
/// loaded, before they learn of one another.
const EXPECTED_RIVALS: f64 = 0.7;
/// Two draws already avoid the most loaded upstreams.
const MIN_SAMPLE: usize = 2;

/// Returns how many of `upstreams` to look at when all entries together place
/// `arrivals` requests before they learn of one another: the best of all would
/// get all of them.
///
/// ```
/// assert_eq!(balance::sample_size(18, 0.5), 18);
/// assert_eq!(balance::sample_size(46, 8.0), 4);
/// ```
pub fn sample_size(upstreams: usize, arrivals: f64) -> usize {
    let size = EXPECTED_RIVALS * upstreams as f64 / arrivals.max(EXPECTED_RIVALS);
    (size as usize).max(MIN_SAMPLE)
}

/// Upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the upstream.
    pub id: &'a str,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Cache tokens that it holds; 0 for plain services.
    pub cache_tokens: u64,
    /// Cost beside its load, as a share of a full upstream.
    pub extra_cost: f64,
}

/// Load of all upstreams: this entry's own, and what others told of theirs.
#[derive(Debug, Default)]
pub struct Loads {
    own: HashMap<CompactString, Use>,
    others: HashMap<CompactString, Use>,
}

impl Loads {
    /// Counts a request that is placed on an upstream.
    pub fn begin(&mut self, id: &str, tokens: u64, unread_tokens: u64) {
        self.add(id, Use { running: 1, tokens, unread_tokens });
    }

    /// Adds work that was counted elsewhere.
    pub fn add(&mut self, id: &str, used: Use) {
        *self.own.entry(id.into()).or_default() += used;
    }

    /// Counts that a prompt was read.
    pub fn read(&mut self, id: &str, unread_tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            load.unread_tokens = load.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Counts the end of a request that was counted by [`Loads::begin`].
    pub fn end(&mut self, id: &str, tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            load.running = load.running.saturating_sub(1);
            load.tokens = load.tokens.saturating_sub(tokens);
            if load.running == 0 {
                self.own.remove(id);
            }
        }
    }

    /// Replaces what the other entries told.
    pub fn set_others(&mut self, others: impl Iterator<Item = (CompactString, Use)>) {
        self.others = others.collect();
    }

    /// Iterates over this entry's own load.
    pub fn own(&self) -> impl Iterator<Item = (&str, Use)> {
        self.own.iter().map(|(id, load)| (id.as_str(), *load))
    }

    /// Returns the load of an upstream by all entries.
    pub fn total(&self, id: &str) -> Use {
        let mut total = self.own.get(id).copied().unwrap_or_default();
        total += self.others.get(id).copied().unwrap_or_default();
        total
    }

    /// Returns the least loaded of a random sample of the candidates that have
    /// room for the demand.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        demand: Demand,
        rng: &mut impl Rng,
    ) -> Option<&'a str> {
        let cost = |candidate: Candidate<'a>| Some((self.cost(&candidate, demand)?, candidate.id));
        let mut open: SmallVec<[(f64, &str); 32]> = candidates.filter_map(cost).collect();
        let sample = demand.sample.clamp(1, open.len().max(1)).min(open.len());
        for index in 0..sample {
            let other = rng.random_range(index..open.len());
            open.swap(index, other);
            open[index].0 += demand.noise * rng.random::<f64>();
        }
        let drawn = open.into_iter().take(sample);
        drawn.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// Returns the cost of a candidate; `None` if it has no room.
    fn cost(&self, candidate: &Candidate<'_>, demand: Demand) -> Option<f64> {
        let load = self.total(candidate.id);
        let slots = f64::from(load.running + 1) / f64::from(candidate.slots.max(1));
        let memory = if candidate.cache_tokens == 0 {
            0.0
        } else {
            (load.tokens + demand.tokens) as f64 / candidate.cache_tokens as f64
        };
        let filled = slots.max(memory);
        if filled > demand.fill {
            return None;
        }
        let unread = load.unread_tokens as f64 / UNREAD_TOKENS_OF_FULL;
        Some(filled + unread + candidate.extra_cost)
    }
}
