//! Messages of the chat interface that callers know from OpenAI.

use serde::{Deserialize, Serialize};

/// Bytes of English text that make up one token, about.
const BYTES_PER_TOKEN: u64 = 4;

/// Body of `POST /v1/chat/completions`. Fields that only shape the sampling
/// are accepted and ignored.
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
    /// Returns the whole prompt.
    pub(crate) fn prompt(&self) -> String {
        let lines = self.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        lines.collect()
    }
}

/// Estimates the tokens of a prompt.
pub(crate) fn estimate_prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct Completion<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: &'a str,
    pub(crate) choices: [CompletionChoice<'a>; 1],
    pub(crate) usage: Usage,
}

/// Output of a whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct CompletionChoice<'a> {
    pub(crate) index: u32,
    pub(crate) message: OutputMessage<'a>,
    pub(crate) finish_reason: &'a str,
}

/// Message of a whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct OutputMessage<'a> {
    pub(crate) role: &'static str,
    pub(crate) content: &'a str,
}

/// Cost of an answer.
#[derive(Debug, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
}

/// Event of a streamed answer.
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
