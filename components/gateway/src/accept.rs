//! Reads a caller's request and finds its route.

use std::rc::Rc;
use std::time::Duration;

use ::quarantine::{Feature, FeatureSet, Fingerprint, RequestIdentity};
use bytes::Bytes;
use compact_str::CompactString;
use http::header::{CONTENT_LENGTH, EXPECT, HeaderName};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, StatusCode, Uri, request};
use http_body_util::Full;
use hyper::body::Incoming;
use lineage::{Origin, StreamId};
use rand::RngExt as _;
use routing::{RouteError, RouteTable, pick_weighted_service};
use schema::{EntryPhase, RepeatKind, RouteRule};
use telemetry::Span;
use tokio::time::{Instant, timeout_at};

use crate::answer::{Refusal, strip_hop_by_hop};
use crate::buffering::{ReadError, read_whole};
use crate::dialect::{ForwardContext, RequestHead, Resume};
use crate::origins::{self, RETRY_AFTER_LOST_STREAM};
use crate::peer::HandBackState;
use crate::reservation::Requirements;
use crate::shared::Shared;
use crate::state::{BufferReservation, BufferUse};
use crate::target::Target;
use crate::unfinished::{Progress, Stage};

/// W3C trace context of the caller, which is forwarded unchanged.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Largest request body if the published set of routes gives no limit.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
/// Longest wait of a request for the first set of routes after a start.
const FIRST_SET_WAIT: Duration = Duration::from_millis(700);
/// `Retry-After` while a gateway has no set of routes: control processes that
/// start at the same time need a leader election first.
const RETRY_AFTER_NO_SET: Duration = Duration::from_millis(1_500);
/// `Retry-After` from a gateway that is stopping; another gateway serves the
/// retry.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(50);
/// Time after the stop signal during which new requests are still served, because callers
/// keep using cached gateway addresses for a while; except streams that cannot be resumed,
/// and requests that may last longer than the process.
pub(crate) const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(3_000);
/// `Retry-After` while all upstreams are full, as a share of the request's
/// timeout: drawn at random, so that callers refused in one load peak do not all
/// retry at the same moment.
const RETRY_AFTER_FULL_SHARE: std::ops::Range<f64> = 0.1..0.3;
/// Longest `Retry-After` while all upstreams are full.
const MAX_RETRY_AFTER_FULL: Duration = Duration::from_secs(9);
/// `Retry-After` while no upstream accepts requests, or the memory for request
/// bodies is used up.
pub(crate) const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_millis(300);

/// Accepted request of a caller, from which each attempt is built.
#[derive(Debug)]
pub(crate) struct Call {
    /// Span of the request; starts after its body was received and ends when the
    /// call is dropped.
    pub(crate) span: Span,
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    _body_memory: BufferReservation,
    pub(crate) route: RouteRule,
    pub(crate) workspace: Option<CompactString>,
    /// Ranks of the workspace and of the route; 0 is served first.
    pub(crate) ranks: (u32, u32),
    /// Rank at the engine, where a request may preempt a running one of a
    /// higher rank number; the engine's rank depends on the workspace only.
    pub(crate) engine_rank: Option<u32>,
    pub(crate) requirements: Requirements,
    /// Where the stream began that the caller takes up again.
    pub(crate) origin: Option<Origin>,
    /// Stream that begins with the request, if its caller may take it up again.
    pub(crate) stream: Option<StreamId>,
    /// What the request has in common with others that may crash upstreams.
    pub(crate) features: FeatureSet,
    pub(crate) arrived: Instant,
    /// When the response, or the first event of a stream, is due for its full value.
    pub(crate) first_event_due: Instant,
    /// Earlier of the route's timeout and the caller's deadline.
    pub(crate) until: Instant,
    /// Another gateway handed the call on; it is not handed on again.
    pub(crate) from_peer: bool,
    /// What may be handed back to that gateway.
    pub(crate) hand_back: HandBackState,
}

/// What a call is made of.
pub(crate) struct CallParts<'a> {
    pub(crate) request_head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) body_memory: BufferReservation,
    pub(crate) route: RouteRule,
    pub(crate) workspace: Option<CompactString>,
    pub(crate) ranks: (u32, u32),
    pub(crate) engine_rank: Option<u32>,
    pub(crate) requirements: Requirements,
    pub(crate) origin: Option<Origin>,
    pub(crate) arrived: Instant,
    pub(crate) first_event_due: Instant,
    pub(crate) until: Instant,
    /// Trace context of the caller, or of the gateway that handed the call on.
    pub(crate) traceparent: &'a str,
    pub(crate) from_peer: bool,
}

