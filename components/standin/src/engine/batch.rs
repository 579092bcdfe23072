//! Continuous batching over a finite cache, with preemption by recompute.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use schema::EngineLoad;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

/// Prompt text that sets the output length, as in `length=40`.
const LENGTH_MARK: &str = "length=";
const MIN_LENGTH: u64 = 8;
/// How long a finished generation can still be read.
const KEPT: Duration = Duration::from_secs(30);

/// Size and speed of the engine.
#[derive(Clone, Copy, Debug)]
pub struct BatchOptions {
    /// Tokens that the cache holds.
    pub cache_tokens: u64,
    /// Generations that run at a time.
    pub max_running: usize,
    /// Time of one step, which gives each running generation one token.
    pub step: Duration,
    /// Prompt tokens that are computed in one step.
    pub prefill_tokens: u64,
    /// Puts the time of sending into each token.
    pub stamp: bool,
}

/// Faults that can be switched on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// No generation makes progress.
    pub stall: bool,
    /// Connections of readers end after this many more tokens each.
    pub drop_after_tokens: Option<u64>,
    /// Start requests are refused.
    pub refuse_starts: bool,
    /// No announcement is made.
    pub mute: bool,
}

/// Request for a generation.
#[derive(Clone, Debug, Deserialize)]
pub struct StartGeneration {
    /// Id chosen by the caller.
    pub generation: String,
    /// Version to run.
    pub version: String,
    /// Adapter to apply; may be empty.
    #[serde(default)]
    pub adapter: String,
    /// Workspace that may read it.
    pub workspace: String,
    /// Prompt.
    pub prompt: String,
    /// Longest output.
    pub max_output_tokens: u64,
    /// Rank; 0 runs first.
    #[serde(default)]
    pub priority: u32,
    /// Time without a reader after which it is cancelled.
    pub detach_ms: u64,
}

#[derive(Debug)]
struct Generation {
    start: StartGeneration,
    prompt_tokens: u64,
    length: u64,
    produced: u64,
    /// Prompt and earlier output still to be computed; `None` while waiting.
    prefill_left: Option<u64>,
    order: u64,
    readers: usize,
    unread_since: Instant,
    ended: Option<(Instant, &'static str)>,
}

impl Generation {
    fn held_tokens(&self) -> u64 {
        if self.prefill_left.is_some() && self.ended.is_none() {
            self.prompt_tokens + self.produced
        } else {
            0
        }
    }
}

#[derive(Debug, Default)]
struct State {
    generations: BTreeMap<String, Generation>,
    next_order: u64,
    preemptions: u64,
    started: u64,
    cancelled: u64,
    faults: Faults,
}

/// All generations of the engine.
#[derive(Clone, Debug)]
pub struct Batch {
    options: BatchOptions,
    state: Arc<Mutex<State>>,
    stepped: Arc<Notify>,
}

/// What a reader sees next.
#[derive(Debug, Eq, PartialEq)]
pub enum Step {
    /// Token at an index.
    Token(u64, String),
    /// End of the output.
    End(&'static str, u64),
    /// Nothing yet.
    Wait,
    /// The generation is gone.
    Gone,
}

/// Numbers for assertions of tests.
#[derive(Clone, Debug, Serialize)]
pub struct Counters {
    /// Generations that were started.
    pub started: u64,
    /// Generations that were cancelled.
    pub cancelled: u64,
    /// Times that a running generation was pushed out.
    pub preemptions: u64,
    /// Generations that run or wait.
    pub open: usize,
    /// Tokens of cache in use.
    pub cache_tokens_used: u64,
}

impl Batch {
    /// Creates an idle engine.
    pub fn new(options: BatchOptions) -> Self {
        Batch { options, state: Arc::default(), stepped: Arc::default() }
    }

    /// Steps forever.
    pub async fn run(self) {
        let mut next = Instant::now();
        loop {
            next += self.options.step;
            sleep_until(next).await;
            self.step();
            self.stepped.notify_waiters();
        }
    }

    /// Adds a generation; an id that exists already is left as it is.
    pub fn start(&self, start: StartGeneration) {
        let mut state = self.lock();
        let order = state.next_order;
        state.next_order += 1;
        state.started += 1;
        let prompt_tokens = (start.prompt.len() as u64).div_ceil(4).max(1);
        let length = output_length(&start.prompt).clamp(1, start.max_output_tokens.max(1));
        let generation = Generation {
            prompt_tokens,
            length,
            produced: 0,
            prefill_left: None,
            order,
            readers: 0,
            unread_since: Instant::now(),
            ended: None,
            start,
        };
        state.generations.entry(generation.start.generation.clone()).or_insert(generation);
    }

    /// Cancels a generation of a workspace; false if there is none.
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
        self.stepped.notify_waiters();
        true
    }

    /// Adds a reader; false if the workspace has no such generation.
    pub fn attach(&self, id: &str, workspace: &str) -> bool {
        let mut state = self.lock();
        let generation = state.generations.get_mut(id);
        let Some(generation) = generation.filter(|g| g.start.workspace == workspace) else {
            return false;
        };
        generation.readers += 1;
        true
    }

