//! Fake of a model engine: continuous batching over a finite cache.

use std::collections::VecDeque;

use schema::EngineLoad;

pub(crate) const CACHE_TOKENS: u64 = 60_000;
pub(crate) const MAX_RUNNING: usize = 64;
const STEP_BASE_US: u64 = 10_000;
const STEP_PER_STREAM_US: u64 = 300;
const STEP_PER_PREFILL_TOKEN_US: u64 = 25;
/// Requests that an engine queues before it turns more away: as many as it
/// runs at a time.
const MAX_WAITING: usize = MAX_RUNNING;
/// Prompt tokens that are computed in one step, so that decoding goes on.
const PREFILL_CHUNK: u64 = 512;
/// Prefixes held in the cache beside the streams.
const CACHED_PREFIXES: usize = 8;
/// Share of a prompt that its prefix makes up.
const PREFIX_SHARE: f64 = 0.6;

/// Stream on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) request: usize,
    pub(crate) rank: u32,
    pub(crate) prefix: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) produced: u64,
    prefill_left: u64,
    order: u64,
}

impl Stream {
    fn held(&self) -> u64 {
        self.prompt_tokens + self.produced
    }
}

/// What a step did to a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stepped {
    Token(usize),
    Ended(usize),
    Preempted(usize),
}

/// Fake of a model engine.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    waiting: Vec<Stream>,
    running: Vec<Stream>,
    prefixes: VecDeque<u64>,
    next_order: u64,
    preemptions: u64,
    pub(crate) slowness: u64,
    pub(crate) lost: bool,
}

impl Engine {
    /// Takes a request in; `false` if too many wait.
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
        let order = self.next_order;
        self.next_order += 1;
        self.waiting.push(Stream {
            request,
            rank,
            prefix,
            prompt_tokens,
            output_tokens,
            produced: 0,
            prefill_left: 0,
            order,
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
            cache_tokens_used: self.held(),
            max_running: number(MAX_RUNNING),
            running: number(self.running.len()),
            waiting: number(self.waiting.len()),
            preemptions: self.preemptions,
        }
    }

    /// Loses everything and returns the requests that ran or waited.
    pub(crate) fn lose(&mut self) -> Vec<usize> {
        self.lost = true;
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        waiting.into_iter().chain(running).map(|stream| stream.request).collect()
    }

    /// Runs one step and returns its length and what it did.
    pub(crate) fn step(&mut self) -> (u64, Vec<Stepped>) {
        self.admit();
        let mut stepped = Vec::new();
        let mut prefill = PREFILL_CHUNK;
        for stream in &mut self.running {
            if stream.prefill_left > 0 {
                let computed = stream.prefill_left.min(prefill);
                stream.prefill_left -= computed;
                prefill -= computed;
                continue;
            }
            stream.produced += 1;
            stepped.push(Stepped::Token(stream.request));
        }
        let ended = |stream: &Stream| stream.produced >= stream.output_tokens;
        stepped.extend(self.running.iter().filter(|s| ended(s)).map(|s| Stepped::Ended(s.request)));
        self.running.retain(|stream| !ended(stream));
        self.preempt(&mut stepped);
        let length_us = STEP_BASE_US
            + STEP_PER_STREAM_US * self.running.len() as u64
            + STEP_PER_PREFILL_TOKEN_US * (PREFILL_CHUNK - prefill);
        (length_us * (1 + self.slowness), stepped)
    }

    fn held(&self) -> u64 {
        self.running.iter().map(Stream::held).sum()
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|stream| (stream.rank, stream.order));
        let mut held = self.held();
        while let Some(stream) = self.waiting.first() {
            let needed = stream.held() + 1;
            if self.running.len() >= MAX_RUNNING || held + needed > CACHE_TOKENS {
                return;
            }
            held += needed;
            let mut stream = self.waiting.remove(0);
            stream.prefill_left = self.prefill_of(&stream);
            self.running.push(stream);
        }
    }

    /// Returns the tokens to compute, less those of a cached prefix.
    fn prefill_of(&mut self, stream: &Stream) -> u64 {
        let cached = self.prefixes.iter().position(|prefix| *prefix == stream.prefix);
        if let Some(index) = cached {
            self.prefixes.remove(index);
        }
        self.prefixes.push_front(stream.prefix);
        self.prefixes.truncate(CACHED_PREFIXES);
        let saved = if cached.is_some() { PREFIX_SHARE } else { 0.0 };
        let prompt = (stream.prompt_tokens as f64 * (1.0 - saved)) as u64;
        prompt + stream.produced
    }

    fn preempt(&mut self, stepped: &mut Vec<Stepped>) {
        while self.held() > CACHE_TOKENS {
            let victim = self.running.iter().enumerate().max_by_key(|(_, s)| (s.rank, s.order));
            let Some((index, _)) = victim else { return };
            let victim = self.running.remove(index);
            self.preemptions += 1;
            stepped.push(Stepped::Preempted(victim.request));
            self.waiting.push(victim);
        }
    }
}
