//! Plain upstreams and lookups of engines.

use std::time::Duration;

use actix::{Context, Handler, Message, ResponseFuture};
use compact_str::CompactString;
use routing::choose;
use schema::{LocateReply, LocateRequest, Reply, UpstreamKind, reply, request};
use smallvec::SmallVec;
use verdict::{Code, Failure};

use super::Broker;
use super::service::ServiceQueue;

const LOCATE_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks for a plain upstream of a service.
#[derive(Message)]
#[rtype(result = "Result<PlainPlacement, Failure>")]
pub(crate) struct PickPlain {
    pub(crate) service: CompactString,
    pub(crate) exclude: SmallVec<[CompactString; 2]>,
}

/// Plain upstream for one call.
#[derive(Clone, Debug)]
pub(crate) struct PlainPlacement {
    pub(crate) upstream: CompactString,
    pub(crate) address: CompactString,
}

impl Handler<PickPlain> for Broker {
    type Result = Result<PlainPlacement, Failure>;

    fn handle(&mut self, pick: PickPlain, _: &mut Context<Self>) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let needs = [pick.service.as_str()];
        let candidates = self.directory.candidates(UpstreamKind::Plain, &needs, now_ms);
        let candidates = candidates.filter(|known| {
            !pick.exclude.iter().any(|excluded| *excluded == known.digest.upstream)
        });
        let data_centre = self.config.data_centre.as_str();
        let choice = choose(candidates, None, data_centre, &mut self.rng).into_iter().next();
        let choice = choice.ok_or_else(|| {
            let message = format!("no upstream serves `{}` now", pick.service);
            Failure::not_run(Code::NoUpstream, message).retry_after_ms(1_000)
        })?;
        self.directory.started(&choice.upstream);
        if pick.exclude.is_empty() {
            self.service_queue(&pick.service).retries.earn();
        }
        Ok(PlainPlacement { upstream: choice.upstream, address: choice.address })
    }
}

/// Ends a call to a plain upstream.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct EndPlain(pub(crate) CompactString);

impl Handler<EndPlain> for Broker {
    type Result = ();

    fn handle(&mut self, EndPlain(upstream): EndPlain, _: &mut Context<Self>) {
        self.directory.ended(&upstream);
    }
}

/// Asks whether a request of a service may be retried.
#[derive(Message)]
#[rtype(result = "bool")]
pub(crate) struct SpendRetry {
    pub(crate) service: CompactString,
    pub(crate) reason: &'static str,
}

impl Handler<SpendRetry> for Broker {
    type Result = bool;

    fn handle(&mut self, spend: SpendRetry, _: &mut Context<Self>) -> bool {
        let allowed = self.service_queue(&spend.service).retries.try_spend();
        if allowed {
            self.metrics.retries.with_label_values(&[spend.reason]).inc();
        }
        allowed
    }
}

/// Asks where an engine takes requests, whether or not it takes new work.
#[derive(Message)]
#[rtype(result = "Option<CompactString>")]
pub(crate) struct Locate(pub(crate) CompactString);

impl Handler<Locate> for Broker {
    type Result = ResponseFuture<Option<CompactString>>;

    fn handle(&mut self, Locate(upstream): Locate, _: &mut Context<Self>) -> Self::Result {
        let known = self.directory.get(&upstream);
        if let Some(address) = known.map(|known| known.digest.address.as_str().into()) {
            return Box::pin(std::future::ready(Some(address)));
        }
        let owner = routing::owner(&self.view.members, &upstream).cloned();
        let Some(owner) = owner.filter(|owner| owner.vm != self.vm()) else {
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

impl Broker {
    fn service_queue(&mut self, service: &CompactString) -> &mut ServiceQueue {
        let limit = self.config.limits.max_waiting as usize;
        self.queues.entry(service.clone()).or_insert_with(|| ServiceQueue::new(limit))
    }

    pub(super) fn answer_locate(&self, locate: &LocateRequest) -> Reply {
        let digest = self.own_digest(&locate.upstream);
        Reply { body: Some(reply::Body::Locate(LocateReply { digest })) }
    }
}
