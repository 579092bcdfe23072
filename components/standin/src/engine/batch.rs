//! Continuous batching over a finite KV cache, with preemption by recomputation.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use schema::EngineLoad;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

/// Text in a prompt that sets the output length, as in `length=40`.
const LENGTH_DIRECTIVE: &str = "length=";
/// Added to the random part, at least 20, of an output length that the prompt does
/// not set.
const DEFAULT_OUTPUT_TOKENS_OFFSET: u64 = 8;
/// How long the output of an ended generation remains readable.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Size and speed of the engine.
#[derive(Clone, Copy, Debug)]
pub struct BatchOptions {
    /// Capacity of the KV cache in tokens.
    pub cache_tokens: u64,
    /// Maximum number of running generations.
    pub max_running: usize,
    /// Duration of a step. A step produces one token for each decoding generation.
    pub step_duration: Duration,
    /// Tokens that a generation prefills in one step.
    pub prefill_tokens_per_step: u64,
    /// Includes the send time in the text of each token.
    pub include_send_time: bool,
}

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All generations stall.
    pub stall: bool,
    /// New connections of readers are closed after this many tokens each.
    pub drop_after_tokens: Option<u64>,
    /// Requests to start a generation are refused.
    pub refuse_starts: bool,
    /// No announcements are sent.
    pub mute: bool,
}

/// Request to start a generation.
#[derive(Clone, Debug, Deserialize)]
pub struct StartGeneration {
    /// Id of the generation, chosen by the sender of the request.
    pub generation: String,
    /// Model version to run.
    pub version: String,
    /// Adapter to apply; empty for none.
    #[serde(default)]
    pub adapter: String,
    /// Workspace that may read and cancel the generation.
    pub workspace: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum output length in tokens.
    pub max_output_tokens: u64,
    /// Rank of the priority; 0 is the highest priority.
    #[serde(default)]
    pub priority: u32,
    /// Time without a reader, in milliseconds, after which the generation is
    /// cancelled.
    pub detach_ms: u64,
}

#[derive(Debug)]
struct Generation {
    start: StartGeneration,
    prompt_tokens: u64,
    target_output_tokens: u64,
    output_tokens_produced: u64,
    /// Tokens of the prompt and of the output before a preemption that remain to
    /// be prefilled; `None` while waiting.
    prefill_tokens_left: Option<u64>,
    arrival_order: u64,
    readers: usize,
    /// Time of the start or of the last detach of a reader.
    no_reader_since: Instant,
    /// Time and reason of the end.
    ended: Option<(Instant, &'static str)>,
}

impl Generation {
    fn cache_tokens_used(&self) -> u64 {
        if self.prefill_tokens_left.is_some() && self.ended.is_none() {
            self.prompt_tokens + self.output_tokens_produced
        } else {
            0
        }
    }
}

#[derive(Debug, Default)]
struct State {
    generations: BTreeMap<String, Generation>,
    next_arrival_order: u64,
    preemptions: u64,
    started: u64,
    cancelled: u64,
    faults: Faults,
}

/// Generations of the engine, with the scheduler that batches them.
#[derive(Clone, Debug)]
pub struct Batch {
    options: BatchOptions,
    state: Arc<Mutex<State>>,
    step_ended: Arc<Notify>,
}

/// Result of reading the output of a generation at an index.
#[derive(Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// Index and text of a token.
    Token(u64, String),
    /// End of the output: its reason and the number of output tokens.
    End(&'static str, u64),
    /// The token has not been produced yet.
    Pending,
    /// The generation no longer exists.
    NotFound,
}

/// Counters that tests assert on.
#[derive(Clone, Debug, Serialize)]
pub struct Counters {
    /// Requests to start a generation, including repeated ones with the same id.
    pub started: u64,
    /// Generations cancelled by request or after their detach timeout.
    pub cancelled: u64,
    /// Preemptions of running generations.
    pub preemptions: u64,
    /// Running and waiting generations.
    pub open: usize,
    /// Tokens in use in the KV cache.
    pub cache_tokens_used: u64,
}

impl Batch {
    /// Creates an idle engine.
    pub fn new(options: BatchOptions) -> Self {
        Batch { options, state: Arc::default(), step_ended: Arc::default() }
    }

