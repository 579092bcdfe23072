//! One request of a caller, from its arrival to its answer.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use schema::EntryPhase;
use tokio::time::{Instant, timeout_at};

use crate::accept::{Call, RETRY_NO_UPSTREAM, accept};
use crate::answer::{Body, Refusal, full, strip_hop_by_hop};
use crate::dialect::{AnswerHead, Resume};
use crate::exchange::{Failure, Reply, Target, exchange};
use crate::place::{Excluded, NoPlace, Place, wait_for_place};
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
        let place = match wait_for_place(shared, &call, &excluded, hold_until).await {
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
        let may_run_again = |runs| may_send && call.may_repeat() && runs < call.route.max_attempts;
        let (again, last) = match attempt {
            Attempt::Answered(response) => break Ok((response, upstream)),
            Attempt::TurnedDown(reason) => {
                (may_send, Err(Refusal::unavailable(reason, call.retry_when_full())))
            }
            Attempt::Failed(response) => {
                runs += 1;
                (may_run_again(runs), Ok((response, upstream.clone())))
            }
            Attempt::Lost(reason) => {
                runs += 1;
                (may_run_again(runs), Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason)))
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
    call.span.set("outcome", reason);
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
    let reply = match exchange(shared, &call.span, &target, request, call.until).await {
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
    shared.keep_connection(target, connection);
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
            note_unreachable(shared, target);
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

pub(crate) fn note_unreachable(shared: &Shared, target: &Target) {
    let now_ms = shared.now_ms();
    let ejected_ms = shared.health.borrow_mut().unreachable(&target.id, now_ms);
    log_ejection(target, ejected_ms, "unreachable");
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
