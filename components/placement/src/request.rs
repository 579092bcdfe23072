//! Requests for places on engines, and what they get and give back.

use compact_str::CompactString;
use smallvec::SmallVec;

/// Request for a place on an engine.
#[derive(Clone, Debug, Default)]
pub struct Acquire {
    /// Service that the caller named.
    pub service: CompactString,
    /// Workspace of the caller.
    pub workspace: CompactString,
    /// Relative share of the workspace.
    pub share: u32,
    /// Most generations of the workspace that run at this entry.
    pub max_streams: u32,
    /// Most requests of the workspace that wait at this entry.
    pub max_waiting: u32,
    /// Priority of the service.
    pub priority: CompactString,
    /// Rank of the priority; 0 is served first.
    pub rank: u32,
    /// Longest wait of the priority.
    pub max_wait_ms: u64,
    /// Wait after which the first token comes too late.
    pub due_in_ms: u64,
    /// Version and adapter that the engine must serve.
    pub needs: SmallVec<[CompactString; 2]>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Longest output allowed.
    pub max_output_tokens: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Engines that failed this request before.
    pub exclude: SmallVec<[CompactString; 2]>,
}

/// Place on an engine, under a credit.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Engine.
    pub upstream: CompactString,
    /// Address on which it takes requests.
    pub address: CompactString,
    /// VM of the engine's owner.
    pub owner_vm: CompactString,
    /// Credit under which the generation runs.
    pub credit: u64,
    /// Tokens that the workspace was charged with in advance.
    pub expected_tokens: f64,
    /// Time that the request waited.
    pub waited_ms: u64,
}

/// End of a generation.
#[derive(Clone, Debug)]
pub struct Release {
    /// Place that is given back.
    pub placement: Placement,
    /// Service of the request.
    pub service: CompactString,
    /// Workspace of the caller.
    pub workspace: CompactString,
    /// Relative share of the workspace.
    pub share: u32,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Length of the output.
    pub output_tokens: u64,
    /// The output ended by itself, so its length tells about later ones.
    pub whole: bool,
}
