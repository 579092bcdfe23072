//! Request and response bodies of the OpenAI-compatible chat interface.

use serde::{Deserialize, Serialize};

/// Approximate bytes of English text per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Body of `POST /v1/chat/completions`. Sampling parameters are accepted
/// and ignored.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    pub(crate) max_tokens: Option<u64>,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Message {
    pub(crate) role: String,
    pub(crate) content: String,
}

impl ChatRequest {
    /// Returns all messages as one prompt.
    pub(crate) fn prompt(&self) -> String {
        let lines = self.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        lines.collect()
    }
}

/// Estimates the number of tokens in a prompt.
pub(crate) fn estimate_prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Response without streaming.
#[derive(Debug, Serialize)]
pub(crate) struct Completion<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: &'a str,
    pub(crate) choices: [CompletionChoice<'a>; 1],
    pub(crate) usage: Usage,
}

/// Output of a response without streaming.
#[derive(Debug, Serialize)]
pub(crate) struct CompletionChoice<'a> {
    pub(crate) index: u32,
    pub(crate) message: OutputMessage<'a>,
    pub(crate) finish_reason: &'a str,
}

/// Message of a response without streaming.
#[derive(Debug, Serialize)]
pub(crate) struct OutputMessage<'a> {
    pub(crate) role: &'static str,
    pub(crate) content: &'a str,
}

/// Token counts of a response.
#[derive(Debug, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
}

/// Event of a streamed response.
#[derive(Debug, Serialize)]
pub(crate) struct Chunk<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: &'a str,
    pub(crate) choices: [ChunkChoice<'a>; 1],
}

/// Output of one event.
#[derive(Debug, Serialize)]
pub(crate) struct ChunkChoice<'a> {
    pub(crate) index: u32,
    pub(crate) delta: Delta<'a>,
    pub(crate) finish_reason: Option<&'a str>,
}

/// Text of one event.
#[derive(Debug, Serialize)]
pub(crate) struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<&'a str>,
}
