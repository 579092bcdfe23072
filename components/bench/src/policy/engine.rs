//! Simulated model engine: continuous batching over a finite KV cache.

use std::collections::VecDeque;

use schema::EngineLoad;

pub(crate) const CACHE_TOKENS: u64 = 60_000;
pub(crate) const MAX_RUNNING: usize = 64;
const STEP_BASE_US: u64 = 10_000;
const STEP_PER_SEQUENCE_US: u64 = 300;
const STEP_PER_PREFILL_TOKEN_US: u64 = 25;
/// Number of waiting requests from which an engine refuses new ones; equal to the
/// limit on running requests. Preempted requests are queued beyond it.
const MAX_WAITING: usize = MAX_RUNNING;
/// Tokens that an engine prefills in one step, over all sequences (chunked
/// prefill), so that long prompts do not delay decoding.
const PREFILL_CHUNK_TOKENS: u64 = 512;
/// Prompt prefixes that the prefix cache holds, besides the running sequences.
const MAX_CACHED_PREFIXES: usize = 8;
/// Fraction of a prompt that is its prefix.
const PREFIX_FRACTION: f64 = 0.6;

/// Request that waits or runs on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) request: usize,
    pub(crate) rank: u32,
    pub(crate) prefix: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) output_tokens_produced: u64,
    prefill_tokens_left: u64,
    arrival_order: u64,
}

impl Sequence {
    fn cache_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens_produced
    }
}

/// Effect of a step on a request, given by its number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StepEvent {
    Token(usize),
    Completed(usize),
    Preempted(usize),
}

/// Simulated model engine.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    prefixes: VecDeque<u64>,
    next_arrival_order: u64,
    preemptions: u64,
    /// Steps take `1 + slowdown` times as long as normal.
    pub(crate) slowdown: u64,
    pub(crate) failed: bool,
}

impl Engine {
    /// Queues a request; `false` if the queue is full.
    pub(crate) fn start(
        &mut self,
        request: usize,
        rank: u32,
        prefix: u64,
        prompt_tokens: u64,
        output_tokens: u64,
    ) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        let arrival_order = self.next_arrival_order;
        self.next_arrival_order += 1;
        self.waiting.push(Sequence {
            request,
            rank,
            prefix,
            prompt_tokens,
            output_tokens,
            output_tokens_produced: 0,
            prefill_tokens_left: 0,
            arrival_order,
        });
        true
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    pub(crate) fn load(&self) -> EngineLoad {
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        EngineLoad {
            cache_tokens: CACHE_TOKENS,
            cache_tokens_used: self.cache_tokens_used(),
            max_running: number(MAX_RUNNING),
            running: number(self.running.len()),
            waiting: number(self.waiting.len()),
            preemptions: self.preemptions,
        }
    }

    /// Fails the engine and returns the requests that ran or waited.
    pub(crate) fn fail(&mut self) -> Vec<usize> {
        self.failed = true;
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        waiting.into_iter().chain(running).map(|sequence| sequence.request).collect()
    }

    /// Runs one step and returns its duration and effects.
    pub(crate) fn step(&mut self) -> (u64, Vec<StepEvent>) {
        self.admit();
        let mut events = Vec::new();
        let mut prefill_budget = PREFILL_CHUNK_TOKENS;
        for sequence in &mut self.running {
            if sequence.prefill_tokens_left > 0 {
                let computed = sequence.prefill_tokens_left.min(prefill_budget);
                sequence.prefill_tokens_left -= computed;
                prefill_budget -= computed;
                continue;
            }
            sequence.output_tokens_produced += 1;
            events.push(StepEvent::Token(sequence.request));
        }
        let completed =
            |sequence: &Sequence| sequence.output_tokens_produced >= sequence.output_tokens;
        events.extend(
            self.running.iter().filter(|s| completed(s)).map(|s| StepEvent::Completed(s.request)),
        );
        self.running.retain(|sequence| !completed(sequence));
        self.preempt(&mut events);
        let duration_us = STEP_BASE_US
            + STEP_PER_SEQUENCE_US * self.running.len() as u64
            + STEP_PER_PREFILL_TOKEN_US * (PREFILL_CHUNK_TOKENS - prefill_budget);
        (duration_us * (1 + self.slowdown), events)
    }

    fn cache_tokens_used(&self) -> u64 {
        self.running.iter().map(Sequence::cache_tokens).sum()
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|sequence| (sequence.rank, sequence.arrival_order));
        let mut used = self.cache_tokens_used();
        while let Some(sequence) = self.waiting.first() {
            let needed = sequence.cache_tokens() + 1;
            if self.running.len() >= MAX_RUNNING || used + needed > CACHE_TOKENS {
                return;
            }
            used += needed;
            let mut sequence = self.waiting.remove(0);
            sequence.prefill_tokens_left = self.prefill_tokens(&sequence);
            self.running.push(sequence);
        }
    }

    /// Returns the tokens to prefill, without those of a cached prefix, and marks
    /// the prefix as most recently used.
    fn prefill_tokens(&mut self, sequence: &Sequence) -> u64 {
        let cached = self.prefixes.iter().position(|prefix| *prefix == sequence.prefix);
        if let Some(index) = cached {
            self.prefixes.remove(index);
        }
        self.prefixes.push_front(sequence.prefix);
        self.prefixes.truncate(MAX_CACHED_PREFIXES);
        let saved_fraction = if cached.is_some() { PREFIX_FRACTION } else { 0.0 };
        let prompt_tokens = (sequence.prompt_tokens as f64 * (1.0 - saved_fraction)) as u64;
        prompt_tokens + sequence.output_tokens_produced
    }

    fn preempt(&mut self, events: &mut Vec<StepEvent>) {
        while self.cache_tokens_used() > CACHE_TOKENS {
            let victim =
                self.running.iter().enumerate().max_by_key(|(_, s)| (s.rank, s.arrival_order));
            let Some((index, _)) = victim else { return };
            let victim = self.running.remove(index);
            self.preemptions += 1;
            events.push(StepEvent::Preempted(victim.request));
            self.waiting.push(victim);
        }
    }
}