impl Call {
    /// Starts the span of a call and derives the rest from its parts.
    pub(crate) fn new(shared: &Shared, parts: CallParts<'_>) -> Self {
        let CallParts { request_head, method, uri, headers, body, route, workspace, .. } = parts;
        let span = shared.spans.start_server_span("request", parts.traceparent);
        span.set_attribute("request", request_head.id.to_string());
        span.set_attribute("route", route.name.clone());
        let caller = workspace.as_deref().unwrap_or_default();
        let resumable = route.kind() == RepeatKind::ResumableStream;
        let identity = RequestIdentity {
            caller,
            host: &request_head.host,
            method: method.as_str(),
            path: uri.path_and_query().map_or("/", PathAndQuery::as_str),
            body: &body,
        };
        let features = request_head.prompt_parts.iter().copied().map(Feature::Part);
        let features = features.chain([Feature::Request(Fingerprint::of(&identity))]);
        Call {
            span,
            stream: resumable.then(|| StreamId::new(caller, &request_head.id)),
            features: FeatureSet::new(features),
            origin: parts.origin,
            requirements: parts.requirements,
            head: request_head,
            method,
            uri,
            headers,
            body,
            _body_memory: parts.body_memory,
            route,
            workspace,
            ranks: parts.ranks,
            engine_rank: parts.engine_rank,
            arrived: parts.arrived,
            first_event_due: parts.first_event_due,
            until: parts.until,
            from_peer: parts.from_peer,
            hand_back: HandBackState::default(),
        }
    }

    /// Returns whether the request may safely run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        match self.route.kind() {
            RepeatKind::Repeatable | RepeatKind::ResumableStream => true,
            RepeatKind::Once | RepeatKind::Stream | RepeatKind::Unspecified => false,
        }
    }

    /// Draws the `Retry-After` of a request that found all upstreams full or was
    /// rejected by the last upstream that was tried.
    pub(crate) fn retry_after_full(&self) -> Duration {
        let share = rand::rng().random_range(RETRY_AFTER_FULL_SHARE);
        self.until.duration_since(self.arrived).mul_f64(share).min(MAX_RETRY_AFTER_FULL)
    }

    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.route.kind(), RepeatKind::Stream | RepeatKind::ResumableStream)
    }

    /// Builds the request to one upstream.
    pub(crate) fn to_request(
        &self,
        shared: &Shared,
        target: &Target,
        resume: Option<&Resume>,
    ) -> Request<Full<Bytes>> {
        let remaining = self.until.saturating_duration_since(Instant::now());
        let context = ForwardContext {
            upstream: &target.id,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1),
            workspace: self.workspace.as_deref(),
            rank: self.engine_rank.filter(|_| self.requirements.engine.is_some()),
            resume,
        };
        let mut headers = self.headers.clone();
        shared.dialect.write_headers(&self.head, &context, &mut headers);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Reads a request, authenticates it and finds its route.
