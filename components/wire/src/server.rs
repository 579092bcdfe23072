//! Accepts connections and serves the requests and messages of peers.

use std::sync::Arc;

use bytes::Bytes;
use credentials::Identity;
use futures::future::BoxFuture;
use prost::Message as _;
use quinn::{Connection, ReadToEndError, RecvStream, SendStream, VarInt};
use rustls::pki_types::CertificateDer;
use schema::{
    ConsensusMessage, ErrorCode, ErrorReply, ForwardReply, ForwardRequest, Reply, Request,
    forward_reply, reply, request,
};
use tokio::sync::Semaphore;

use crate::kind::kind_of;
use crate::{MAX_MESSAGE_BYTES, ReplySender, frame, traffic};

/// Handles the requests and consensus messages of peer processes.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request and returns its reply.
    fn handle(&self, peer: Identity, request: Request) -> BoxFuture<'static, Reply>;

    /// Returns the largest request that is read from a peer.
    fn max_request_bytes(&self, peer: &Identity) -> usize {
        let _ = peer;
        MAX_MESSAGE_BYTES
    }

    /// Handles a request that another gateway forwards; by default it is not taken.
    fn handle_forward(
        &self,
        peer: Identity,
        traceparent: String,
        request: ForwardRequest,
        mut replies: ReplySender,
    ) -> BoxFuture<'static, ()> {
        let _ = (peer, traceparent, request);
        Box::pin(async move {
            let reason = "this process forwards no requests".to_string();
            let part = ForwardReply { body: Some(forward_reply::Body::NotTaken(reason)) };
            if let Err(error) = replies.send(&part).await {
                log::debug!(error = error.to_string().as_str(); "reply not sent");
            }
        })
    }

    /// Handles a consensus message, which has no reply; the default drops it.
    fn handle_message(&self, peer: &Identity, message: ConsensusMessage) {
        let _ = (peer, message);
    }
}

/// Builds an error reply.
///
/// ```
/// use schema::ErrorCode;
/// let reply = wire::error_reply(ErrorCode::Forbidden, "operators only");
/// assert!(matches!(reply.body, Some(schema::reply::Body::Error(_))));
/// ```
pub fn error_reply(code: ErrorCode, message: impl Into<String>) -> Reply {
    let error =
        ErrorReply { code: code.into(), message: message.into(), leader_address: String::new() };
    Reply { body: Some(reply::Body::Error(error)) }
}

/// Size of large replies that may be encoded and not acknowledged at once, for all
/// connections.
const REPLY_BUDGET_BYTES: usize = 16 << 20;
/// Error code of a stream whose request is too large.
const TOO_LARGE: VarInt = VarInt::from_u32(2);
/// Replies up to this size do not wait for the budget, so that bulk transfers do not delay
/// them.
const SMALL_REPLY_BYTES: usize = 16 << 10;

pub(crate) async fn serve(endpoint: &quinn::Endpoint, handler: Arc<impl Handler>) {
    let budget = Arc::new(Semaphore::new(REPLY_BUDGET_BYTES));
    while let Some(incoming) = endpoint.accept().await {
        let handler = handler.clone();
        let budget = budget.clone();
        let address = incoming.remote_address();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(connection, handler, budget).await,
                Err(error) => {
                    log::warn!(peer = address.to_string().as_str(), error = error.to_string().as_str(); "QUIC handshake with incoming peer failed");
                }
            }
        });
    }
}

async fn serve_connection(
    connection: Connection,
    handler: Arc<impl Handler>,
    budget: Arc<Semaphore>,
) {
    let address = connection.remote_address().to_string();
    let Some(identity) = peer_identity(&connection) else {
        log::warn!(peer = address.as_str(); "peer connection closed: certificate names no role");
        connection.close(1u8.into(), b"certificate names no role");
        return;
    };
    loop {
        tokio::select! {
            stream = connection.accept_bi() => {
                let Ok((send, receive)) = stream else { return };
                let (handler, budget) = (handler.clone(), budget.clone());
                tokio::spawn(serve_request(send, receive, identity.clone(), handler, budget));
            }
            stream = connection.accept_uni() => {
                let Ok(receive) = stream else { return };
                tokio::spawn(serve_messages(receive, identity.clone(), handler.clone()));
            }
        }
    }
}

async fn serve_request(
    mut send: SendStream,
    mut receive: RecvStream,
    peer: Identity,
    handler: Arc<impl Handler>,
    budget: Arc<Semaphore>,
) {
    let limit_bytes = handler.max_request_bytes(&peer);
    let bytes = match receive.read_to_end(limit_bytes).await {
        Ok(bytes) => bytes,
        Err(ReadToEndError::TooLong) => {
            log::warn!(peer = peer.to_string().as_str(), limit_bytes; "request of a peer is too large");
            // Fails only if the peer has closed the stream.
            let _ = send.reset(TOO_LARGE);
            return;
        }
        Err(error @ ReadToEndError::Read(_)) => {
            log::debug!(peer = peer.to_string().as_str(), error = error.to_string().as_str(); "request of a peer not received");
            return;
        }
    };
    let size = bytes.len();
    let request = Request::decode(Bytes::from(bytes));
    let kind = request.as_ref().map_or("none", kind_of);
    traffic::count_received(kind, size);
    let reply = match request {
        Ok(Request { traceparent, body: Some(request::Body::Forward(forward)) }) => {
            let replies = ReplySender::new(send);
            return handler.handle_forward(peer, traceparent, forward, replies).await;
        }
        Ok(request) => handler.handle(peer, request).await,
        Err(error) => error_reply(ErrorCode::Invalid, error.to_string()),
    };
    let size = reply.encoded_len();
    // Held until the peer has the reply or the connection is lost. The semaphore is never
    // closed.
    let reserved = match u32::try_from(size.min(REPLY_BUDGET_BYTES)) {
        Ok(permits) if size > SMALL_REPLY_BYTES => budget.acquire_many(permits).await.ok(),
        _ => None,
    };
    let bytes = Bytes::from(reply.encode_to_vec());
    drop(reply);
    traffic::count_sent(kind, bytes.len());
    let sent = send.write_chunk(bytes).await;
    if sent.is_ok() && send.finish().is_ok() && reserved.is_some() {
        let _ = send.stopped().await;
    }
}

async fn serve_messages(mut receive: RecvStream, peer: Identity, handler: Arc<impl Handler>) {
    while let Some(message) =
        frame::read::<ConsensusMessage>(&mut receive, traffic::CONSENSUS).await
    {
        handler.handle_message(&peer, message);
    }
}

fn peer_identity(connection: &Connection) -> Option<Identity> {
    let certificates = connection.peer_identity()?;
    let certificates = certificates.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    credentials::identity_of(certificates.first()?)
}
