//! Credits and load of one engine, tracked by the entry that owns it.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use schema::EngineLoad;

use crate::curve::SurvivalCurve;
use crate::forecast::{RunningGeneration, fits_in_cache, peak_tokens};

/// Factor applied to the usable cache capacity when a load report shows new
/// preemptions.
const PREEMPTION_BACKOFF: f64 = 0.95;
/// Share of the full capacity regained per second.
const BACKOFF_RECOVERY_PER_S: f64 = 0.005;
const MIN_CAPACITY_FACTOR: f64 = 0.6;

/// Options of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerOptions {
    /// Safety margin of the forecast in standard deviations of the cache usage;
    /// grows with the cost of a preemption.
    pub deviations: f64,
    /// Time to live of a credit unless its holder renews it.
    pub credit_lease_ms: u64,
    /// Grant credits by the cache usage forecast, not only by free slots.
    pub forecast: bool,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        LedgerOptions { deviations: 2.0, credit_lease_ms: 3_000, forecast: true }
    }
}

/// Share of each engine reserved for one priority.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Name of the priority.
    pub priority: CompactString,
    /// Reserved share of the slots and the cache, from 0 to 1.
    pub share: f64,
}

/// Request for a credit.
#[derive(Clone, Debug)]
pub struct GrantRequest {
    /// VM of the entry that will hold the credit.
    pub holder_vm: CompactString,
    /// Priority of the request.
    pub priority: CompactString,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Maximum output tokens of the request.
    pub max_output_tokens: u64,
    /// Estimated distribution of the output length.
    pub curve: Arc<SurvivalCurve>,
}

/// Permission to run one generation on the engine.
#[derive(Clone, Debug)]
pub struct Credit {
    /// VM of the entry that holds it.
    pub holder_vm: CompactString,
    /// Priority of the request.
    pub priority: CompactString,
    /// Time at which it expires unless renewed.
    pub expires_ms: u64,
    running: RunningGeneration,
}

/// Credits of one engine.
#[derive(Debug)]
pub struct Ledger {
    options: LedgerOptions,
    load: EngineLoad,
    credits: BTreeMap<u64, Credit>,
    next_credit: u64,
    /// Cache tokens that the engine reports beyond those of the credits.
    untracked_tokens: u64,
    /// Generations that the engine reports beyond the credits.
    untracked_running: u32,
    /// Factor on the cache capacity, lowered by preemptions.
    capacity_factor: f64,
    reported_ms: u64,
}

impl Ledger {
    /// Creates the ledger of an engine that reports `load`.
    ///
    /// Credit ids start at `first_credit`, which keeps them distinct from those
    /// granted by an earlier owner.
    pub fn new(options: LedgerOptions, load: EngineLoad, first_credit: u64, now_ms: u64) -> Self {
        let mut ledger = Ledger {
            options,
            load: EngineLoad { preemptions: load.preemptions, ..EngineLoad::default() },
            credits: BTreeMap::new(),
            next_credit: first_credit,
            untracked_tokens: 0,
            untracked_running: 0,
            capacity_factor: 1.0,
            reported_ms: now_ms,
        };
        ledger.report(load, now_ms);
        ledger
    }

