//! Requests from other entries.

use actix::{Context, Handler, Message};
use credentials::Identity;
use schema::{
    AnnounceReply, AnnounceRequest, DigestRequest, Empty, ErrorCode, LocateReply, Reply, reply,
    request,
};
use wire::error_reply;

use super::Broker;

/// Request from another entry.
#[derive(Message)]
#[rtype(result = "Reply")]
pub(crate) struct PeerRequest(pub(crate) Identity, pub(crate) request::Body);

impl Handler<PeerRequest> for Broker {
    type Result = actix::MessageResult<PeerRequest>;

    fn handle(&mut self, message: PeerRequest, context: &mut Context<Self>) -> Self::Result {
        let PeerRequest(peer, body) = message;
        let reply = self.handle_body(&peer, body);
        self.apply_effects(context);
        actix::MessageResult(reply)
    }
}

impl Broker {
    fn handle_body(&mut self, peer: &Identity, body: request::Body) -> Reply {
        use request::Body;
        let now_ms = self.clock.now_ms();
        match body {
            Body::Announce(announce) => self.handle_announcement(announce),
            Body::Credit(credit) => {
                match self.placer.handle_credit_request(peer.name.as_str(), &credit, now_ms) {
                    Some(reply) => to_reply(reply::Body::Credit(reply)),
                    None => {
                        error_reply(ErrorCode::NotOwner, "this entry grants no such credit now")
                    }
                }
            }
            Body::CreditRenew(renew) => {
                let reply = self.placer.handle_renewal(&renew, now_ms);
                to_reply(reply::Body::CreditRenew(reply))
            }
            Body::CreditRelease(release) => {
                self.placer.handle_release(&release, now_ms);
                to_reply(reply::Body::Empty(Empty {}))
            }
            Body::Digest(digest) => self.handle_digest(peer, digest),
            Body::Locate(locate) => {
                let digest = self.placer.own_digest(&locate.upstream);
                to_reply(reply::Body::Locate(LocateReply { digest }))
            }
            _ => error_reply(ErrorCode::Invalid, "entries take no such request"),
        }
    }

    fn handle_announcement(&mut self, announce: AnnounceRequest) -> Reply {
        if !self.owns(&announce.upstream) {
            return error_reply(ErrorCode::NotOwner, "another entry owns the upstream");
        }
        match self.placer.announce(announce, self.clock.now_ms()) {
            Ok(outcome) => to_reply(reply::Body::Announce(AnnounceReply {
                lease_ms: outcome.lease_ms,
                owner_http_address: outcome.owner_http_address.to_string(),
            })),
            Err(failure) => error_reply(ErrorCode::Overloaded, failure.message),
        }
    }

    fn handle_digest(&mut self, peer: &Identity, digest: DigestRequest) -> Reply {
        if digest.vm != peer.name.as_str() {
            return error_reply(ErrorCode::Forbidden, "an entry tells of its own upstreams only");
        }
        if self.placer.apply_digest(digest, self.clock.now_ms()) {
            return to_reply(reply::Body::Empty(Empty {}));
        }
        error_reply(ErrorCode::Invalid, "out of sequence; send the whole list")
    }

    pub(super) fn owns(&self, upstream: &str) -> bool {
        self.placer.owner_of(upstream).is_some_and(|owner| owner.vm == self.placer.vm())
    }
}

fn to_reply(body: reply::Body) -> Reply {
    Reply { body: Some(body) }
}