pub(crate) async fn accept(
    shared: &Rc<Shared>,
    progress: &Progress,
    head: request::Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Call, (Refusal, CompactString)> {
    let request_head = shared.dialect.parse_request(&head).map_err(|_| {
        (Refusal::client_error(StatusCode::BAD_REQUEST, "malformed head"), "".into())
    })?;
    let id = request_head.id.clone();
    progress.set_id(&id);
    let refuse = |refusal| (refusal, id.clone());
    let table = wait_for_table(shared, arrived).await.map_err(&refuse)?;
    let routed = table.route(&request_head.host, head.uri.path(), request_head.key.as_deref());
    let routed = routed.map_err(|reason| {
        refuse(match reason {
            RouteError::NotFound => Refusal::client_error(StatusCode::NOT_FOUND, "no route"),
            RouteError::UnknownKey => {
                Refusal::client_error(StatusCode::UNAUTHORIZED, "unknown key")
            }
        })
    })?;
    let limit = table.set().limits.as_ref().map_or(0, |limits| limits.max_body_bytes);
    let limit = if limit == 0 { DEFAULT_MAX_BODY_BYTES } else { limit };
    let timeout = Duration::from_millis(routed.route.timeout_ms);
    let deadline = request_head.deadline_ms.map_or(timeout, Duration::from_millis);
    let until = arrived + timeout.min(deadline);
    refuse_while_stopping(shared, routed.route.kind(), until).map_err(&refuse)?;
    let spent = request_head
        .deadline_ms
        .map_or(Duration::ZERO, |deadline_ms| shared.time_spent_earlier(routed.route, deadline_ms));
    let target = Duration::from_millis(routed.route.target_latency_ms);
    let mut body_memory = shared.buffers.reserve(BufferUse::RequestBody);
    let body = read_body(progress, body, limit, until, &mut body_memory).await;
    let body = body.map_err(&refuse)?;
    progress.set_stage(Stage::Waiting);
    // The stop may have begun while the body arrived.
    refuse_while_stopping(shared, routed.route.kind(), until).map_err(&refuse)?;
    let workspace = routed.workspace.map(|workspace| workspace.name.as_str());
    let origin = match routed.route.kind() {
        RepeatKind::Stream | RepeatKind::ResumableStream => {
            origins::resolve(shared, workspace.unwrap_or_default(), &request_head).await
        }
        RepeatKind::Repeatable | RepeatKind::Once | RepeatKind::Unspecified => Ok(None),
    };
    let origin = origin.map_err(&refuse)?;
    let service = pick_service(routed.route, origin.as_ref()).map_err(&refuse)?;
    let engine = table.service(service).and_then(|service| service.engine);
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    shared.record_first_attempt(service);
    let context = headers.get(TRACEPARENT).and_then(|value| value.to_str().ok()).map(str::to_owned);
    Ok(Call::new(
        shared,
        CallParts {
            requirements: Requirements::new(service, engine, request_head.token_counts),
            request_head,
            method: head.method,
            uri: origin_form(&head.uri),
            headers,
            body,
            body_memory,
            route: routed.route.clone(),
            workspace: workspace.map(CompactString::from),
            ranks: routed.ranks(),
            engine_rank: routed.workspace_rank(),
            origin,
            arrived,
            first_event_due: arrived + target.saturating_sub(spent),
            until,
            traceparent: context.as_deref().unwrap_or_default(),
            from_peer: false,
        },
    ))
}

/// Picks the service for a request: the one that began the stream, if it goes on.
fn pick_service<'a>(route: &'a RouteRule, origin: Option<&Origin>) -> Result<&'a str, Refusal> {
    let Some(origin) = origin else {
        return pick_weighted_service(route, &mut rand::rng())
            .ok_or(Refusal::unavailable("no service", RETRY_AFTER_NO_UPSTREAM));
    };
    let mut services = route.services.iter().filter(|weighted| weighted.weight > 0);
    let service = services.find(|weighted| origin.service == weighted.service);
    service.map(|weighted| weighted.service.as_str()).ok_or(Refusal::unavailable(
        "the stream's service is not on the route",
        RETRY_AFTER_LOST_STREAM,
    ))
}

/// Refuses a request that might not finish before the process exits.
fn refuse_while_stopping(shared: &Shared, kind: RepeatKind, until: Instant) -> Result<(), Refusal> {
    if *shared.phase.borrow() != EntryPhase::Stopping {
        return Ok(());
    }
    let outlives_grace = shared.grace_end().is_some_and(|end| until > end);
    if kind == RepeatKind::Stream || drain_accept_period_over(shared) || outlives_grace {
        return Err(Refusal::unavailable("stopping", RETRY_AFTER_STOPPING));
    }
    Ok(())
}

/// Returns whether callers have had time to learn that this gateway is stopping.
fn drain_accept_period_over(shared: &Shared) -> bool {
    shared.stopping_since.get().is_some_and(|since| since.elapsed() > DRAIN_ACCEPT_PERIOD)
}

/// Returns the set of routes in force; after a start, waits for it until
/// [`FIRST_SET_WAIT`] after the request arrived.
async fn wait_for_table(shared: &Shared, arrived: Instant) -> Result<Rc<RouteTable>, Refusal> {
    let mut phase = shared.phase.subscribe();
    let started = phase.wait_for(|phase| *phase != EntryPhase::Starting);
    let has_started = timeout_at(arrived + FIRST_SET_WAIT, started).await.is_ok();
    let table = shared.table();
    if !has_started || table.number() == 0 {
        return Err(Refusal::unavailable("no set of routes yet", RETRY_AFTER_NO_SET));
    }
    Ok(table)
}

async fn read_body(
    progress: &Progress,
    body: Incoming,
    limit: u64,
    until: Instant,
    memory: &mut BufferReservation,
) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match timeout_at(until, read_whole(body, limit, memory)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge)) => {
            Err(Refusal::client_error(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(ReadError::NoMemory)) => {
            Err(Refusal::unavailable("too many bodies", RETRY_AFTER_NO_UPSTREAM))
        }
        Ok(Err(error @ (ReadError::Interrupted(_) | ReadError::LostByPeer))) => {
            if let ReadError::Interrupted(error) = &error {
                progress.record_broken_body(error);
            }
            Err(Refusal::client_error(StatusCode::BAD_REQUEST, "malformed body"))
        }
        Err(_) => {
            Err(Refusal::client_error(StatusCode::REQUEST_TIMEOUT, "body not received in time"))
        }
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}
