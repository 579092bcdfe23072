//! Hands calls to other gateways.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{Response, response};
use lineage::Origin;
use rand::RngExt as _;
use schema::{ForwardRequest, Request, forward_reply, request};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};
use wire::{CallError, ReplyParts};

use super::hand_back::HandBack;
use super::known::{Asked, PeerUse};
use super::message::{Begun, to_head, to_request};
use crate::accept::Call;
use crate::answer::{Body, buffered_body};
use crate::attempts::Attempts;
use crate::buffering::{MAX_ANSWER_BYTES, ReadError, WholeBody};
use crate::guards::InFlightGuard;
use crate::reach;
use crate::relay;
use crate::shared::Shared;
use crate::state::{BufferReservation, BufferUse};
use crate::target::Target;

/// Longest wait for a connection to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a request in flight looks for another gateway.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Gateways that are asked to take one call.
const MAX_ASKED: usize = 3;
/// Unreachable upstreams after which a call is handed to another gateway.
const MAX_UNREACHABLE: u32 = 2;

/// What became of a call that was handed to other gateways.
pub(crate) enum Forwarded {
    /// The response for the caller, and the VM of the gateway that gave it.
    Responded(Response<Body>, CompactString),
    /// The response was lost; the request may have run.
    Lost,
    /// No gateway took the call.
    NotTaken,
}

/// Returns whether a call is to be handed to another gateway before the next attempt here.
pub(crate) fn is_preferred(shared: &Shared, call: &Call, attempts: &Attempts) -> bool {
    if call.from_peer {
        return false;
    }
    let share = shared.reach.borrow().local_share();
    attempts.unreachable() >= MAX_UNREACHABLE || rand::rng().random::<f64>() >= share
}

/// Waits until upstreams are out of reach, so that a request that was just sent to one gets no
/// response, and another gateway may take it.
pub(crate) async fn wait_for_better_place(shared: &Shared, cut_off: &mut watch::Receiver<bool>) {
    let sent = Instant::now();
    loop {
        reach::broken_by_cut(cut_off, sent).await;
        // Boxed, as each connection of a caller reserves memory for all futures of a request.
        if Box::pin(shared.peers.choose(shared, &Asked::new())).await.is_some() {
            return;
        }
        sleep(PEER_POLL_INTERVAL).await;
    }
}

/// Hands a call to another gateway and waits for the head of the response, and for all of it
/// unless it is a stream.
pub(crate) async fn forward(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    attempts: &Attempts,
    in_flight: &mut Option<InFlightGuard>,
) -> Forwarded {
    let (head, body) = match send(shared, call, || to_request(call, attempts, None)).await {
        Sent::Responded(head, body) => (*head, body),
        Sent::Lost => return Forwarded::Lost,
        Sent::NotTaken => return Forwarded::NotTaken,
    };
    let vm = body.vm().clone();
    if call.is_stream() && relay::is_event_stream(&head) {
        let response = relay::start_from_peer(shared, call, head, body, in_flight.take());
        return Forwarded::Responded(response, vm);
    }
    let mut memory = shared.buffers.reserve(BufferUse::Answer);
    let read = timeout_at(call.until, body.read_whole(&mut memory)).await;
    let Ok(Ok(bytes)) = read else {
        log::info!(request = call.head.id.as_str(), peer = vm.as_str(); "response of another gateway broke off");
        return Forwarded::Lost;
    };
    Forwarded::Responded(Response::from_parts(head, buffered_body(bytes, memory)), vm)
}

/// What became of a stream that other gateways were to continue.
pub(crate) enum Continued {
    /// The rest of the stream.
    Stream(PeerBody),
    /// The outcome is unknown: the generation may have been stopped, or may run again.
    Unknown,
    /// No gateway took the stream.
    NotTaken,
}

/// Has another gateway continue a stream that has begun here; `source` is the engine that still
/// runs it, if it may not run again.
pub(crate) async fn continue_stream(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    attempts: &Attempts,
    source: Option<Target>,
    (last_event_id, events): (Option<u64>, u64),
    origin: &Origin,
) -> Continued {
    let begun = Begun { last_event_id, events, source };
    let message = || to_request(call, attempts, Some((&begun, origin)));
    match send(shared, call, message).await {
        Sent::Responded(head, body) if head.status.is_success() => Continued::Stream(body),
        Sent::Responded(..) | Sent::Lost => Continued::Unknown,
        Sent::NotTaken => Continued::NotTaken,
    }
}

