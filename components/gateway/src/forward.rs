//! One request of a caller, from its route to its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, request};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use rand::RngExt as _;
use routing::{NoRoute, RouteTable, draw_service};
use schema::{EntryPhase, RepeatKind, RouteRule};
use tokio::time::{Instant, timeout_at};

use crate::answer::{Body, Refusal, full, strip_hop_by_hop};
use crate::dialect::{AnswerHead, CallHead, Resume, Send};
use crate::exchange::{Failure, Reply, Target, exchange};
use crate::place::{Excluded, Need, NoPlace, Place, wait_for_place};
use crate::relay;
use crate::shared::{InFlight, Shared};

/// Share of a route's target latency for which a request may wait for room.
const HOLD_SHARE: f64 = 0.4;
/// Most upstreams that are asked for one request, counting those that turn it
/// down.
const MAX_SENDS: u32 = 4;
/// Largest body of an answer that is held until it is whole, so that a broken
/// one can be replaced.
const MAX_HELD_BYTES: usize = 1 << 20;
/// Largest body of a request where the published set gives no bound.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
/// When a caller may try again while no upstream takes work.
const RETRY_NO_UPSTREAM: Duration = Duration::from_millis(300);
/// When a caller may try again while all upstreams are full, as a share of the
/// time that it waits for an answer: spread, so that those who are refused in a
/// peak do not come back in the same one.
const RETRY_FULL_SHARE: std::ops::Range<f64> = 0.1..0.3;
/// Longest pause that callers are asked for while all upstreams are full.
const MAX_RETRY_FULL: Duration = Duration::from_secs(9);
/// How long requests wait for the first set of routes after a start.
const FIRST_SET_WAIT: Duration = Duration::from_millis(700);
/// When a caller may try again while a gateway has no set of routes: control
/// processes that start together with it need an election first.
const RETRY_NO_SET: Duration = Duration::from_millis(1_500);
/// When a caller may try again, at another gateway, after one that stops.
const RETRY_OTHER_GATEWAY: Duration = Duration::from_millis(50);
/// Time after the stop signal in which new requests are still served, since
/// callers use the addresses that they were given for a while.
pub(crate) const LATE_CALLERS: Duration = Duration::from_millis(3_000);

/// Request of a caller with all that its attempts need.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: RouteRule,
    pub(crate) workspace: Option<CompactString>,
    /// Order in which requests wait for room.
    pub(crate) rank: u32,
    /// Rank at the engine, where a request of a lower one may push out a
    /// running one of a higher: only workspaces are told apart there.
    pub(crate) engine_rank: Option<u32>,
    pub(crate) need: Need,
    pub(crate) arrived: Instant,
    /// When the route's timeout or the caller's deadline ends the request.
    pub(crate) until: Instant,
}

impl Call {
    /// Returns whether another run of the request does no harm.
    pub(crate) fn may_repeat(&self) -> bool {
        match self.route.kind() {
            RepeatKind::Repeatable | RepeatKind::ResumableStream => true,
            RepeatKind::Once | RepeatKind::Stream | RepeatKind::Unspecified => false,
        }
    }

    /// Draws when the caller may try again while all upstreams are full.
    fn retry_when_full(&self) -> Duration {
        let share = rand::rng().random_range(RETRY_FULL_SHARE);
        self.until.duration_since(self.arrived).mul_f64(share).min(MAX_RETRY_FULL)
    }

    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.route.kind(), RepeatKind::Stream | RepeatKind::ResumableStream)
    }

    /// Builds the request for one upstream.
    pub(crate) fn to_request(
        &self,
        shared: &Shared,
        target: &Target,
        resume: Option<&Resume>,
    ) -> Request<Full<Bytes>> {
        let left = self.until.saturating_duration_since(Instant::now());
        let send = Send {
            upstream: &target.id,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1),
            workspace: self.workspace.as_deref(),
            rank: self.engine_rank.filter(|_| self.need.engine.is_some()),
            resume,
        };
        let mut headers = self.headers.clone();
        shared.dialect.write_headers(&self.head, &send, &mut headers);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let in_flight = shared.enter();
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    // A length beside chunks is not told by the library, and what follows such
    // a body may be no request of the caller's.
    let last = head.headers.contains_key(TRANSFER_ENCODING);
    let mut response = match accept(&shared, head, body, arrived).await {
        Ok(call) => answer(&shared, Rc::new(call), in_flight).await,
        Err((refusal, id)) => {
            log::info!(request = id.as_str(), status = refusal.status.as_u16(), reason = refusal.reason, waited_ms = elapsed_ms(arrived); "request refused");
            shared.metrics.requests.with_label_values(&["none", refusal.reason]).inc();
            refusal.into_response()
        }
    };
    if last || *shared.phase.borrow() == EntryPhase::Stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads a request and finds its route.
