//! Serves calls that other gateways hand on.

use std::rc::Rc;

use credentials::{Identity, Role};
use futures::future::BoxFuture;
use http::Response;
use http_body_util::BodyExt as _;
use schema::{
    EntryPhase, ErrorCode, ForwardReply, ForwardRequest, ForwardedEnd, ForwardedHead, Reply,
    Request, forward_reply,
};
use tokio::sync::mpsc;
use wire::{CallError, ReplySender, error_reply};

use super::hand_back::HandBack;
use super::message::{Begun, to_call, to_messages};
use crate::accept::Call;
use crate::answer::Body;
use crate::attempts::Attempts;
use crate::forward;
use crate::relay::{self, TakeOverError};
use crate::shared::Shared;

/// Calls of other gateways that are served at once; further ones are not taken.
const MAX_CALLS: u32 = 512;

/// Largest call of another gateway, with its body.
const MAX_CALL_BYTES: usize = 32 << 20;

/// Call as another gateway handed it on.
pub(crate) struct IncomingCall {
    peer: Identity,
    traceparent: String,
    request: ForwardRequest,
    replies: ReplySender,
}

/// Passes calls from the connections of other gateways to [`serve_calls`].
pub(crate) struct PeerService {
    calls: mpsc::UnboundedSender<IncomingCall>,
}

impl PeerService {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<IncomingCall>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        (PeerService { calls }, receiver)
    }
}

impl wire::Handler for PeerService {
    fn max_request_bytes(&self, peer: &Identity) -> usize {
        if peer.role == Role::Entry { MAX_CALL_BYTES } else { 0 }
    }

    fn handle(&self, peer: Identity, _: Request) -> BoxFuture<'static, Reply> {
        log::warn!(peer = peer.to_string().as_str(); "request refused: gateways only take calls of gateways");
        let reply = error_reply(ErrorCode::Forbidden, "gateways only take calls of gateways");
        Box::pin(std::future::ready(reply))
    }

    fn handle_forward(
        &self,
        peer: Identity,
        traceparent: String,
        request: ForwardRequest,
        replies: ReplySender,
    ) -> BoxFuture<'static, ()> {
        // Fails only while the process stops; the connection closes then.
        let _ = self.calls.send(IncomingCall { peer, traceparent, request, replies });
        Box::pin(std::future::ready(()))
    }
}

/// Serves calls until the endpoint is closed.
pub(crate) async fn serve_calls(
    shared: Rc<Shared>,
    mut calls: mpsc::UnboundedReceiver<IncomingCall>,
) {
    while let Some(incoming) = calls.recv().await {
        actix_rt::spawn(serve_call(shared.clone(), incoming));
    }
}

async fn serve_call(shared: Rc<Shared>, incoming: IncomingCall) {
    let IncomingCall { peer, traceparent, request, mut replies } = incoming;
    let takes_back = request.takes_back;
    let taken = match reason_not_to_take(&shared, &peer) {
        Some(reason) => Err(reason.to_string()),
        None => {
            let reached = request.excluded.iter().map(|id| id.as_str().into()).collect();
            let sent = Attempts::from_peer(request.runs, request.sends, reached);
            let call = to_call(&shared, &traceparent, request);
            call.map(|(call, begun)| (Rc::new(call), begun, sent)).map_err(|e| e.to_string())
        }
    };
    let (call, begun, attempts) = match taken {
        Ok(taken) => taken,
        Err(reason) => {
            log::info!(peer = peer.to_string().as_str(), reason = reason.as_str(); "call of another gateway not taken");
            send(&mut replies, forward_reply::Body::NotTaken(reason)).await;
            return;
        }
    };
    log::info!(request = call.head.id.as_str(), peer = peer.name.as_str(), begun = begun.is_some(); "call of another gateway taken");
    let _counted = CallGuard::new(&shared);
    let response = tokio::select! {
        response = respond(&shared, &call, attempts, begun) => response,
        () = replies.cancelled() => {
            log::info!(request = call.head.id.as_str(); "call of another gateway cancelled");
            return;
        }
    };
    match response {
        Ok(response) => {
            write_response(&shared, &call, response, &mut replies, takes_back).await;
        }
        Err(TakeOverError::NotSent) => {
            let reason = "the stream cannot continue".to_string();
            send(&mut replies, forward_reply::Body::NotTaken(reason)).await;
        }
        // A reply without a head says that the outcome is unknown.
        Err(TakeOverError::Unknown) => {
            log::info!(request = call.head.id.as_str(), peer = peer.name.as_str(); "stream of another gateway not continued");
        }
    }
    // A gateway that stops closes its connections once no call is left.
    replies.finish().await;
}