enum Sent {
    Responded(Box<response::Parts>, PeerBody),
    Lost,
    NotTaken,
}

async fn send(shared: &Rc<Shared>, call: &Call, message: impl Fn() -> ForwardRequest) -> Sent {
    let mut asked = Asked::new();
    while asked.len() < MAX_ASKED
        && let Some(peer) = shared.peers.choose(shared, &asked).await
    {
        asked.push(peer.vm.clone());
        let span = shared.spans.start_client_span("forward", &call.span);
        let request = Request {
            traceparent: span.traceparent(),
            body: Some(request::Body::Forward(message())),
        };
        let serving = PeerUse::new(&peer);
        let (id, vm) = (call.head.id.as_str(), peer.vm.as_str());
        let parts = match peer.link.open(request, CONNECT_TIMEOUT).await {
            Ok(parts) => parts,
            Err(error) => {
                log::info!(request = id, peer = vm, error = error.to_string().as_str(); "request not handed to another gateway");
                peer.back_off();
                if matches!(error, CallError::Connect(_)) {
                    continue;
                }
                return Sent::Lost;
            }
        };
        let mut body = PeerBody { parts, serving };
        let first = timeout_at(call.until, body.parts.next()).await;
        match first.ok().flatten().and_then(|part| part.body) {
            Some(forward_reply::Body::NotTaken(reason)) => {
                log::info!(request = id, peer = vm, reason = reason.as_str(); "request not taken by another gateway");
                peer.back_off();
            }
            Some(forward_reply::Body::Head(head)) => {
                let Some(parts) = to_head(&head) else {
                    log::warn!(request = id, peer = vm, status = head.status; "malformed response of another gateway");
                    return Sent::Lost;
                };
                log::info!(request = id, peer = vm, status = head.status; "request served by another gateway");
                shared.metrics.forwarded.with_label_values(&["served"]).inc();
                return Sent::Responded(Box::new(parts), body);
            }
            _ => {
                log::info!(request = id, peer = vm; "no response from another gateway");
                span.set_error("no response".to_string());
                shared.metrics.forwarded.with_label_values(&["lost"]).inc();
                return Sent::Lost;
            }
        }
    }
    shared.metrics.forwarded.with_label_values(&["not taken"]).inc();
    Sent::NotTaken
}

/// Part of a response from another gateway.
#[derive(Debug)]
pub(crate) enum PeerPart {
    Data(Bytes),
    /// The other gateway is about to stop, and offers to hand the stream back.
    HandBack(HandBack),
    /// The response is complete.
    End,
    /// The connection was lost, or the other gateway broke the response off.
    Lost,
}

/// Body of a response from another gateway; dropping it cancels the request.
#[derive(Debug)]
pub(crate) struct PeerBody {
    parts: ReplyParts,
    serving: PeerUse,
}

impl PeerBody {
    /// Returns the VM of the gateway that serves the call.
    pub(crate) fn vm(&self) -> &CompactString {
        self.serving.vm()
    }

    /// Waits for the next part.
    pub(crate) async fn next(&mut self) -> PeerPart {
        match self.parts.next().await.and_then(|part| part.body) {
            Some(forward_reply::Body::Data(bytes)) => PeerPart::Data(bytes),
            Some(forward_reply::Body::End(_)) => PeerPart::End,
            Some(forward_reply::Body::HandBack(message)) => {
                HandBack::from_message(message).map_or(PeerPart::Lost, PeerPart::HandBack)
            }
            Some(forward_reply::Body::NotTaken(_) | forward_reply::Body::Head(_)) | None => {
                PeerPart::Lost
            }
        }
    }

    /// Reads the whole body.
    async fn read_whole(mut self, memory: &mut BufferReservation) -> Result<Bytes, ReadError> {
        let mut whole = WholeBody::new(None, MAX_ANSWER_BYTES, memory);
        loop {
            match self.next().await {
                PeerPart::Data(bytes) => whole.push(&bytes)?,
                PeerPart::HandBack(_) => {}
                PeerPart::End => return Ok(whole.finish()),
                PeerPart::Lost => return Err(ReadError::LostByPeer),
            }
        }
    }
}
