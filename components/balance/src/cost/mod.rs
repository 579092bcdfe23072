//! What a waiting request takes of an engine, and what its wait costs the caller: the
//! order in which requests get slots, and which are rejected.

mod outputs;
mod queue;
mod shares;
mod sizes;

use compact_str::CompactString;

use crate::prefill::FirstEventTarget;

pub use self::outputs::OutputLengths;
pub use self::queue::{Place, WorkHistory, WorkQueue};
pub use self::shares::{Asker, ServedShares};
pub use self::sizes::{RouteSizes, SizeClass};

/// Prefill rate that is assumed if an entry names none.
const INITIAL_TOKENS_PER_MS: f64 = 7.0;
/// Slowest prefill rate that is believed.
const MIN_TOKENS_PER_MS: f64 = 0.5;
/// Time between two events that is assumed until engines report theirs.
const INITIAL_EVENT_GAP_MS: f64 = 50.0;
/// Longest time for which a generation is assumed to hold its cache.
const MAX_HOLD_MS: f64 = 600_000.0;

/// Time for which a whole engine works for a request, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Work(f64);

impl Work {
    /// Returns the work in milliseconds of one engine.
    pub fn as_ms(self) -> f64 {
        self.0
    }

    /// Returns the work of so many milliseconds of one engine; what is no number, or
    /// negative, counts as none.
    pub fn from_ms(engine_ms: f64) -> Self {
        Work(engine_ms.clamp(0.0, 2.0 * MAX_HOLD_MS).max(0.0))
    }
}

/// Properties of a request beside the capacity that it needs, as its entry reports them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestCost {
    /// Route that the request took.
    pub route: CompactString,
    /// Workspace of the caller; empty if it has none.
    pub workspace: CompactString,
    /// Events that its answer is expected to have.
    pub output_events: u32,
    /// Time at which its caller stops waiting for the whole answer.
    pub caller_deadline_ms: u64,
}

/// Sizes of a request and of the engine that is to run it.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Prompt tokens that need prefill.
    pub prefill_tokens: u64,
    /// Cache tokens to hold.
    pub cache_tokens: u64,
    /// Capacity of the engine's KV cache in tokens.
    pub engine_cache_tokens: u64,
    /// Events that the answer is expected to have.
    pub output_events: u32,
}

/// How fast engines work at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Prompt tokens that an engine prefills per millisecond, as an entry reports it.
    pub tokens_per_ms: Option<f64>,
    /// Mean time between the events of a stream; 0 if it is not known.
    pub event_gap_ms: f64,
}

impl Speed {
    /// Returns the speed by the prefill rate of an entry's target and the mean gap of engines.
    pub fn new(target: Option<FirstEventTarget>, event_gap_ms: f64) -> Self {
        Speed { tokens_per_ms: target.map(|target| target.tokens_per_ms), event_gap_ms }
    }

    fn prefill_ms(self, tokens: u64) -> f64 {
        let rate = self.tokens_per_ms.filter(|rate| rate.is_finite());
        tokens as f64 / rate.unwrap_or(INITIAL_TOKENS_PER_MS).max(MIN_TOKENS_PER_MS)
    }

    fn hold_ms(self, events: u32) -> f64 {
        let is_known = self.event_gap_ms.is_finite() && self.event_gap_ms > 0.0;
        let gap_ms = if is_known { self.event_gap_ms } else { INITIAL_EVENT_GAP_MS };
        (f64::from(events) * gap_ms).min(MAX_HOLD_MS)
    }
}

impl Sizes {
    /// Returns the work of the request: its prefill, for which it has the engine, and its
    /// share of the cache for as long as its answer takes.
    ///
    /// Whatever an entry claims, no request is larger than an engine.
    ///
    /// ```
    /// use balance::{Sizes, Speed};
    /// let speed = Speed { tokens_per_ms: Some(10.0), event_gap_ms: 40.0 };
    /// let long = Sizes {
    ///     prefill_tokens: 3_000,
    ///     cache_tokens: 5_000,
    ///     engine_cache_tokens: 25_000,
    ///     output_events: 200,
    /// };
    /// // 300 ms of prefill, and a fifth of the cache for 8 s.
    /// assert_eq!(long.work(speed).as_ms(), 1_900.0);
    /// assert_eq!(Sizes { output_events: 0, ..long }.work(speed).as_ms(), 300.0);
    /// ```
    pub fn work(self, speed: Speed) -> Work {
        let capacity = self.engine_cache_tokens.max(1);
        let share = self.cache_tokens.min(capacity) as f64 / capacity as f64;
        let hold_ms = share * speed.hold_ms(self.output_events);
        Work::from_ms(speed.prefill_ms(self.prefill_tokens.min(capacity)) + hold_ms)
    }

    /// Returns how long the request runs until its last event.
    pub fn run_ms(self, speed: Speed) -> f64 {
        speed.prefill_ms(self.prefill_tokens) + speed.hold_ms(self.output_events)
    }

    /// Returns how long the request's own prefill takes.
    pub fn prefill_ms(self, speed: Speed) -> f64 {
        speed.prefill_ms(self.prefill_tokens)
    }
}
