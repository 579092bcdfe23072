//! Handles one request of a caller: attempts, retries and the response.

use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::FutureExt as _;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode, request};
use hyper::body::Incoming;
use schema::EntryPhase;
use tokio::time::{Instant, timeout_at};
use verdict::RequestError;

use crate::accept::{Call, RETRY_AFTER_NO_UPSTREAM, accept};
use crate::answer::{Body, Refusal, buffered_body, strip_hop_by_hop};
use crate::attempts::{Attempt, Attempts, EVACUATED};
use crate::buffering::{MAX_ANSWER_BYTES, read_whole};
use crate::crashes;
use crate::dialect::Resume;
use crate::eligibility::Excluded;
use crate::exchange::{ExchangeError, UpstreamResponse, exchange};
use crate::guards::InFlightGuard;
use crate::health::{record_answer, record_failure, record_lost, record_unreachable};
use crate::limits;
use crate::notices;
use crate::origins::RETRY_AFTER_LOST_STREAM;
use crate::peer::{self, Forwarded};
use crate::place::{ReserveError, wait_for_slot};
use crate::quarantine;
use crate::relay;
use crate::reservation::Reservation;
use crate::response_check::{ResponseCheck, check_response};
use crate::shared::Shared;
use crate::state::BufferUse;
use crate::target::Target;
use crate::timing::elapsed_ms;
use crate::unfinished::{Progress, Stage};

/// Share of a route's target latency for which a request may queue for a slot,
/// counted from its arrival.
const QUEUE_TIME_SHARE: f64 = 0.4;

/// Longest time after which a request that was rejected is asked to come back.
const MAX_RETRY_AFTER_SHED: Duration = Duration::from_secs(9);

/// How often one request is handed to another gateway.
const MAX_HAND_OVERS: u32 = 2;

/// Reason of the answer to a request in flight at the end of the grace period.
const GRACE_OVER: &str = "grace period over";

/// Reason of the answer to a request whose handling panicked.
const PANICKED: &str = "internal error";

