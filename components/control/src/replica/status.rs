//! Status of the group and the entries, as known to this process, for operators.

use schema::{EntryMember, EntryStatus, LimitStatus, Reply, StatusReply, reply};

use super::Replica;

impl Replica {
    pub(super) fn status(&self) -> Reply {
        let now_ms = self.clock.now_ms();
        let entry = |member: &EntryMember| {
            let lease = self.leases.get(&member.vm).filter(|lease| lease.epoch == member.epoch);
            EntryStatus {
                member: Some(member.clone()),
                revision: lease.map_or(0, |lease| lease.revision),
                heartbeat_age_ms: lease.map_or(0, |l| now_ms.saturating_sub(l.renewed_ms)),
            }
        };
        let status = StatusReply {
            vm: self.config.vm.to_string(),
            replica_id: self.node.id(),
            role: self.node.role_name().to_string(),
            term: self.node.term(),
            leader_id: self.node.leader_id(),
            leader_address: self.leader_address(),
            commit: self.node.commit_index(),
            applied: self.node.applied_index(),
            snapshot_index: self.snapshot_index,
            last_index: self.node.last().index,
            configuration: Some(self.node.configuration().clone()),
            revision: self.state.current().0,
            records: self.state.records().len() as u64,
            entries: self.state.members().iter().map(entry).collect(),
            disk_error: self.disk_error.clone().unwrap_or_default(),
            limits: self.limit_statuses(),
            log_bytes: u64::try_from(self.metrics.log_bytes.get()).unwrap_or_default(),
        };
        Reply { body: Some(reply::Body::Status(status)) }
    }

    fn limit_statuses(&self) -> Vec<LimitStatus> {
        let limits = self.gateway_syncs.arbiter.limits().iter();
        let limits = limits.filter(|(_, observed, _)| observed.rate.is_some());
        let to_message = |(id, _, status): (&str, _, balance::LimitStatus)| LimitStatus {
            upstream: id.to_string(),
            per_second: status.per_second,
            granted: status.granted,
            refused: status.refused,
        };
        limits.map(to_message).collect()
    }

    pub(super) fn leader_address(&self) -> String {
        let leader_id = self.node.leader_id();
        let replicas = &self.node.configuration().replicas;
        let leader = replicas.iter().find(|replica| replica.id == leader_id);
        leader.map(|replica| replica.peer_address.clone()).unwrap_or_default()
    }
}
