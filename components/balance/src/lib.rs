//! Load balancing between upstreams: least-loaded choice, outlier ejection and
//! retry budgets.
//!
//! The crate does no I/O and reads no clock; callers pass in the time.

mod arbiter;
mod attempts;
mod backlog;
mod budget;
mod connections;
mod cost;
mod entries;
mod health;
mod limits;
mod load;
mod pace;
mod pauses;
mod prefill;
mod rate;
mod recent;
mod refresh;
mod remote;
mod room;
mod speed;
mod tokens;
mod witnesses;

pub use arbiter::{
    Arbiter, OwnedCandidate, Rejections, ReservationOutcome, ReservationRequest, ShedReason,
    WaitAccount, WaitOutcome,
};
pub use attempts::DeadlineHistory;
pub use backlog::GrantHistory;
pub use budget::{RetryBudget, RetryLimits};
pub use connections::max_idle_connections;
pub use cost::{
    Asker, OutputLengths, Place, RequestCost, RouteSizes, ServedShares, SizeClass, Sizes, Speed,
    Work, WorkHistory, WorkQueue,
};
pub use entries::{
    AnswerLimits, EntryCandidate, EntryLoad, EntryReport, EntryWeights, VmSize, WeightChange,
};
pub use health::OutlierDetector;
pub use limits::{ColdLimit, FallbackTokens, LimitStatus, ObservedLimit, UpstreamLimits};
pub use load::{Candidate, Loads, PlacementDemand, UpstreamLoad, sample_size};
pub use pace::Paces;
pub use pauses::Pauses;
pub use prefill::{FirstEventTarget, PrefillRate};
pub use rate::{InvalidRate, RequestRate};
pub use refresh::EngineLoadRefresh;
pub use remote::remote_cost;
pub use room::{Rooms, rejection_pause_ms, slot_share};
pub use speed::{EngineSpeed, EngineSpeeds, ExpectedStream, SpeedReport};
pub use tokens::{GROWTH_RESERVE_TOKENS, TokenCounts};
pub use witnesses::{
    Ejection, EjectionChange, EjectionEnd, EjectionPhase, Evidence, FINDING_PERIOD_MS, Finding,
    Witnesses,
};