/// Serves one request of a caller.
pub(crate) async fn serve(
    shared: Rc<Shared>,
    progress: &Progress,
    request: Request<Incoming>,
) -> Response<Body> {
    progress.begin();
    let in_flight = shared.track_in_flight();
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    // hyper does not reveal whether a chunked request also had a Content-Length.
    // Bytes after such a body may be a smuggled request, so the connection is
    // not reused.
    let close_connection = head.headers.contains_key(TRANSFER_ENCODING);
    // As a panic unwinds, borrows of the shared cells end, and guards release what the request
    // holds; the other tasks go on with that state whether or not the panic is caught here.
    let responding = respond(&shared, progress, head, body, arrived, in_flight);
    let responding = AssertUnwindSafe(responding).catch_unwind();
    let responding =
        responding.map(|result| result.unwrap_or_else(|_| answer_panic(&shared, progress)));
    let id = || progress.id();
    let mut response = answer_within_grace(&shared, arrived, responding, id).await;
    progress.set_stage(Stage::Response);
    if close_connection || *shared.phase.borrow() == EntryPhase::Stopping {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answers a request whose handling panicked, when it may have been sent.
fn answer_panic(shared: &Shared, progress: &Progress) -> Response<Body> {
    log::error!(request = progress.id().as_str(), stage = progress.stage(); "request failed by a panic");
    shared.metrics.requests.with_label_values(&["none", PANICKED]).inc();
    Refusal::unknown_outcome(StatusCode::BAD_GATEWAY, PANICKED).into_response()
}

/// Waits for a response until the end of the grace period; after that the outcome is unknown.
/// `id` returns the id of the request, if it is known by then.
pub(crate) async fn answer_within_grace(
    shared: &Shared,
    arrived: Instant,
    responding: impl Future<Output = Response<Body>>,
    id: impl Fn() -> CompactString,
) -> Response<Body> {
    let mut ending = shared.ending.subscribe();
    tokio::select! {
        response = responding => response,
        _ = ending.wait_for(|ending| *ending) => {
            log::warn!(request = id().as_str(), waited_ms = elapsed_ms(arrived); "request cut off at the end of the grace period");
            shared.metrics.requests.with_label_values(&["none", GRACE_OVER]).inc();
            Refusal::unknown_outcome(StatusCode::BAD_GATEWAY, GRACE_OVER).into_response()
        }
    }
}

async fn respond(
    shared: &Rc<Shared>,
    progress: &Progress,
    head: request::Parts,
    body: Incoming,
    arrived: Instant,
    in_flight: InFlightGuard,
) -> Response<Body> {
    match accept(shared, progress, head, body, arrived).await {
        Ok(call) => dispatch(shared, Rc::new(call), Attempts::default(), in_flight).await,
        Err((refusal, id)) => {
            log::info!(request = id.as_str(), status = refusal.status.as_u16(), reason = refusal.reason, waited_ms = elapsed_ms(arrived); "request refused");
            shared.metrics.requests.with_label_values(&["none", refusal.reason]).inc();
            refusal.into_response()
        }
    }
}

/// Sends the request to upstreams until one responds or it may not be retried; hands it to
/// another gateway if upstreams are out of reach. `attempts` are those made before.
pub(crate) async fn dispatch(
    shared: &Rc<Shared>,
    call: Rc<Call>,
    mut attempts: Attempts,
    in_flight: InFlightGuard,
) -> Response<Body> {
    let mut in_flight = Some(in_flight);
    let mut excluded: Excluded = attempts.reached.clone();
    let mut hand_overs = 0;
    let queue_ms = call.route.target_latency_ms as f64 * QUEUE_TIME_SHARE;
    let queue_until = (call.arrived + Duration::from_millis(queue_ms as u64)).min(call.until);
    let responded = loop {
        if hand_overs < MAX_HAND_OVERS && peer::is_preferred(shared, &call, &attempts) {
            hand_overs += 1;
            let handing_over = hand_over(shared, &call, &mut attempts, &mut in_flight);
            // Boxed, as connections reserve memory for the largest of all their futures.
            match Box::pin(handing_over).await {
                HandOver::Ended(responded) => break responded,
                HandOver::Repeat => continue,
                HandOver::NotTaken => {}
            }
        }
        let reservation = match place(shared, &call, &excluded, queue_until).await {
            Ok(reservation) => reservation,
            Err(refusal) => {
                attempts.refuse(refusal);
                // Upstreams that accept no connection from here may accept others.
                if attempts.unreachable() == 0 || call.from_peer || hand_overs >= MAX_HAND_OVERS {
                    break None;
                }
                let handing_over = hand_over(shared, &call, &mut attempts, &mut in_flight);
                match Box::pin(handing_over).await {
                    HandOver::Ended(responded) => break responded,
                    HandOver::Repeat | HandOver::NotTaken => break None,
                }
            }
        };
        let (target, sent) = (reservation.target.clone(), reservation.reserved_at());
        let upstream = target.id.clone();
        log_placement(shared, &call, &reservation);
        let ended = attempt(shared, &call, reservation, attempts.runs, &mut in_flight).await;
        let may_follow = match &ended {
            Attempt::Responded(_) | Attempt::Withdrawn(_) | Attempt::TimedOut => false,
            Attempt::Lost(_) => crashes::handle_break_off(shared, &call, &target, sent).await,
            Attempt::Rejected(_) => limits::may_send_rejected(shared, &upstream, attempts.sends),
            Attempt::Unreachable
            | Attempt::Evacuated
            | Attempt::Ambiguous(_)
            | Attempt::Failed(_) => true,
        };
        // A request that was not sent puts no load on any upstream.
        let needs_budget = !matches!(ended, Attempt::Unreachable | Attempt::Evacuated);
        if let Attempt::Responded(response) = ended {
            attempts.sends += 1;
            break Some((response, upstream));
        }
        attempts.record(&call, ended, &upstream);
        let in_budget = || !needs_budget || shared.try_retry(&call.requirements.service);
        if !may_follow || !attempts.may_go_on(&call) || !in_budget() {
            break None;
        }
        log::info!(request = call.head.id.as_str(), upstream = upstream.as_str(), sends = attempts.sends, runs = attempts.runs; "retrying request on another upstream");
        excluded.push(upstream);
    };
    let Attempts { sends, failed, error, .. } = attempts;
    // A response that an upstream gave takes precedence over errors of other attempts.
    let result = responded.or(failed).ok_or(error);
    finish(shared, &call, result.map_err(refusal_of), sends)
}

/// What follows after a call was handed to another gateway.
enum HandOver {
    /// The call has ended, with this response if there is one.
    Ended(Option<(Response<Body>, CompactString)>),
    /// The call may be handed on again.
    Repeat,
    /// No gateway took the call, and an upstream may be reached from here.
    NotTaken,
}

/// Hands a call to another gateway.
async fn hand_over(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    attempts: &mut Attempts,
    in_flight: &mut Option<InFlightGuard>,
) -> HandOver {
    match peer::forward(shared, call, attempts, in_flight).await {
        Forwarded::Responded(response, vm) => HandOver::Ended(Some((response, vm))),
        Forwarded::Lost => {
            attempts.record_lost("response of another gateway lost");
            let may_repeat =
                attempts.may_go_on(call) && shared.try_retry(&call.requirements.service);
            if may_repeat { HandOver::Repeat } else { HandOver::Ended(None) }
        }
        Forwarded::NotTaken if shared.is_cut_off() => {
            let reason = "upstreams out of reach";
            attempts.refuse(Refusal::unavailable(reason, RETRY_AFTER_NO_UPSTREAM));
            HandOver::Ended(None)
        }
        Forwarded::NotTaken => HandOver::NotTaken,
    }
}

/// Reserves a slot for a request, unless it is quarantined.
async fn place(
    shared: &Rc<Shared>,
    call: &Call,
    excluded: &Excluded,
    queue_until: Instant,
) -> Result<Reservation, Refusal> {
    quarantine::admit(shared, call).await?;
    let reservation =
        wait_for_slot(shared, call, call.origin.as_ref(), excluded, queue_until).await;
    let reservation = reservation.map_err(|reason| refuse_unplaced(call, reason))?;
    // It may have been quarantined while it waited.
    quarantine::admit(shared, call).await?;
    Ok(reservation)
}

/// Refuses a request for which no slot could be reserved.
fn refuse_unplaced(call: &Call, reason: ReserveError) -> Refusal {
    match reason {
        ReserveError::NoUpstream => Refusal::unavailable("no upstream", RETRY_AFTER_NO_UPSTREAM),
        ReserveError::Evacuated => Refusal::unavailable(EVACUATED, RETRY_AFTER_NO_UPSTREAM),
        ReserveError::VersionGone => {
            Refusal::unavailable("the stream's version is gone", RETRY_AFTER_LOST_STREAM)
        }
        ReserveError::Full | ReserveError::TooLarge => {
            Refusal::unavailable("upstreams full", call.retry_after_full())
        }
        ReserveError::Shed(served_after) => {
            let retry_after = call.retry_after_full().max(served_after.min(MAX_RETRY_AFTER_SHED));
            Refusal::unavailable("upstreams full", retry_after)
        }
        ReserveError::Limited(after) => Refusal::unavailable("upstreams limited", after),
    }
}

/// Returns the refusal that is true for all attempts.
fn refusal_of(error: RequestError<Refusal>) -> Refusal {
    let unknown = || Refusal::unknown_outcome(StatusCode::BAD_GATEWAY, "no attempt ended");
    error.take().unwrap_or_else(unknown)
}

fn log_placement(shared: &Shared, call: &Call, reservation: &Reservation) {
    if call.requirements.engine.is_none() {
        return;
    }
    let load = shared.loads.borrow().total(&reservation.target.id);
    log::info!(request = call.head.id.as_str(), upstream = reservation.target.id.as_str(), tokens = reservation.cache_tokens(), held_ms = elapsed_ms(call.arrived), due_in_ms = call.first_event_due.saturating_duration_since(Instant::now()).as_millis(), running = load.running, committed_tokens = load.committed_cache_tokens, unread_tokens = load.pending_prefill_tokens; "slot reserved for request");
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
    call.span.set_attribute("outcome", reason);
    let waited_ms = elapsed_ms(call.arrived);
    log::info!(request = call.head.id.as_str(), route = call.route.name.as_str(), service = call.requirements.service.as_str(), upstream = upstream.as_str(), sends, status = response.status().as_u16(), outcome = reason, waited_ms; "request answered");
    let service = call.requirements.service.as_str();
    shared.metrics.requests.with_label_values(&[service, reason]).inc();
    let seconds = call.arrived.elapsed().as_secs_f64();
    shared.metrics.latency.with_label_values(&[service]).observe(seconds);
    response
}

async fn attempt(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    reservation: Reservation,
    earlier_runs: u32,
    in_flight: &mut Option<InFlightGuard>,
) -> Attempt {
    let target = reservation.target.clone();
    let resume =
        call.head.last_event_id.map(|id| Resume { last_event_id: Some(id), kv_cache: None });
    let request = call.to_request(shared, &target, resume.as_ref());
    let mut cut_off = shared.cut_off.subscribe();
    let exchanged = tokio::select! {
        exchanged = exchange(shared, &call.span, &target, request, call.until) => exchanged,
        // Engines drop a request whose connection closes before they begin its answer.
        reason = quarantine::wait_for_quarantine(shared, call) => {
            log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(); "request withdrawn: upstreams crash under it");
            return Attempt::Withdrawn(reason);
        }
        () = peer::wait_for_better_place(shared, &mut cut_off), if call.may_repeat() => {
            log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(); "request abandoned: upstreams out of reach");
            return Attempt::Lost("upstreams out of reach");
        }
    };
    let response = match exchanged {
        Ok(response) => response,
        Err(error) => return handle_exchange_error(shared, call, &target, &error),
    };
    let head = shared.dialect.parse_response(&response.head);
    match check_response(&call.head.id, &head, response.head.status) {
        ResponseCheck::Valid => notices::apply(shared, &target, &head),
        ResponseCheck::Rejected => {
            if !head.misdirected {
                notices::apply(shared, &target, &head);
            } else {
                shared.registry.borrow_mut().mark_gone(&target.id, target.born_ms);
                shared.pool.close_all(&target.id);
            }
            log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), status = response.head.status.as_u16(); "upstream rejected the request without running it");
            return Attempt::Rejected("upstream full");
        }
        ResponseCheck::Mismatched => {
            record_failure(shared, &target, "answer of another request");
            return Attempt::Lost("upstream sent an answer that is not its own");
        }
    }
    if call.is_stream() && relay::is_event_stream(&response.head) {
        record_answer(shared, &target);
        return Attempt::Responded(relay::start(
            shared,
            call,
            response,
            reservation,
            earlier_runs,
            in_flight.take(),
        ));
    }
    let goes_on = call.is_stream() && call.head.last_event_id.is_some();
    if goes_on && response.head.status.is_success() {
        record_failure(shared, &target, "stream not continued");
        return Attempt::Lost("upstream did not go on with the stream");
    }
    buffer_response(shared, call, &target, response).await
}