    /// Runs one step per step duration, forever.
    pub async fn run(self) {
        let mut next = Instant::now();
        loop {
            next += self.options.step_duration;
            sleep_until(next).await;
            self.step();
            self.step_ended.notify_waiters();
        }
    }

    /// Adds a generation, unless one with its id exists.
    pub fn start(&self, start: StartGeneration) {
        let mut state = self.lock();
        let arrival_order = state.next_arrival_order;
        state.next_arrival_order += 1;
        state.started += 1;
        let prompt_tokens = (start.prompt.len() as u64).div_ceil(4).max(1);
        let target_output_tokens =
            output_length(&start.prompt).clamp(1, start.max_output_tokens.max(1));
        let generation = Generation {
            prompt_tokens,
            target_output_tokens,
            output_tokens_produced: 0,
            prefill_tokens_left: None,
            arrival_order,
            readers: 0,
            no_reader_since: Instant::now(),
            ended: None,
            start,
        };
        state.generations.entry(generation.start.generation.clone()).or_insert(generation);
    }

    /// Cancels a generation; `false` if the workspace has no such generation.
    pub fn cancel(&self, id: &str, workspace: &str) -> bool {
        let mut state = self.lock();
        let Some(generation) = state.generations.get_mut(id) else { return false };
        if generation.start.workspace != workspace {
            return false;
        }
        if generation.ended.is_none() {
            generation.ended = Some((Instant::now(), "cancelled"));
            state.cancelled += 1;
        }
        drop(state);
        self.step_ended.notify_waiters();
        true
    }

    /// Adds a reader; `false` if the workspace has no such generation.
    pub fn attach(&self, id: &str, workspace: &str) -> bool {
        let mut state = self.lock();
        let generation = state.generations.get_mut(id);
        let Some(generation) = generation.filter(|g| g.start.workspace == workspace) else {
            return false;
        };
        generation.readers += 1;
        true
    }

    /// Removes a reader and restarts the detach timeout.
    pub fn detach(&self, id: &str) {
        if let Some(generation) = self.lock().generations.get_mut(id) {
            generation.readers = generation.readers.saturating_sub(1);
            generation.no_reader_since = Instant::now();
        }
    }

    /// Returns the token at `index`, or the state of the generation if there is
    /// none.
    pub fn read(&self, id: &str, index: u64) -> ReadResult {
        let state = self.lock();
        let Some(generation) = state.generations.get(id) else { return ReadResult::NotFound };
        if index < generation.output_tokens_produced {
            let stamp =
                if self.options.include_send_time { send_time_text() } else { String::new() };
            return ReadResult::Token(index, token_text(generation, index) + &stamp);
        }
        match generation.ended {
            Some((_, reason)) => ReadResult::End(reason, generation.output_tokens_produced),
            None => ReadResult::Pending,
        }
    }

