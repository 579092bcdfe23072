//! How a process with an empty data folder asks the group to take it in.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use actix::{Context, Handler, Message};
use schema::{JoinRequest, Replica as Member, Request, reply, request};

use wire::CallError;

use super::Replica;

const JOIN_INTERVAL_MS: u64 = 500;
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a leader after which a replica may have been replaced; longer
/// than an election takes.
const LEADERLESS_MS: u64 = 2_000;

/// State of the attempt to join.
#[derive(Debug, Default)]
pub(crate) struct Joiner {
    next_attempt_ms: u64,
    leaderless_since_ms: Option<u64>,
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

/// Tells where the leader listens.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct LearnedLeader(SocketAddr);

impl Handler<LearnedLeader> for Replica {
    type Result = ();

    fn handle(&mut self, LearnedLeader(leader): LearnedLeader, _: &mut Context<Self>) {
        let known = self.config.control_addresses.contains(&leader)
            || self.joiner.addresses.values().any(|address| *address == leader);
        if !known && leader != self.config.advertised_peer_address {
            self.ask_to_join(leader);
        }
    }
}

/// Tells other control VMs to begin with.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Reload(pub(crate) Vec<SocketAddr>);

impl Handler<Reload> for Replica {
    type Result = ();

    fn handle(&mut self, Reload(addresses): Reload, _: &mut Context<Self>) {
        self.config.control_addresses = addresses;
    }
}

impl Replica {
    /// Creates the group at the first start of the whole system: the seed with
    /// the lowest address does, and all others join it.
    pub(super) fn form_group(&mut self, now_ms: u64) {
        let here = self.config.advertised_peer_address;
        let lowest = self.config.control_addresses.iter().min();
        if !self.config.first_start || self.node.is_initialised() || lowest != Some(&here) {
            return;
        }
        let member = self.as_member();
        match self.node.bootstrap(now_ms, member) {
            Ok(()) => log::info!(replica = self.node.id(); "group created"),
            Err(error) => {
                log::error!(error = error.to_string().as_str(); "cannot create the group")
            }
        }
    }

    /// Asks all control processes to take this one in while it has no log or,
    /// where the group keeps its voters by itself, hears no leader: it may
    /// have been replaced while it was away.
    pub(super) fn join_if_outside(&mut self, now_ms: u64) {
        let has_leader = self.node.leader_id() != consensus::NO_REPLICA;
        if has_leader || !self.node.is_initialised() {
            self.joiner.leaderless_since_ms = None;
        }
        let since_ms = *self.joiner.leaderless_since_ms.get_or_insert(now_ms);
        let replaced = self.config.tolerated_losses > 0
            && !has_leader
            && now_ms.saturating_sub(since_ms) >= LEADERLESS_MS;
        let outside = !self.node.is_initialised() || replaced;
        if !outside || now_ms < self.joiner.next_attempt_ms {
            return;
        }
        self.joiner.next_attempt_ms = now_ms + JOIN_INTERVAL_MS;
        let known = self.node.configuration().replicas.iter();
        let mut addresses: BTreeSet<SocketAddr> =
            known.filter_map(|replica| replica.peer_address.parse().ok()).collect();
        addresses.extend(&self.config.control_addresses);
        addresses.extend(self.joiner.addresses.values());
        addresses.remove(&self.config.advertised_peer_address);
        for address in addresses {
            self.ask_to_join(address);
        }
    }

    fn ask_to_join(&mut self, address: SocketAddr) {
        let link = self.link(address);
        let body = request::Body::Join(JoinRequest { replica: Some(self.as_member()) });
        let request = Request { traceparent: String::new(), body: Some(body) };
        let Some(replica) = self.address.clone() else { return };
        actix_rt::spawn(async move {
            match link.call(request, JOIN_TIMEOUT).await {
                Ok(reply::Body::Join(join)) => {
                    let group = join.configuration.unwrap_or_default();
                    replica.do_send(Learned(group.replicas));
                }
                Err(CallError::Refused(error)) => {
                    // The leader may be none of the processes that are known here.
                    if let Ok(leader) = error.leader_address.parse() {
                        replica.do_send(LearnedLeader(leader));
                    }
                }
                // Tried again at the next interval.
                Ok(_) | Err(_) => {}
            }
        });
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