async fn accept(
    shared: &Shared,
    head: request::Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Call, (Refusal, CompactString)> {
    let call_head = shared
        .dialect
        .read_call(&head)
        .map_err(|_| (Refusal::caller(StatusCode::BAD_REQUEST, "malformed head"), "".into()))?;
    let id = call_head.id.clone();
    let refuse = |refusal| (refusal, id.clone());
    let ambiguous =
        head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH);
    if ambiguous {
        return Err(refuse(Refusal::caller(StatusCode::BAD_REQUEST, "ambiguous length")));
    }
    let table = wait_for_table(shared, arrived).await.map_err(&refuse)?;
    let routed = table.route(&call_head.host, head.uri.path(), call_head.key.as_deref());
    let routed = routed.map_err(|reason| {
        refuse(match reason {
            NoRoute::NotFound => Refusal::caller(StatusCode::NOT_FOUND, "no route"),
            NoRoute::UnknownKey => Refusal::caller(StatusCode::UNAUTHORIZED, "unknown key"),
        })
    })?;
    let stopping = *shared.phase.borrow() == EntryPhase::Stopping;
    if stopping && (routed.route.kind() == RepeatKind::Stream || late_for_stop(shared)) {
        // It could not end before the process does.
        return Err(refuse(Refusal::unavailable("stopping", RETRY_OTHER_GATEWAY)));
    }
    let limit = table.set().limits.as_ref().map_or(0, |limits| limits.max_body_bytes);
    let limit = if limit == 0 { DEFAULT_MAX_BODY_BYTES } else { limit };
    let timeout = Duration::from_millis(routed.route.timeout_ms);
    let deadline = call_head.deadline_ms.map_or(timeout, Duration::from_millis);
    let until = arrived + timeout.min(deadline);
    let body = read_body(body, limit, until).await.map_err(&refuse)?;
    let service = draw_service(routed.route, &mut rand::rng())
        .ok_or_else(|| refuse(Refusal::unavailable("no service", RETRY_NO_UPSTREAM)))?;
    let engine = table.service(service).and_then(|service| service.engine);
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    shared.count_first(service);
    Ok(Call {
        need: Need::new(service, engine, call_head.prompt),
        head: call_head,
        method: head.method,
        uri: origin_form(&head.uri),
        headers,
        body,
        route: routed.route.clone(),
        workspace: routed.workspace.map(|workspace| workspace.name.as_str().into()),
        rank: routed.rank(),
        engine_rank: routed.workspace_rank(),
        arrived,
        until,
    })
}

/// Returns whether callers had the time to learn of the stop.
fn late_for_stop(shared: &Shared) -> bool {
    shared.stopping_since.get().is_some_and(|since| since.elapsed() > LATE_CALLERS)
}

/// Returns the set of routes in force; a gateway that has just started waits a
/// moment for it.
async fn wait_for_table(shared: &Shared, arrived: Instant) -> Result<Rc<RouteTable>, Refusal> {
    let mut phase = shared.phase.subscribe();
    let started = phase.wait_for(|phase| *phase != EntryPhase::Starting);
    let waited = timeout_at(arrived + FIRST_SET_WAIT, started).await.is_ok();
    let table = shared.table();
    if !waited || table.number() == 0 {
        return Err(Refusal::unavailable("no set of routes yet", RETRY_NO_SET));
    }
    Ok(table)
}

