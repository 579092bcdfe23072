//! Messages from the other parts of the entry.

use std::time::Duration;

use actix::{Context, Handler, Message, ResponseFuture};
use compact_str::CompactString;
use placement::{AnnounceOutcome, Placement, PlacementRequest, PlainPlacement, Release};
use schema::{AnnounceRequest, LocateReply, LocateRequest, reply, request};
use smallvec::SmallVec;
use tokio::sync::oneshot;
use verdict::{Code, Failure};

use super::{Broker, QueuedRequest};
use crate::view::Mode;

const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);
const LOCATE_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_AFTER_MS: u64 = 500;

/// Requests a placement on an engine; waits in the queue until one has capacity
/// or the request is refused.
#[derive(Message)]
#[rtype(result = "Result<Placement, Failure>")]
pub(crate) struct RequestPlacement {
    pub(crate) request: PlacementRequest,
    pub(crate) traceparent: String,
}

impl Handler<RequestPlacement> for Broker {
    type Result = ResponseFuture<Result<Placement, Failure>>;

    fn handle(&mut self, message: RequestPlacement, context: &mut Context<Self>) -> Self::Result {
        let RequestPlacement { request, traceparent } = message;
        let service = request.service.clone();
        let ticket = match self.placer.enqueue(request, self.clock.now_ms()) {
            Ok(ticket) => ticket,
            Err(failure) => return Box::pin(std::future::ready(Err(failure))),
        };
        let (result, receiver) = oneshot::channel();
        self.queued.insert(ticket, QueuedRequest { service, traceparent, result });
        self.apply_effects(context);
        Box::pin(async move {
            let stopping = || Failure::not_run(Code::Unavailable, "the entry is stopping");
            receiver.await.unwrap_or_else(|_| Err(stopping()))
        })
    }
}

/// Reports the number of tokens that a generation has produced so far.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ReportProgress {
    pub(crate) upstream: CompactString,
    pub(crate) credit: u64,
    pub(crate) output_tokens: u64,
}

impl Handler<ReportProgress> for Broker {
    type Result = ();

    fn handle(&mut self, progress: ReportProgress, _: &mut Context<Self>) {
        let ReportProgress { upstream, credit, output_tokens } = progress;
        self.placer.record_progress(&upstream, credit, output_tokens);
    }
}

/// Releases the placement of a generation that has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ReleasePlacement(pub(crate) Release);

impl Handler<ReleasePlacement> for Broker {
    type Result = ();

    fn handle(&mut self, ReleasePlacement(release): ReleasePlacement, context: &mut Context<Self>) {
        self.placer.release(release, self.clock.now_ms());
        self.apply_effects(context);
    }
}

/// Selects a plain upstream of a service.
#[derive(Message)]
#[rtype(result = "Result<PlainPlacement, Failure>")]
pub(crate) struct ChoosePlainUpstream {
    pub(crate) service: CompactString,
    pub(crate) excluded_upstreams: SmallVec<[CompactString; 2]>,
}

impl Handler<ChoosePlainUpstream> for Broker {
    type Result = Result<PlainPlacement, Failure>;

    fn handle(&mut self, message: ChoosePlainUpstream, _: &mut Context<Self>) -> Self::Result {
        self.placer.choose_plain(&message.service, &message.excluded_upstreams, self.clock.now_ms())
    }
}

/// Ends a call to a plain upstream.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct EndPlainCall(pub(crate) CompactString);

impl Handler<EndPlainCall> for Broker {
    type Result = ();

    fn handle(&mut self, EndPlainCall(upstream): EndPlainCall, _: &mut Context<Self>) {
        self.placer.end_plain(&upstream);
    }
}

/// Takes one retry from the retry budget of a service; `false` if it is empty.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct SpendRetryBudget {
    pub(crate) service: CompactString,
    pub(crate) reason: &'static str,
}

impl Handler<SpendRetryBudget> for Broker {
    type Result = bool;

    fn handle(&mut self, spend: SpendRetryBudget, _: &mut Context<Self>) -> bool {
        let allowed = self.placer.try_retry(&spend.service);
        if allowed {
            self.metrics.retries.with_label_values(&[spend.reason]).inc();
        }
        allowed
    }
}

/// Returns the address of an engine, even if the engine accepts no new requests.
#[derive(Message)]
#[rtype(result = "Option<CompactString>")]
pub(crate) struct LocateUpstream(pub(crate) CompactString);

impl Handler<LocateUpstream> for Broker {
    type Result = ResponseFuture<Option<CompactString>>;

    fn handle(
        &mut self,
        LocateUpstream(upstream): LocateUpstream,
        _: &mut Context<Self>,
    ) -> Self::Result {
        if let Some(address) = self.placer.address_of(&upstream) {
            return Box::pin(std::future::ready(Some(address)));
        }
        let Some(owner) = self.placer.owner_of(&upstream).cloned() else {
            return Box::pin(std::future::ready(None));
        };
        let peers = self.peers.clone();
        Box::pin(async move {
            let body = request::Body::Locate(LocateRequest { upstream: upstream.to_string() });
            match peers.call(&owner, body, String::new(), LOCATE_TIMEOUT).await {
                Ok(reply::Body::Locate(LocateReply { digest: Some(digest) })) => {
                    Some(digest.address.into())
                }
                Ok(_) | Err(_) => None,
            }
        })
    }
}

/// Announcement of an upstream, received over HTTP.
#[derive(Message)]
#[rtype(result = "Result<AnnounceOutcome, Failure>")]
pub(crate) struct AnnounceUpstream(pub(crate) AnnounceRequest);

impl Handler<AnnounceUpstream> for Broker {
    type Result = ResponseFuture<Result<AnnounceOutcome, Failure>>;

    fn handle(&mut self, message: AnnounceUpstream, context: &mut Context<Self>) -> Self::Result {
        let AnnounceUpstream(announce) = message;
        let owner = self.placer.owner_of(&announce.upstream).cloned();
        let Some(owner) = owner.filter(|_| self.mode != Mode::Unconfirmed) else {
            let message = "this entry does not know the membership now; announce at another one";
            return Box::pin(std::future::ready(Err(unavailable(message))));
        };
        if self.owns(&announce.upstream) {
            let outcome = self.placer.announce(announce, self.clock.now_ms());
            self.apply_effects(context);
            return Box::pin(std::future::ready(outcome));
        }
        let peers = self.peers.clone();
        Box::pin(async move {
            let body = request::Body::Announce(announce);
            match peers.call(&owner, body, String::new(), FORWARD_TIMEOUT).await {
                Ok(reply::Body::Announce(reply)) => Ok(AnnounceOutcome {
                    lease_ms: reply.lease_ms,
                    owner_http_address: reply.owner_http_address.into(),
                }),
                Ok(_) | Err(_) => {
                    Err(unavailable(format!("the owner {} cannot be reached now", owner.vm)))
                }
            }
        })
    }
}

fn unavailable(message: impl Into<String>) -> Failure {
    Failure::not_run(Code::Unavailable, message).retry_after_ms(RETRY_AFTER_MS)
}
