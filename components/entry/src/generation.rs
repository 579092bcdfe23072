//! Request for a generation, and the events that its relay emits.

use std::sync::Arc;

use compact_str::CompactString;
use units::GenerationId;
use verdict::Failure;

/// Event that a relay sends to the HTTP handler of the request.
#[derive(Clone, Debug)]
pub(crate) enum RelayEvent {
    /// An engine accepted the generation. Sent again with another id if the relay
    /// starts a new generation on another engine.
    Started(GenerationId),
    /// Index and text of the next token.
    Token(u64, String),
    /// The output is complete.
    End {
        /// `stop`, `length` or `cancelled`.
        reason: String,
        /// Number of tokens in the complete output.
        output_tokens: u64,
    },
    /// The generation failed; this is the last event.
    Failed(Failure),
}

/// Request for one generation.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) service: CompactString,
    pub(crate) workspace: CompactString,
    pub(crate) share: u32,
    pub(crate) max_streams: u32,
    pub(crate) max_waiting: u32,
    pub(crate) priority: schema::Priority,
    pub(crate) version: CompactString,
    pub(crate) adapter: CompactString,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_output_tokens: u64,
    /// Request to the fallback service, used while no engine serves this
    /// request's service.
    pub(crate) fallback: Option<Arc<GenerationRequest>>,
}