async fn read_body(body: Incoming, limit: u64, until: Instant) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match timeout_at(until, Limited::new(body, limit).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::caller(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(_)) => Err(Refusal::caller(StatusCode::BAD_REQUEST, "malformed body")),
        Err(_) => Err(Refusal::caller(StatusCode::REQUEST_TIMEOUT, "body not received in time")),
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

/// How one attempt ended.
enum Attempt {
    /// The upstream's answer, ready for the caller.
    Answered(Response<Body>),
    /// The upstream did not run the request.
    TurnedDown(&'static str),
    /// The upstream ran the request and failed; its answer.
    Failed(Response<Body>),
    /// The request may have run.
    Lost(&'static str),
    TimedOut,
}

async fn answer(shared: &Rc<Shared>, call: Rc<Call>, in_flight: InFlight) -> Response<Body> {
    let mut in_flight = Some(in_flight);
    let mut excluded = Excluded::new();
    let mut runs = 0;
    let mut sends = 0;
    let hold_ms = call.route.target_latency_ms as f64 * HOLD_SHARE;
    let hold_until = (call.arrived + Duration::from_millis(hold_ms as u64)).min(call.until);
    let result = loop {
        let place = match wait_for_place(shared, &call.need, call.rank, &excluded, hold_until).await
        {
            Ok(place) => place,
            Err(NoPlace::NoUpstream) => {
                break Err(Refusal::unavailable("no upstream", RETRY_NO_UPSTREAM));
            }
            Err(NoPlace::Full) => {
                break Err(Refusal::unavailable("upstreams full", call.retry_when_full()));
            }
        };
        sends += 1;
        let upstream = place.target.id.clone();
        log_placement(shared, &call, &place);
        let attempt = attempt(shared, &call, place, &mut in_flight).await;
        let may_send = sends < MAX_SENDS && Instant::now() < call.until;
        let (again, last) = match attempt {
            Attempt::Answered(response) => break Ok((response, upstream)),
            Attempt::TurnedDown(reason) => {
                (may_send, Err(Refusal::unavailable(reason, call.retry_when_full())))
            }
            Attempt::Failed(response) => {
                runs += 1;
                let again = may_send && call.may_repeat() && runs < call.route.max_attempts;
                (again, Ok((response, upstream.clone())))
            }
            Attempt::Lost(reason) => {
                runs += 1;
                let again = may_send && call.may_repeat() && runs < call.route.max_attempts;
                (again, Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason)))
            }
            Attempt::TimedOut => {
                break Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timed out"));
            }
        };
        if !again || !shared.take_retry(&call.need.service) {
            break last;
        }
        log::info!(request = call.head.id.as_str(), upstream = upstream.as_str(), sends, runs; "request sent again");
        excluded.push(upstream);
    };
    finish(shared, &call, result, sends)
}

fn log_placement(shared: &Shared, call: &Call, place: &Place) {
    if call.need.engine.is_none() {
        return;
    }
    let load = shared.loads.borrow().total(&place.target.id);
    log::info!(request = call.head.id.as_str(), upstream = place.target.id.as_str(), tokens = call.need.tokens, held_ms = elapsed_ms(call.arrived), running = load.running, committed_tokens = load.tokens, unread_tokens = load.unread_tokens; "request placed");
}

fn finish(
    shared: &Shared,
    call: &Call,
    result: Result<(Response<Body>, CompactString), Refusal>,
    sends: u32,
) -> Response<Body> {
    let (response, upstream, reason) = match result {
        Ok((response, upstream)) => (response, upstream, "answered"),
        Err(refusal) => {
            let reason = refusal.reason;
            (refusal.into_response(), CompactString::default(), reason)
        }
    };
    let waited_ms = elapsed_ms(call.arrived);
    log::info!(request = call.head.id.as_str(), route = call.route.name.as_str(), service = call.need.service.as_str(), upstream = upstream.as_str(), sends, status = response.status().as_u16(), outcome = reason, waited_ms; "request answered");
    let service = call.need.service.as_str();
    shared.metrics.requests.with_label_values(&[service, reason]).inc();
    let seconds = call.arrived.elapsed().as_secs_f64();
    shared.metrics.seconds.with_label_values(&[service]).observe(seconds);
    response
}

async fn attempt(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    place: Place,
    in_flight: &mut Option<InFlight>,
) -> Attempt {
    let target = place.target.clone();
    let resume = call.head.last_event_id.map(|id| Resume { last_event_id: Some(id), memory: None });
    let request = call.to_request(shared, &target, resume.as_ref());
    let reply = match exchange(shared, &target, request, call.until).await {
        Ok(reply) => reply,
        Err(failure) => return failed(shared, call, &target, &failure),
    };
    let head = shared.dialect.read_answer(&reply.head);
    match judge(&call.head.id, &head, reply.head.status) {
        Judged::Belongs => {}
        Judged::TurnedDown => {
            if head.misdirected {
                let now_ms = shared.now_ms();
                shared.fleet.borrow_mut().end(&target.id, target.born_ms, now_ms);
                shared.pool.forget(&target.id);
            }
            log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), status = reply.head.status.as_u16(); "upstream turned the request down");
            return Attempt::TurnedDown("upstream full");
        }
        Judged::Foreign => {
            note_failure(shared, &target, "answer of another request");
            return Attempt::Lost("upstream sent an answer that is not its own");
        }
    }
    let succeeded = reply.head.status.is_success();
    if succeeded && call.is_stream() {
        shared.health.borrow_mut().succeeded(&target.id);
        return Attempt::Answered(relay::start(shared, call, reply, place, in_flight.take()));
    }
    collect(shared, call, &target, reply).await
}