    /// Removes a reader.
    pub fn detach(&self, id: &str) {
        if let Some(generation) = self.lock().generations.get_mut(id) {
            generation.readers = generation.readers.saturating_sub(1);
            generation.unread_since = Instant::now();
        }
    }

    /// Returns what follows token `index` - 1.
    pub fn read(&self, id: &str, index: u64) -> Step {
        let state = self.lock();
        let Some(generation) = state.generations.get(id) else { return Step::Gone };
        if index < generation.produced {
            let stamp = if self.options.stamp { sent_stamp() } else { String::new() };
            return Step::Token(index, token(generation, index) + &stamp);
        }
        match generation.ended {
            Some((_, reason)) => Step::End(reason, generation.produced),
            None => Step::Wait,
        }
    }

    /// Waits for the next step.
    pub async fn stepped(&self) {
        self.stepped.notified().await;
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Returns the load as the engine reports it.
    pub fn load(&self) -> EngineLoad {
        let state = self.lock();
        let open = state.generations.values().filter(|g| g.ended.is_none());
        let running = open.clone().filter(|g| g.prefill_left.is_some()).count();
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        EngineLoad {
            cache_tokens: self.options.cache_tokens,
            cache_tokens_used: state.generations.values().map(Generation::held_tokens).sum(),
            max_running: number(self.options.max_running),
            running: number(running),
            waiting: number(open.count() - running),
            preemptions: state.preemptions,
        }
    }

    /// Returns numbers for assertions.
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
        state.drop_old(now);
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
    fn drop_old(&mut self, now: Instant) {
        let mut cancelled = 0;
        for generation in self.generations.values_mut() {
            let detach = Duration::from_millis(generation.start.detach_ms);
            let unread = generation.readers == 0 && now >= generation.unread_since + detach;
            if unread && generation.ended.is_none() {
                generation.ended = Some((now, "cancelled"));
                cancelled += 1;
            }
        }
        self.cancelled += cancelled;
        self.generations.retain(|_, g| g.ended.is_none_or(|(at, _)| now < at + KEPT));
    }

    fn held_tokens(&self) -> u64 {
        self.generations.values().map(Generation::held_tokens).sum()
    }

    /// Moves waiting generations into the batch while they fit.
    fn admit(&mut self, options: &BatchOptions) {
        let mut held = self.held_tokens();
        let running = |g: &&mut Generation| g.prefill_left.is_some() && g.ended.is_none();
        let slots = options.max_running - self.generations.values_mut().filter(running).count();
        let mut waiting: Vec<&mut Generation> = self
            .generations
            .values_mut()
            .filter(|g| g.prefill_left.is_none() && g.ended.is_none())
            .collect();
        waiting.sort_by_key(|g| (g.start.priority, g.order));
        for generation in waiting.into_iter().take(slots) {
            let needed = generation.prompt_tokens + generation.produced + 1;
            if held + needed > options.cache_tokens {
                return;
            }
            generation.prefill_left = Some(generation.prompt_tokens + generation.produced);
            held += needed;
        }
    }

    fn advance(&mut self, options: &BatchOptions, now: Instant) {
        for generation in self.generations.values_mut().filter(|g| g.ended.is_none()) {
            match generation.prefill_left {
                None => {}
                Some(0) => {
                    generation.produced += 1;
                    if generation.produced >= generation.length {
                        let limit = generation.start.max_output_tokens;
                        let reason = if generation.length == limit { "length" } else { "stop" };
                        generation.ended = Some((now, reason));
                    }
                }
                Some(left) => {
                    generation.prefill_left = Some(left.saturating_sub(options.prefill_tokens));
                }
            }
        }
    }

    /// Pushes out the lowest and newest generations while the cache overflows.
    fn preempt(&mut self, options: &BatchOptions) {
        while self.held_tokens() > options.cache_tokens {
            let running = self.generations.values_mut().filter(|g| g.held_tokens() > 0);
            let Some(victim) = running.max_by_key(|g| (g.start.priority, g.order)) else { return };
            victim.prefill_left = None;
            self.preemptions += 1;
        }
    }
}

fn token(generation: &Generation, index: u64) -> String {
    format!("{:x}.{index} ", xxh3_64(generation.start.generation.as_bytes()) & 0xffff)
}

fn sent_stamp() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("sent_us={} ", since.as_micros())
}

/// Returns the output length of a prompt: the one that it names, or a heavy
/// tailed one that follows from its text.
fn output_length(prompt: &str) -> u64 {
    let named = prompt.rsplit_once(LENGTH_MARK).map(|(_, rest)| rest);
    let digits =
        named.map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
    if let Some(length) = digits.and_then(|digits| digits.parse().ok()) {
        return length;
    }
    let uniform = (xxh3_64(prompt.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    MIN_LENGTH + (20.0 / (1.0 - uniform).powf(0.8)) as u64
}
