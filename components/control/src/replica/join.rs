//! Joining the control group: how a process that is not a member, such as one
//! with an empty data folder, asks to become one.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use actix::{Context, Handler, Message};
use schema::{JoinRequest, Replica as ReplicaInfo, Request, reply, request};

use wire::CallError;

use super::Replica;

const JOIN_INTERVAL_MS: u64 = 500;
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a leader after which a replica assumes that it may have been
/// removed from the group; longer than an election takes.
const LEADERLESS_TIMEOUT_MS: u64 = 2_000;

/// State of the attempts to join the group.
#[derive(Debug, Default)]
pub(crate) struct JoinState {
    next_attempt_ms: u64,
    leaderless_since_ms: Option<u64>,
    /// Peer addresses of the members, by replica id.
    addresses: HashMap<u64, SocketAddr>,
}

impl JoinState {
    pub(crate) fn address_of(&self, replica_id: u64) -> Option<SocketAddr> {
        self.addresses.get(&replica_id).copied()
    }
}

/// Members of the group, from the reply to a join request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct MembersDiscovered(Vec<ReplicaInfo>);

impl Handler<MembersDiscovered> for Replica {
    type Result = ();

    fn handle(&mut self, MembersDiscovered(members): MembersDiscovered, _: &mut Context<Self>) {
        let address = |member: &ReplicaInfo| Some((member.id, member.peer_address.parse().ok()?));
        self.join_state.addresses.extend(members.iter().filter_map(address));
    }
}

/// Peer address of the leader, from a refused join request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct LeaderDiscovered(SocketAddr);

impl Handler<LeaderDiscovered> for Replica {
    type Result = ();

    fn handle(&mut self, LeaderDiscovered(leader): LeaderDiscovered, _: &mut Context<Self>) {
        let known = self.config.control_addresses.contains(&leader)
            || self.join_state.addresses.values().any(|address| *address == leader);
        if !known && leader != self.config.advertised_peer_address {
            self.send_join_request(leader);
        }
    }
}

/// Replaces the seed addresses of the control processes.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct UpdateSeeds(pub(crate) Vec<SocketAddr>);

impl Handler<UpdateSeeds> for Replica {
    type Result = ();

    fn handle(&mut self, UpdateSeeds(addresses): UpdateSeeds, _: &mut Context<Self>) {
        self.config.control_addresses = addresses;
    }
}

impl Replica {
    /// Bootstraps the group at the first start of the whole system: the seed
    /// with the lowest address creates it, and all others join it.
    pub(super) fn bootstrap_at_first_start(&mut self, now_ms: u64) {
        let own_address = self.config.advertised_peer_address;
        let lowest = self.config.control_addresses.iter().min();
        if !self.config.first_start || self.node.is_initialised() || lowest != Some(&own_address) {
            return;
        }
        let member = self.own_replica_info();
        match self.node.bootstrap(now_ms, member) {
            Ok(()) => log::info!(replica = self.node.id(); "control group created"),
            Err(error) => {
                log::error!(error = error.to_string().as_str(); "cannot create the control group")
            }
        }
    }

    /// Sends join requests to all known control processes while this one has no log.
    /// Where the group replaces lost voters by itself (`tolerated_losses` > 0),
    /// also does so while no leader is known, as this replica may have been
    /// replaced while it was down or disconnected.
    pub(super) fn join_if_not_member(&mut self, now_ms: u64) {
        let has_leader = self.node.leader_id() != consensus::NO_REPLICA;
        if has_leader || !self.node.is_initialised() {
            self.join_state.leaderless_since_ms = None;
        }
        let since_ms = *self.join_state.leaderless_since_ms.get_or_insert(now_ms);
        let maybe_replaced = self.config.tolerated_losses > 0
            && !has_leader
            && now_ms.saturating_sub(since_ms) >= LEADERLESS_TIMEOUT_MS;
        let should_join = !self.node.is_initialised() || maybe_replaced;
        if !should_join || now_ms < self.join_state.next_attempt_ms {
            return;
        }
        self.join_state.next_attempt_ms = now_ms + JOIN_INTERVAL_MS;
        let members = self.node.configuration().replicas.iter();
        let mut addresses: BTreeSet<SocketAddr> =
            members.filter_map(|replica| replica.peer_address.parse().ok()).collect();
        addresses.extend(&self.config.control_addresses);
        addresses.extend(self.join_state.addresses.values());
        addresses.remove(&self.config.advertised_peer_address);
        for address in addresses {
            self.send_join_request(address);
        }
    }

    fn send_join_request(&mut self, address: SocketAddr) {
        let link = self.link(address);
        let body = request::Body::Join(JoinRequest { replica: Some(self.own_replica_info()) });
        let request = Request { traceparent: String::new(), body: Some(body) };
        let Some(replica) = self.actor_address.clone() else { return };
        actix_rt::spawn(async move {
            match link.call(request, JOIN_TIMEOUT).await {
                Ok(reply::Body::Join(join)) => {
                    let configuration = join.configuration.unwrap_or_default();
                    replica.do_send(MembersDiscovered(configuration.replicas));
                }
                Err(CallError::Refused(error)) => {
                    // The leader may be a process whose address is not known here yet.
                    if let Ok(leader) = error.leader_address.parse() {
                        replica.do_send(LeaderDiscovered(leader));
                    }
                }
                // Retried after `JOIN_INTERVAL_MS`.
                Ok(_) | Err(_) => {}
            }
        });
    }

    pub(super) fn own_replica_info(&self) -> ReplicaInfo {
        ReplicaInfo {
            id: self.node.id(),
            vm: self.config.vm.to_string(),
            peer_address: self.config.advertised_peer_address.to_string(),
            voter: false,
        }
    }
}