/// Reads the whole body of an answer that is no stream.
async fn collect(shared: &Shared, call: &Call, target: &Target, reply: Reply) -> Attempt {
    let Reply { mut head, body, connection } = reply;
    let collecting = Limited::new(body, MAX_HELD_BYTES).collect();
    let bytes = match timeout_at(call.until, collecting).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(error)) => {
            log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), error = error.to_string().as_str(); "answer broken off");
            note_failure(shared, target, "answer broken off");
            return Attempt::Lost("upstream broke its answer off");
        }
        Err(_) => return Attempt::TimedOut,
    };
    shared.pool.keep(&target.id, connection);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let failed = head.status.is_server_error();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    if failed {
        note_failure(shared, target, "server error");
        return Attempt::Failed(response);
    }
    shared.health.borrow_mut().succeeded(&target.id);
    Attempt::Answered(response)
}

/// Whether an answer belongs to the request.
enum Judged {
    Belongs,
    TurnedDown,
    Foreign,
}

fn judge(id: &str, head: &AnswerHead, status: StatusCode) -> Judged {
    if head.request_id.as_deref().is_some_and(|answered| answered != id) {
        return Judged::Foreign;
    }
    if head.not_run || head.misdirected {
        return Judged::TurnedDown;
    }
    if head.signed || (head.request_id.is_some() && !status.is_success()) {
        return Judged::Belongs;
    }
    Judged::Foreign
}

fn failed(shared: &Shared, call: &Call, target: &Target, failure: &Failure) -> Attempt {
    let text = failure.to_string();
    log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), error = text.as_str(); "exchange failed");
    match failure {
        Failure::NotSent(_) => {
            let now_ms = shared.now_ms();
            let ejected_ms = shared.health.borrow_mut().unreachable(&target.id, now_ms);
            log_ejection(target, ejected_ms, "unreachable");
            Attempt::TurnedDown("upstream unreachable")
        }
        Failure::Lost(_) => {
            note_failure(shared, target, "connection lost");
            Attempt::Lost("upstream connection lost")
        }
        Failure::TimedOut => {
            note_failure(shared, target, "timed out");
            Attempt::TimedOut
        }
    }
}

fn note_failure(shared: &Shared, target: &Target, reason: &str) {
    let now_ms = shared.now_ms();
    let ejected_ms = shared.health.borrow_mut().failed(&target.id, now_ms);
    log_ejection(target, ejected_ms, reason);
}

fn log_ejection(target: &Target, ejected_ms: Option<u64>, reason: &str) {
    if let Some(ejected_ms) = ejected_ms {
        log::warn!(upstream = target.id.as_str(), service = target.service.as_str(), ejected_ms, reason; "upstream ejected");
    }
}

pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
