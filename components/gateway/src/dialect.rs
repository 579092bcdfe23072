//! Headers and commands of callers and upstreams, behind one trait.

use std::net::SocketAddr;
use std::time::Duration;

use balance::{RequestRate, TokenCounts};
use bytes::Bytes;
use compact_str::CompactString;
use displaydoc::Display;
use http::{HeaderMap, Request, StatusCode, request, response};
use quarantine::PartId;
use smallvec::SmallVec;

/// Fields of a caller's request head that the gateway uses.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Id of this request; each retry by a caller has its own.
    pub id: CompactString,
    /// Host that the request is for.
    pub host: CompactString,
    /// API key.
    pub key: Option<CompactString>,
    /// How long the caller waits for the response.
    pub deadline_ms: Option<u64>,
    /// Prompt and output lengths, if the caller states them; used for model
    /// engines only.
    pub token_counts: Option<TokenCounts>,
    /// Last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the request that brought the first event of the stream, if the caller takes
    /// one up again.
    pub resumes: Option<CompactString>,
    /// Parts of the prompt that other requests may share.
    pub prompt_parts: PromptParts,
}

/// Parts of the prompt of one request.
pub type PromptParts = SmallVec<[PartId; 4]>;

/// the request's head is malformed: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct MalformedRequest(pub String);

impl std::error::Error for MalformedRequest {}

/// Reference to a copy of a generation's KV cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvCacheRef {
    /// Engine that the KV cache was copied from.
    pub source: SocketAddr,
    /// Handle of the copy, assigned by that engine.
    pub handle: CompactString,
}

/// Point from which a stream is resumed: at the request of the caller, or on
/// another engine after an interruption or a move.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Resume {
    /// Last event that the caller received.
    pub last_event_id: Option<u64>,
    /// KV cache to resume from; `None` if it was not copied.
    pub kv_cache: Option<KvCacheRef>,
}

/// What the gateway adds to a request that it sends to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// Upstream that the request is sent to.
    pub upstream: &'a str,
    /// Time left for the response.
    pub deadline_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Scheduling rank at a model engine; 0 is served first.
    pub rank: Option<u32>,
    /// Set if the request resumes a stream.
    pub resume: Option<&'a Resume>,
}

/// Fields of an upstream's response head that the gateway uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The upstream states that it did not run the request.
    pub not_run: bool,
    /// The request reached another upstream than the intended one.
    pub misdirected: bool,
    /// The response carries the upstream's signature.
    pub signed: bool,
    /// Id of the request that the response is for, if it states one.
    pub request_id: Option<CompactString>,
    /// Requests that the upstream takes from all gateways together, if it names a limit.
    pub request_limit: Option<RequestRate>,
    /// The upstream rejects the request because it has no room for it.
    pub no_room: bool,
    /// Requests that the upstream may reject in a second before it fails, if it names a
    /// number.
    pub max_rejections: Option<u32>,
    /// The upstream says that it leaves.
    pub leaving: bool,
    /// The upstream turns the request away, and wants none from this gateway for so long.
    pub pause: Option<Duration>,
}

/// Command to copy the KV cache of a running generation to another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveCommand<'a> {
    /// Id of the request that started the generation.
    pub request_id: &'a str,
    /// Engine that receives the copy.
    pub to: SocketAddr,
    /// Whether the generation is stopped before its KV cache is copied.
    pub stop: bool,
}

/// Result of a [`MoveCommand`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveResult {
    /// The copy is complete; contains its handle.
    Copied(CompactString),
    /// The generation stopped but the copy failed; the source keeps the KV
    /// cache under this handle.
    Kept(CompactString),
    /// The source runs no such generation.
    NotRunning,
    /// The copy failed, or the command was refused.
    Failed,
    /// The response does not say what has become of the generation.
    Unknown,
}

/// Translates between the gateway and the headers and commands of callers and
/// upstreams.
pub trait Dialect: std::fmt::Debug {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, MalformedRequest>;

    /// Sets the headers for the upstream, replacing those that callers may not
    /// set.
    fn write_headers(
        &self,
        head: &RequestHead,
        context: &ForwardContext<'_>,
        headers: &mut HeaderMap,
    );

    /// Parses the head of an upstream's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Builds the request for a command to copy a KV cache.
    fn move_request(&self, command: &MoveCommand<'_>) -> Request<Bytes>;

    /// Parses the response to a command to copy a KV cache.
    fn parse_move_response(&self, status: StatusCode, body: &[u8]) -> MoveResult;

    /// Builds the request to free a copy, for the engine that it was copied from.
    fn free_copy_request(&self, handle: &str) -> Request<Bytes>;

    /// Parses the id of a stream event.
    fn event_id(&self, event: &[u8]) -> Option<u64>;
}
