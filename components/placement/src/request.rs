//! Placement requests, their results, and the release of placements.

use compact_str::CompactString;
use smallvec::SmallVec;

/// Request for placement on an engine.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// Service that the caller requested.
    pub service: CompactString,
    /// Workspace of the caller.
    pub workspace: CompactString,
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Maximum generations of the workspace running through this entry.
    pub max_running: u32,
    /// Maximum requests of the workspace waiting at this entry for the service.
    pub max_waiting: u32,
    /// Priority of the service.
    pub priority: CompactString,
    /// Rank of the priority; 0 is served first.
    pub rank: u32,
    /// Maximum wait of the priority.
    pub max_wait_ms: u64,
    /// Maximum wait that still meets the target time to first token.
    pub max_on_time_wait_ms: u64,
    /// Model version and adapter that the engine must serve.
    pub required_artifacts: SmallVec<[CompactString; 2]>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Maximum output tokens of the request.
    pub max_output_tokens: u64,
    /// Hash of the prompt's prefix, for prefix affinity.
    pub prefix: u64,
    /// Engines on which earlier attempts of this request failed.
    pub excluded_engines: SmallVec<[CompactString; 2]>,
}

/// Placement on an engine under a credit.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Name of the engine.
    pub upstream: CompactString,
    /// Address on which the engine accepts requests.
    pub address: CompactString,
    /// VM of the entry that owns the engine.
    pub owner_vm: CompactString,
    /// Credit under which the generation runs.
    pub credit: u64,
    /// Expected tokens that were charged to the workspace.
    pub expected_tokens: f64,
    /// Time that the request waited in the queue.
    pub waited_ms: u64,
}

/// End of a generation.
#[derive(Clone, Debug)]
pub struct Release {
    /// Placement to release.
    pub placement: Placement,
    /// Service of the request.
    pub service: CompactString,
    /// Workspace of the caller.
    pub workspace: CompactString,
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Output length in tokens.
    pub output_tokens: u64,
    /// Whether the output ended by itself, so that its length can be used to
    /// estimate later ones.
    pub output_complete: bool,
}
