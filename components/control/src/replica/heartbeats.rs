//! Heartbeats of entries: renew their leases and return what changed.

use std::collections::HashMap;

use actix::ResponseFuture;
use credentials::Identity;
use schema::{
    EntryMember, ErrorCode, HeartbeatReply, HeartbeatRequest, LeaveRequest, RegisterEntry,
    RemoveEntry, Reply, SetDelta, command, reply,
};
use wire::error_reply;

use super::Replica;
use super::requests::ready;

/// Deltas to the current revision, by base revision.
#[derive(Debug, Default)]
pub(super) struct SetDeltaCache {
    revision: u64,
    by_base: HashMap<u64, SetDelta>,
}

impl Replica {
    pub(super) fn heartbeat(
        &mut self,
        peer: &Identity,
        heartbeat: HeartbeatRequest,
    ) -> ResponseFuture<Reply> {
        let member = heartbeat.member.clone().unwrap_or_default();
        if member.vm != peer.name.as_str() {
            return ready(error_reply(ErrorCode::Forbidden, "an entry renews its own lease only"));
        }
        let now_ms = self.clock.now_ms();
        self.leases.renew(&member.vm, member.epoch, heartbeat.revision, now_ms);
        if self.state.members().get(&member.vm) != Some(&member) {
            return self.register(member);
        }
        self.linearizable_read(move |replica| replica.heartbeat_reply(&member, &heartbeat))
    }

    /// Adds or updates a member. The reply has the lease only; the next heartbeat
    /// gets the set and the members.
    fn register(&mut self, member: EntryMember) -> ResponseFuture<Reply> {
        log::info!(vm = member.vm.as_str(), epoch = member.epoch, leaving = member.leaving; "registering entry");
        let register = RegisterEntry { member: Some(member) };
        let committed = self.commit(command::Body::RegisterEntry(register));
        let lease_ms = self.config.timers.entry_lease_ms;
        Box::pin(async move {
            match committed.await.body {
                Some(reply::Body::Error(error)) => Reply { body: Some(reply::Body::Error(error)) },
                _ => heartbeat_to_reply(HeartbeatReply { lease_ms, ..HeartbeatReply::default() }),
            }
        })
    }

    fn heartbeat_reply(&self, member: &EntryMember, heartbeat: &HeartbeatRequest) -> Reply {
        if !self.state.members().contains(&member.vm, member.epoch) {
            return error_reply(ErrorCode::NotLeader, "the lease ended; register again");
        }
        let (revision, set) = self.state.current();
        let members_version = self.state.members().version();
        let newer = revision > heartbeat.revision;
        let delta = if newer { self.delta_from(heartbeat.revision) } else { None };
        let changed = members_version != heartbeat.members_version;
        let members = self.state.members().iter().filter(|_| changed);
        heartbeat_to_reply(HeartbeatReply {
            revision,
            set: set.filter(|_| newer && delta.is_none()).cloned(),
            delta,
            members_version,
            members: members.cloned().collect(),
            lease_ms: self.config.timers.entry_lease_ms,
        })
    }

    /// Returns the delta from `base_revision` to the current one, unless the base
    /// is no longer kept.
    fn delta_from(&self, base_revision: u64) -> Option<SetDelta> {
        let (revision, current) = self.state.current();
        let mut cache = self.set_deltas.borrow_mut();
        if cache.revision != revision {
            *cache = SetDeltaCache { revision, ..SetDeltaCache::default() };
        }
        if let Some(delta) = cache.by_base.get(&base_revision) {
            return Some(delta.clone());
        }
        let base = self.state.publications().get(base_revision)?.set.as_ref()?;
        let delta = objects::compute_delta(base_revision, base, current?);
        cache.by_base.insert(base_revision, delta.clone());
        Some(delta)
    }

    pub(super) fn leave(&mut self, peer: &Identity, leave: LeaveRequest) -> ResponseFuture<Reply> {
        if leave.vm != peer.name.as_str() {
            return ready(error_reply(ErrorCode::Forbidden, "an entry ends its own lease only"));
        }
        log::info!(vm = leave.vm.as_str(), epoch = leave.epoch; "entry leaving");
        let remove = RemoveEntry { vm: leave.vm, epoch: leave.epoch };
        self.commit(command::Body::RemoveEntry(remove))
    }
}

fn heartbeat_to_reply(heartbeat: HeartbeatReply) -> Reply {
    Reply { body: Some(reply::Body::Heartbeat(heartbeat)) }
}
