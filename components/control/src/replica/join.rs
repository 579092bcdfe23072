//! How a process with an empty data folder asks the group to take it in.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{Context, Handler, Message};
use schema::{JoinRequest, Replica as Member, Request, reply, request};

use super::Replica;

const JOIN_INTERVAL_MS: u64 = 500;
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the attempt to join.
#[derive(Debug, Default)]
pub(crate) struct Joiner {
    next_attempt_ms: u64,
    addresses: HashMap<u64, SocketAddr>,
}

impl Joiner {
    pub(crate) fn address_of(&self, replica_id: u64) -> Option<SocketAddr> {
        self.addresses.get(&replica_id).copied()
    }
}

/// Tells where the members of the group listen.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Learned(Vec<Member>);

impl Handler<Learned> for Replica {
    type Result = ();

    fn handle(&mut self, Learned(members): Learned, _: &mut Context<Self>) {
        let address = |member: &Member| Some((member.id, member.peer_address.parse().ok()?));
        self.joiner.addresses.extend(members.iter().filter_map(address));
    }
}

impl Replica {
    /// Asks all control processes to take this one in while it has no log.
    ///
    /// A replica that has a log but was removed does not ask again: whoever
    /// removed it wanted it out.
    pub(super) fn join_if_new(&mut self, now_ms: u64) {
        if self.node.is_initialised() || now_ms < self.joiner.next_attempt_ms {
            return;
        }
        self.joiner.next_attempt_ms = now_ms + JOIN_INTERVAL_MS;
        for address in self.config.control_addresses.clone() {
            if address == self.config.advertised_peer_address {
                continue;
            }
            let link = self.link(address);
            let body = request::Body::Join(JoinRequest { replica: Some(self.as_member()) });
            let request = Request { traceparent: String::new(), body: Some(body) };
            let replica = self.address.clone();
            actix_rt::spawn(async move {
                // A refusal is retried at the next attempt.
                if let Ok(reply::Body::Join(join)) = link.call(request, JOIN_TIMEOUT).await
                    && let (Some(replica), Some(group)) = (replica, join.configuration)
                {
                    replica.do_send(Learned(group.replicas));
                }
            });
        }
    }

    pub(super) fn as_member(&self) -> Member {
        Member {
            id: self.node.id(),
            vm: self.config.vm.to_string(),
            peer_address: self.config.advertised_peer_address.to_string(),
            voter: false,
        }
    }
}
