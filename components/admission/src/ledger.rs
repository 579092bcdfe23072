//! What one engine is doing, as its owner knows it.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use schema::EngineLoad;

use crate::curve::Curve;
use crate::forecast::{Running, fits, peak_tokens};

/// Capacity left after each preemption, and regained per second without one.
const PREEMPTION_BACKOFF: f64 = 0.95;
const BACKOFF_RECOVERY_PER_S: f64 = 0.005;
const MIN_CONFIDENCE: f64 = 0.6;

/// Tunables of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerOptions {
    /// Standard deviations kept free above the expected memory; grows with
    /// the cost of a preemption.
    pub deviations: f64,
    /// Life of a credit that its holder does not renew.
    pub credit_lease_ms: u64,
    /// Grant by the forecast of memory, and not only by free slots.
    pub forecast: bool,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        LedgerOptions { deviations: 2.0, credit_lease_ms: 3_000, forecast: true }
    }
}

/// Part of the cache kept free for one priority.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Name of the priority.
    pub priority: CompactString,
    /// Share of the cache, from 0 to 1.
    pub share: f64,
}

/// Request for a credit.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Entry that will hold the credit.
    pub holder_vm: CompactString,
    /// Priority of the request.
    pub priority: CompactString,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Longest output allowed.
    pub max_output_tokens: u64,
    /// Length estimate.
    pub curve: Arc<Curve>,
}

/// Permission to run one generation.
#[derive(Clone, Debug)]
pub struct Credit {
    /// Entry that holds it.
    pub holder_vm: CompactString,
    /// Priority of the request.
    pub priority: CompactString,
    /// Time after which it is taken back.
    pub expires_ms: u64,
    running: Running,
}

/// Credits of one engine.
#[derive(Debug)]
pub struct Ledger {
    options: LedgerOptions,
    load: EngineLoad,
    credits: BTreeMap<u64, Credit>,
    next_credit: u64,
    /// Work that the engine reports but no credit here accounts for.
    unknown_tokens: u64,
    unknown_running: u32,
    /// Factor on the capacity, lowered by preemptions.
    confidence: f64,
    reported_ms: u64,
}

impl Ledger {
    /// Creates the ledger of an engine that reports `load`.
    ///
    /// `first_credit` keeps credits of this ledger apart from those of an
    /// earlier owner.
    pub fn new(options: LedgerOptions, load: EngineLoad, first_credit: u64, now_ms: u64) -> Self {
        let mut ledger = Ledger {
            options,
            load: EngineLoad { preemptions: load.preemptions, ..EngineLoad::default() },
            credits: BTreeMap::new(),
            next_credit: first_credit,
            unknown_tokens: 0,
            unknown_running: 0,
            confidence: 1.0,
            reported_ms: now_ms,
        };
        ledger.report(load, now_ms);
        ledger
    }

    /// Takes a load report of the engine.
    pub fn report(&mut self, load: EngineLoad, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.reported_ms) as f64 / 1_000.0;
        self.confidence = (self.confidence + elapsed_s * BACKOFF_RECOVERY_PER_S).min(1.0);
        if load.preemptions > self.load.preemptions {
            self.confidence = (self.confidence * PREEMPTION_BACKOFF).max(MIN_CONFIDENCE);
        }
        let own_running = u32::try_from(self.credits.len()).unwrap_or(u32::MAX);
        self.unknown_tokens = load.cache_tokens_used.saturating_sub(self.held_tokens());
        self.unknown_running = (load.running + load.waiting).saturating_sub(own_running);
        self.load = load;
        self.reported_ms = now_ms;
    }

    /// Grants a credit if the engine's memory is likely to hold it.
    pub fn try_grant(
        &mut self,
        ask: &Ask,
        reservations: &[Reservation],
        now_ms: u64,
    ) -> Option<u64> {
        let running = Running {
            held_tokens: ask.prompt_tokens,
            produced_tokens: 0,
            max_output_tokens: ask.max_output_tokens,
            curve: ask.curve.clone(),
        };
        let limit = self.limit_share(&ask.priority, reservations);
        let slots = f64::from(self.load.max_running) * limit;
        if self.running_count() as f64 + 1.0 > slots {
            return None;
        }
        let capacity = self.capacity_tokens() * limit - self.unknown_tokens as f64;
        let all = self.credits.values().map(|credit| &credit.running);
        if self.options.forecast && !fits(all, &running, self.options.deviations, capacity) {
            return None;
        }
        let id = self.next_credit;
        self.next_credit += 1;
        let credit = Credit {
            holder_vm: ask.holder_vm.clone(),
            priority: ask.priority.clone(),
            expires_ms: now_ms + self.options.credit_lease_ms,
            running,
        };
        self.credits.insert(id, credit);
        Some(id)
    }

    /// Renews a credit and notes the output so far; false if it was taken back.
    pub fn renew(&mut self, id: u64, produced_tokens: u64, now_ms: u64) -> bool {
        let Some(credit) = self.credits.get_mut(&id) else { return false };
        let produced_tokens = produced_tokens.max(credit.running.produced_tokens);
        let progress = produced_tokens - credit.running.produced_tokens;
        credit.running.produced_tokens = produced_tokens;
        credit.running.held_tokens += progress;
        credit.expires_ms = now_ms + self.options.credit_lease_ms;
        true
    }

    /// Takes a credit back at the end of its generation.
    pub fn release(&mut self, id: u64) -> Option<Credit> {
        self.credits.remove(&id)
    }

    /// Takes back credits whose holders no longer renew them; returns how many.
    pub fn expire(&mut self, now_ms: u64) -> usize {
        let before = self.credits.len();
        self.credits.retain(|_, credit| now_ms < credit.expires_ms);
        before - self.credits.len()
    }

    /// Returns the tokens of cache that a request without a reservation could
    /// still be granted.
    pub fn free_tokens(&self, reservations: &[Reservation]) -> u64 {
        let capacity = self.capacity_tokens() * self.limit_share("", reservations);
        let all = self.credits.values().map(|credit| &credit.running);
        let peak = peak_tokens(all, self.options.deviations) + self.unknown_tokens as f64;
        (capacity - peak).max(0.0) as u64
    }

    /// Returns the number of generations on the engine.
    pub fn running_count(&self) -> u64 {
        self.credits.len() as u64 + u64::from(self.unknown_running)
    }

    /// Returns the last load report.
    pub fn load(&self) -> &EngineLoad {
        &self.load
    }

    fn held_tokens(&self) -> u64 {
        self.credits.values().map(|credit| credit.running.held_tokens).sum()
    }

    fn capacity_tokens(&self) -> f64 {
        self.load.cache_tokens as f64 * self.confidence
    }

    /// Returns the share of the engine that a priority may fill: all but what
    /// the others have reserved and do not use.
    fn limit_share(&self, priority: &str, reservations: &[Reservation]) -> f64 {
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
