//! Capacity that a request requires, and the slot that is reserved for it.

use std::rc::Rc;

use balance::TokenCounts;
use compact_str::CompactString;
use schema::EngineCapacity;
use tokio::time::Instant;

use crate::shared::Shared;
use crate::target::Target;
use crate::timing::elapsed_ms;

/// Service and capacity that a request requires of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Requirements {
    pub(crate) service: CompactString,
    pub(crate) engine: Option<EngineCapacity>,
    /// Token counts of a generation; 0 for services without engines.
    pub(crate) tokens: TokenCounts,
}

impl Requirements {
    pub(crate) fn new(
        service: &str,
        engine: Option<EngineCapacity>,
        token_counts: Option<TokenCounts>,
    ) -> Self {
        let tokens = token_counts.filter(|_| engine.is_some()).unwrap_or_default();
        Requirements { service: service.into(), engine, tokens }
    }

    /// Returns whether the prompt does not fit into the KV cache of an engine.
    pub(crate) fn exceeds_engine(&self) -> bool {
        let engine = self.engine.as_ref();
        engine.is_some_and(|engine| self.tokens.prompt_tokens >= engine.cache_tokens)
    }

    /// Returns how many tokens an event of a stream has, at most.
    pub(crate) fn tokens_per_event(&self) -> u64 {
        self.engine.as_ref().map_or(1, |engine| engine.tokens_per_event.max(1).into())
    }

    /// Returns the output tokens in `events` events of a stream, at most.
    fn output_tokens(&self, events: u64) -> u64 {
        if self.engine.is_none() { 0 } else { events * self.tokens_per_event() }
    }

    /// Returns the events that a generation may still have after `events` of them; 0 if its
    /// length is not known.
    pub(crate) fn max_events_after(&self, events: u64) -> u32 {
        let per_event = self.engine.as_ref().map_or(1, |engine| engine.tokens_per_event.max(1));
        let max_events = self.tokens.max_output_tokens.div_ceil(u64::from(per_event));
        let left = if max_events == 0 { 0 } else { max_events.saturating_sub(events).max(1) };
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// Returns the KV cache tokens to commit for a generation that has produced
    /// `events` events.
    pub(crate) fn cache_tokens(&self, events: u64) -> u64 {
        self.tokens.committed_tokens(self.output_tokens(events))
    }
}

/// Slot reserved at an upstream; its load is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    shared: Rc<Shared>,
    pub(crate) target: Target,
    cache_tokens: u64,
    prefill_tokens: u64,
    /// Prompt tokens that awaited prefill at the upstream, with its own.
    prefill_backlog_tokens: u64,
    reserved_at: Instant,
}

impl Reservation {
    /// Counts the load of a request at the upstream.
    pub(crate) fn new(
        shared: &Rc<Shared>,
        target: Target,
        cache_tokens: u64,
        prefill_tokens: u64,
    ) -> Self {
        let now = Instant::now();
        shared.reach.borrow_mut().start_waiting(now);
        let mut loads = shared.loads.borrow_mut();
        loads.start_request(&target.id, cache_tokens, prefill_tokens);
        Reservation {
            prefill_backlog_tokens: loads.total(&target.id).pending_prefill_tokens,
            shared: shared.clone(),
            target,
            cache_tokens,
            prefill_tokens,
            reserved_at: now,
        }
    }

    /// Sets the prompt tokens that await prefill at the upstream, with its own, as the
    /// arbiter counts them; 0 if it does not.
    pub(crate) fn behind(mut self, prefill_backlog_tokens: u64) -> Self {
        self.prefill_backlog_tokens = self.prefill_backlog_tokens.max(prefill_backlog_tokens);
        self
    }

    /// Records the first event of the generation, whose prefill is complete.
    pub(crate) fn record_first_event(&mut self) {
        if self.prefill_tokens > 0 {
            let (tokens, elapsed_ms) = (self.prefill_backlog_tokens, elapsed_ms(self.reserved_at));
            let mut rate = self.shared.prefill_rate.get();
            rate.record(tokens, elapsed_ms);
            self.shared.prefill_rate.set(rate);
            let mut speeds = self.shared.speed_log.borrow_mut();
            speeds.record_prefill(&self.target.id, tokens, elapsed_ms, self.shared.now_ms());
        }
        self.release_prefill();
    }

    /// Commits the KV cache of a generation that has produced `events` events.
    pub(crate) fn record_progress(&mut self, requirements: &Requirements, events: u64) {
        let cache_tokens = requirements.cache_tokens(events).max(self.cache_tokens);
        let added = cache_tokens - self.cache_tokens;
        self.shared.loads.borrow_mut().grow_request(&self.target.id, added);
        self.cache_tokens = cache_tokens;
    }

    /// Returns the KV cache tokens that are committed at present.
    pub(crate) fn cache_tokens(&self) -> u64 {
        self.cache_tokens
    }

    /// Returns when the slot was reserved; the request is sent right after it.
    pub(crate) fn reserved_at(&self) -> Instant {
        self.reserved_at
    }

    fn release_prefill(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        self.shared.loads.borrow_mut().finish_prefill(&self.target.id, prefill_tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.reach.borrow_mut().end_waiting();
        self.release_prefill();
        self.shared.loads.borrow_mut().end_request(&self.target.id, self.cache_tokens);
    }
}
