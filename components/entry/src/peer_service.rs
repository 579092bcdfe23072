//! Server for requests from other entries.

use std::sync::Arc;

use actix::Addr;
use clock::Clock;
use credentials::{Identity, Role};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use schema::{ConfirmReply, ErrorCode, Reply, Request, reply, request};
use telemetry::Spans;
use tokio::sync::watch;
use wire::{Handler, error_reply};

use crate::broker::{Broker, PeerRequest};
use crate::view::View;

/// Handles requests from other entries.
pub(crate) struct PeerService {
    pub(crate) broker: Addr<Broker>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) clock: Clock,
    pub(crate) spans: Spans,
}

impl PeerService {
    fn confirm(&self) -> Reply {
        let view = self.view.borrow().clone();
        let confirm = ConfirmReply {
            revision: view.catalog.revision(),
            confirmed_age_ms: self.clock.now_ms().saturating_sub(view.confirmed_ms),
        };
        Reply { body: Some(reply::Body::Confirm(confirm)) }
    }
}

impl Handler for PeerService {
    fn handle(&self, peer: Identity, request: Request) -> BoxFuture<'static, Reply> {
        let Some(body) = request.body else {
            return ready(error_reply(ErrorCode::Invalid, "the request has no body"));
        };
        if peer.role != Role::Entry {
            let message = format!("{peer} may not send requests to entries");
            log::warn!(peer = peer.to_string().as_str(); "request refused: wrong role");
            return ready(error_reply(ErrorCode::Forbidden, message));
        }
        if matches!(body, request::Body::Confirm(_)) {
            return ready(self.confirm());
        }
        let name = match &body {
            request::Body::Credit(_) => "credit",
            request::Body::Announce(_) => "announce",
            _ => "peer",
        };
        let span = self.spans.start_server_span(name, &request.traceparent);
        let pending_reply = self.broker.send(PeerRequest(peer, body));
        async move {
            let reply = pending_reply.await;
            drop(span);
            reply.unwrap_or_else(|error| error_reply(ErrorCode::Overloaded, error.to_string()))
        }
        .boxed()
    }
}

fn ready(reply: Reply) -> BoxFuture<'static, Reply> {
    std::future::ready(reply).boxed()
}