async fn respond(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    attempts: Attempts,
    begun: Option<Begun>,
) -> Result<Response<Body>, TakeOverError> {
    let in_flight = shared.track_in_flight();
    match begun {
        None => {
            let serving = forward::dispatch(shared, call.clone(), attempts, in_flight);
            let id = || call.head.id.clone();
            Ok(forward::answer_within_grace(shared, call.arrived, serving, id).await)
        }
        Some(begun) => relay::take_over(shared, call, begun, attempts.runs, in_flight).await,
    }
}

fn reason_not_to_take(shared: &Shared, peer: &Identity) -> Option<&'static str> {
    if peer.role != Role::Entry {
        return Some("not a gateway");
    }
    if *shared.phase.borrow() != EntryPhase::Ready {
        return Some("not ready");
    }
    if shared.is_cut_off() {
        return Some("upstreams out of reach");
    }
    (shared.peer_calls.get() >= MAX_CALLS).then_some("too many calls")
}

async fn write_response(
    shared: &Shared,
    call: &Call,
    response: Response<Body>,
    replies: &mut ReplySender,
    takes_back: bool,
) {
    let (head, mut body) = response.into_parts();
    let head = ForwardedHead {
        status: u32::from(head.status.as_u16()),
        headers: to_messages(&head.headers),
    };
    if !send(replies, forward_reply::Body::Head(head)).await {
        return;
    }
    let mut offered: Option<HandBack> = None;
    loop {
        let frame = tokio::select! {
            biased;
            hand_back = call.hand_back.next(shared, offered.as_ref()), if takes_back => {
                log::info!(request = call.head.id.as_str(), upstream = hand_back.source.id.as_str(); "stream offered back to the gateway at which it began");
                let message = forward_reply::Body::HandBack(hand_back.to_message());
                if !send(replies, message).await {
                    return;
                }
                offered = Some(hand_back);
                continue;
            }
            frame = body.frame() => frame,
            () = replies.cancelled() => {
                log::info!(request = call.head.id.as_str(); "call of another gateway cancelled");
                return;
            }
        };
        let part = match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => forward_reply::Body::Data(bytes),
                Err(_) => continue,
            },
            // Without its end, the other gateway takes the response for truncated.
            Some(Err(_)) => return,
            None => {
                send(replies, forward_reply::Body::End(ForwardedEnd {})).await;
                return;
            }
        };
        if !send(replies, part).await {
            return;
        }
    }
}

/// Sends a part; returns whether the peer still reads.
async fn send(replies: &mut ReplySender, body: forward_reply::Body) -> bool {
    let sent: Result<(), CallError> = replies.send(&ForwardReply { body: Some(body) }).await;
    if let Err(error) = &sent {
        log::info!(error = error.to_string().as_str(); "response not sent to another gateway");
    }
    sent.is_ok()
}

/// Counts a call of another gateway until dropped.
struct CallGuard(Rc<Shared>);

impl CallGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.peer_calls.set(shared.peer_calls.get() + 1);
        CallGuard(shared.clone())
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.peer_calls.set(self.0.peer_calls.get() - 1);
    }
}
