//! What callers and upstreams speak, behind one trait.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use displaydoc::Display;
use http::{HeaderMap, Request, StatusCode, request, response};

/// Prompt that a caller describes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the output.
    pub max_output_tokens: u64,
    /// Tokens of the output as the caller estimates them; often far off.
    pub expected_output_tokens: Option<u64>,
}

/// What the gateway reads from the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Id of this request; each attempt of a caller has its own.
    pub id: CompactString,
    /// Host that the request is for.
    pub host: CompactString,
    /// API key.
    pub key: Option<CompactString>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// Prompt, on routes of model engines.
    pub prompt: Option<Prompt>,
    /// Last event that the caller of a resumed stream has.
    pub last_event_id: Option<u64>,
}

/// the request's head is malformed: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct BadCall(pub String);

impl std::error::Error for BadCall {}

/// Memory of a running generation, kept by an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemoryRef {
    /// Engine that the memory was moved from.
    pub source: SocketAddr,
    /// Name of the copy.
    pub handle: CompactString,
}

/// How a generation goes on at another engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Resume {
    /// Last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Memory to go on from.
    pub memory: Option<MemoryRef>,
}

/// What the gateway adds to a request that it sends to an upstream.
#[derive(Clone, Debug)]
pub struct Send<'a> {
    /// Upstream that the request is meant for.
    pub upstream: &'a str,
    /// Time left for an answer.
    pub deadline_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Rank among the requests of a model engine; 0 is served first.
    pub rank: Option<u32>,
    /// Set if the request continues an earlier run.
    pub resume: Option<&'a Resume>,
}

/// What the gateway reads from the head of an upstream's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// The upstream says that it did not run the request.
    pub not_run: bool,
    /// The upstream is not the one that the request was meant for.
    pub misdirected: bool,
    /// The answer bears the upstream's signature.
    pub signed: bool,
    /// Id of the request that the answer belongs to.
    pub request_id: Option<CompactString>,
}

/// Order to copy a running generation's memory to another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOrder<'a> {
    /// Id of the request that runs.
    pub request_id: &'a str,
    /// Engine that receives the copy.
    pub to: SocketAddr,
    /// The run stops first.
    pub stop: bool,
}

/// Result of a [`MoveOrder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveResult {
    /// The copy is complete.
    Copied(CompactString),
    /// The run stopped but the copy failed; the source keeps the memory.
    Kept(CompactString),
    /// The source knows no such run.
    NoRun,
    /// The copy failed.
    Failed,
}

/// What callers and upstreams speak.
pub trait Dialect: std::fmt::Debug {
    /// Reads the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, BadCall>;

    /// Replaces headers that only the system may set.
    fn write_headers(&self, call: &CallHead, send: &Send<'_>, headers: &mut HeaderMap);

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Builds the order to copy a generation's memory.
    fn move_request(&self, order: &MoveOrder<'_>) -> Request<Bytes>;

    /// Reads the result of an order to copy a generation's memory.
    fn read_move(&self, status: StatusCode, body: &[u8]) -> MoveResult;

    /// Builds the order to free a copy, for the engine that it was moved from.
    fn free_request(&self, handle: &str) -> Request<Bytes>;

    /// Reads the id of an event of a stream.
    fn event_id(&self, event: &[u8]) -> Option<u64>;
}