    /// Waits for the end of the next step or for a cancellation.
    pub async fn wait_for_step(&self) {
        self.step_ended.notified().await;
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Returns the load that the engine announces.
    pub fn load(&self) -> EngineLoad {
        let state = self.lock();
        let open = state.generations.values().filter(|g| g.ended.is_none());
        let running = open.clone().filter(|g| g.prefill_tokens_left.is_some()).count();
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        EngineLoad {
            cache_tokens: self.options.cache_tokens,
            cache_tokens_used: state.generations.values().map(Generation::cache_tokens_used).sum(),
            max_running: number(self.options.max_running),
            running: number(running),
            waiting: number(open.count() - running),
            preemptions: state.preemptions,
        }
    }

    /// Returns the current counters.
    pub fn counters(&self) -> Counters {
        let load = self.load();
        let state = self.lock();
        Counters {
            started: state.started,
            cancelled: state.cancelled,
            preemptions: state.preemptions,
            open: state.generations.values().filter(|g| g.ended.is_none()).count(),
            cache_tokens_used: load.cache_tokens_used,
        }
    }

    fn step(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        state.cancel_and_expire(now);
        if state.faults.stall {
            return;
        }
        state.admit(&self.options);
        state.advance(&self.options, now);
        state.preempt(&self.options);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        match self.state.lock() {
            Ok(state) => state,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

impl State {
    fn cancel_and_expire(&mut self, now: Instant) {
        let mut cancelled = 0;
        for generation in self.generations.values_mut() {
            let detach_timeout = Duration::from_millis(generation.start.detach_ms);
            let detached =
                generation.readers == 0 && now >= generation.no_reader_since + detach_timeout;
            if detached && generation.ended.is_none() {
                generation.ended = Some((now, "cancelled"));
                cancelled += 1;
            }
        }
        self.cancelled += cancelled;
        self.generations.retain(|_, g| g.ended.is_none_or(|(at, _)| now < at + ENDED_RETENTION));
    }

    fn cache_tokens_used(&self) -> u64 {
        self.generations.values().map(Generation::cache_tokens_used).sum()
    }

    /// Moves waiting generations into the batch, by priority and arrival, while
    /// they fit into the cache and fewer than `max_running` run.
    fn admit(&mut self, options: &BatchOptions) {
        let mut used = self.cache_tokens_used();
        let running = |g: &&mut Generation| g.prefill_tokens_left.is_some() && g.ended.is_none();
        let slots = options.max_running - self.generations.values_mut().filter(running).count();
        let mut waiting: Vec<&mut Generation> = self
            .generations
            .values_mut()
            .filter(|g| g.prefill_tokens_left.is_none() && g.ended.is_none())
            .collect();
        waiting.sort_by_key(|g| (g.start.priority, g.arrival_order));
        for generation in waiting.into_iter().take(slots) {
            let needed = generation.prompt_tokens + generation.output_tokens_produced + 1;
            if used + needed > options.cache_tokens {
                return;
            }
            generation.prefill_tokens_left =
                Some(generation.prompt_tokens + generation.output_tokens_produced);
            used += needed;
        }
    }

    fn advance(&mut self, options: &BatchOptions, now: Instant) {
        for generation in self.generations.values_mut().filter(|g| g.ended.is_none()) {
            match generation.prefill_tokens_left {
                None => {}
                Some(0) => {
                    generation.output_tokens_produced += 1;
                    if generation.output_tokens_produced >= generation.target_output_tokens {
                        let limit = generation.start.max_output_tokens;
                        let reason = if generation.target_output_tokens == limit {
                            "length"
                        } else {
                            "stop"
                        };
                        generation.ended = Some((now, reason));
                    }
                }
                Some(left) => {
                    generation.prefill_tokens_left =
                        Some(left.saturating_sub(options.prefill_tokens_per_step));
                }
            }
        }
    }

    /// Preempts the newest generations of the lowest priority while the cache
    /// overflows.
    fn preempt(&mut self, options: &BatchOptions) {
        while self.cache_tokens_used() > options.cache_tokens {
            let running = self.generations.values_mut().filter(|g| g.cache_tokens_used() > 0);
            let Some(victim) = running.max_by_key(|g| (g.start.priority, g.arrival_order)) else {
                return;
            };
            victim.prefill_tokens_left = None;
            self.preemptions += 1;
        }
    }
}

fn token_text(generation: &Generation, index: u64) -> String {
    format!("{:x}.{index} ", xxh3_64(generation.start.generation.as_bytes()) & 0xffff)
}

fn send_time_text() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("sent_us={} ", since.as_micros())
}

/// Returns the output length for a prompt: the length that the prompt sets, or
/// else a pseudo-random length from a heavy-tailed distribution, seeded by the
/// text.
fn output_length(prompt: &str) -> u64 {
    let after_directive = prompt.rsplit_once(LENGTH_DIRECTIVE).map(|(_, rest)| rest);
    let digits = after_directive
        .map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
    if let Some(length) = digits.and_then(|digits| digits.parse().ok()) {
        return length;
    }
    let uniform = (xxh3_64(prompt.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    DEFAULT_OUTPUT_TOKENS_OFFSET + (20.0 / (1.0 - uniform).powf(0.8)) as u64
}