/// Reads the complete body of a response that is not a stream.
async fn buffer_response(
    shared: &Shared,
    call: &Call,
    target: &Target,
    response: UpstreamResponse,
) -> Attempt {
    let UpstreamResponse { mut head, body, connection } = response;
    let mut memory = shared.buffers.reserve(BufferUse::Answer);
    let reading = read_whole(body, MAX_ANSWER_BYTES, &mut memory);
    let bytes = match timeout_at(call.until, reading).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), error = error.to_string().as_str(), buffered_bytes = shared.buffers.used_bytes(); "upstream response truncated");
            record_failure(shared, target, "answer broken off");
            return Attempt::Lost("upstream broke its answer off");
        }
        Err(_) => return Attempt::TimedOut,
    };
    shared.return_connection(target, connection);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    quarantine::record_answer(shared, &call.features);
    let status = head.status;
    if status.is_server_error() {
        record_failure(shared, target, "server error");
    } else {
        record_answer(shared, target);
    }
    if verdict::promises_not_run(status.as_u16()) {
        log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), status = status.as_u16(); "response withheld: its status promises that the request has not run, which the upstream does not state");
        return Attempt::Ambiguous("upstream did not state whether it ran the request");
    }
    let mut response = Response::new(buffered_body(bytes, memory));
    *response.status_mut() = status;
    *response.headers_mut() = head.headers;
    if status.is_server_error() {
        return Attempt::Failed(response);
    }
    Attempt::Responded(response)
}

fn handle_exchange_error(
    shared: &Shared,
    call: &Call,
    target: &Target,
    error: &ExchangeError,
) -> Attempt {
    let text = error.to_string();
    log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), error = text.as_str(); "request to upstream failed");
    match error {
        ExchangeError::NotSent(_) => {
            record_unreachable(shared, target);
            Attempt::Unreachable
        }
        ExchangeError::Evacuated => Attempt::Evacuated,
        ExchangeError::ConnectionLost(_) => {
            record_lost(shared, target);
            Attempt::Lost("upstream connection lost")
        }
        ExchangeError::NoAnswer(_) => {
            record_failure(shared, target, "no answer in the protocol");
            Attempt::Lost("upstream sent no answer in the protocol")
        }
        ExchangeError::TimedOut => {
            record_failure(shared, target, "timed out");
            Attempt::TimedOut
        }
    }
}