    /// Applies a load report of the engine.
    pub fn report(&mut self, load: EngineLoad, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.reported_ms) as f64 / 1_000.0;
        self.capacity_factor = (self.capacity_factor + elapsed_s * BACKOFF_RECOVERY_PER_S).min(1.0);
        if load.preemptions > self.load.preemptions {
            self.capacity_factor =
                (self.capacity_factor * PREEMPTION_BACKOFF).max(MIN_CAPACITY_FACTOR);
        }
        let own_running = u32::try_from(self.credits.len()).unwrap_or(u32::MAX);
        self.untracked_tokens = load.cache_tokens_used.saturating_sub(self.held_tokens());
        self.untracked_running = (load.running + load.waiting).saturating_sub(own_running);
        self.load = load;
        self.reported_ms = now_ms;
    }

    /// Grants a credit if the share of the engine that the priority may use has a
    /// free slot and, with [`LedgerOptions::forecast`], is expected to hold the
    /// generation's cache; returns the credit's id.
    pub fn try_grant(
        &mut self,
        request: &GrantRequest,
        reservations: &[Reservation],
        now_ms: u64,
    ) -> Option<u64> {
        let running = RunningGeneration {
            held_tokens: request.prompt_tokens,
            produced_tokens: 0,
            max_output_tokens: request.max_output_tokens,
            curve: request.curve.clone(),
        };
        let usable = self.usable_share(&request.priority, reservations);
        let slots = f64::from(self.load.max_running) * usable;
        if self.running_count() as f64 + 1.0 > slots {
            return None;
        }
        let capacity = self.capacity_tokens() * usable - self.untracked_tokens as f64;
        let all = self.credits.values().map(|credit| &credit.running);
        if self.options.forecast && !fits_in_cache(all, &running, self.options.deviations, capacity)
        {
            return None;
        }
        let id = self.next_credit;
        self.next_credit += 1;
        let credit = Credit {
            holder_vm: request.holder_vm.clone(),
            priority: request.priority.clone(),
            expires_ms: now_ms + self.options.credit_lease_ms,
            running,
        };
        self.credits.insert(id, credit);
        Some(id)
    }

    /// Renews a credit and records its output so far; returns false if the credit
    /// is unknown, or was removed by [`Ledger::release`] or [`Ledger::expire`].
    pub fn renew(&mut self, id: u64, produced_tokens: u64, now_ms: u64) -> bool {
        let Some(credit) = self.credits.get_mut(&id) else { return false };
        let produced_tokens = produced_tokens.max(credit.running.produced_tokens);
        let progress = produced_tokens - credit.running.produced_tokens;
        credit.running.produced_tokens = produced_tokens;
        credit.running.held_tokens += progress;
        credit.expires_ms = now_ms + self.options.credit_lease_ms;
        true
    }

    /// Removes the credit of a generation that ended.
    pub fn release(&mut self, id: u64) -> Option<Credit> {
        self.credits.remove(&id)
    }

    /// Removes credits that were not renewed in time; returns how many.
    pub fn expire(&mut self, now_ms: u64) -> usize {
        let before = self.credits.len();
        self.credits.retain(|_, credit| now_ms < credit.expires_ms);
        before - self.credits.len()
    }

    /// Returns the cache tokens available to requests without a reservation.
    pub fn free_tokens(&self, reservations: &[Reservation]) -> u64 {
        let capacity = self.capacity_tokens() * self.usable_share("", reservations);
        let all = self.credits.values().map(|credit| &credit.running);
        let peak = peak_tokens(all, self.options.deviations) + self.untracked_tokens as f64;
        (capacity - peak).max(0.0) as u64
    }

    /// Returns the number of generations on the engine, running or queued: one per
    /// credit, and those that the engine reports beyond the credits.
    pub fn running_count(&self) -> u64 {
        self.credits.len() as u64 + u64::from(self.untracked_running)
    }

    /// Returns the last load report.
    pub fn load(&self) -> &EngineLoad {
        &self.load
    }

    fn held_tokens(&self) -> u64 {
        self.credits.values().map(|credit| credit.running.held_tokens).sum()
    }

    fn capacity_tokens(&self) -> f64 {
        self.load.cache_tokens as f64 * self.capacity_factor
    }

    /// Returns the share of the engine that a priority may use: all but the unused
    /// reservations of the other priorities.
    fn usable_share(&self, priority: &str, reservations: &[Reservation]) -> f64 {
        let cache_tokens = self.load.cache_tokens.max(1) as f64;
        let unused = |reservation: &Reservation| {
            let used = self.credits.values().filter(|c| c.priority == reservation.priority);
            let used: u64 = used.map(|credit| credit.running.held_tokens).sum();
            (reservation.share - used as f64 / cache_tokens).max(0.0)
        };
        let others = reservations.iter().filter(|r| r.priority != priority);
        (1.0 - others.map(unused).sum::<f64>()).max(0.0)
    }
}
