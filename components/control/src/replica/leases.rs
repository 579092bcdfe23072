//! Leases of entries.
//!
//! Only the leader maintains them, in memory: the log contains only the members,
//! so that renewing a lease needs no log write. A new leader grants every member
//! a full lease.

use std::collections::HashMap;

use schema::{EntryMember, RemoveEntry, command};

use super::Replica;

const RECORD_EXPIRY_INTERVAL_MS: u64 = 5_000;

/// Lease of one entry, as of its last heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) epoch: u64,
    pub(crate) renewed_ms: u64,
    pub(crate) revision: u64,
    /// The removal of the entry was proposed.
    removal_proposed: bool,
}

/// Leases by VM.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    by_vm: HashMap<String, Lease>,
}

impl Leases {
    /// Grants a full lease to every member.
    pub(crate) fn reset<'a>(
        &mut self,
        members: impl Iterator<Item = &'a EntryMember>,
        now_ms: u64,
    ) {
        let lease = |member: &EntryMember| {
            let epoch = member.epoch;
            (
                member.vm.clone(),
                Lease { epoch, renewed_ms: now_ms, revision: 0, removal_proposed: false },
            )
        };
        self.by_vm = members.map(lease).collect();
    }

    pub(crate) fn renew(&mut self, vm: &str, epoch: u64, revision: u64, now_ms: u64) {
        let lease = Lease { epoch, renewed_ms: now_ms, revision, removal_proposed: false };
        self.by_vm.insert(vm.to_string(), lease);
    }

    pub(crate) fn get(&self, vm: &str) -> Option<&Lease> {
        self.by_vm.get(vm)
    }
}

impl Replica {
    pub(super) fn expire_leases(&mut self, now_ms: u64) {
        let lease_ms = self.config.timers.entry_lease_ms;
        let mut expired = Vec::new();
        for member in self.state.members().iter() {
            let lease = self.leases.by_vm.entry(member.vm.clone()).or_insert(Lease {
                epoch: member.epoch,
                renewed_ms: now_ms,
                revision: 0,
                removal_proposed: false,
            });
            if !lease.removal_proposed && now_ms >= lease.renewed_ms + lease_ms {
                lease.removal_proposed = true;
                expired.push((member.vm.clone(), member.epoch));
            }
        }
        for (vm, epoch) in expired {
            log::warn!(vm = vm.as_str(), epoch; "entry lease expired");
            let _ = self.propose(command::Body::RemoveEntry(RemoveEntry { vm, epoch }));
        }
    }

    pub(super) fn expire_records(&mut self, now_ms: u64) {
        if now_ms < self.next_record_expiry_ms {
            return;
        }
        self.next_record_expiry_ms = now_ms + RECORD_EXPIRY_INTERVAL_MS;
        let retention_ms = self.config.timers.record_retention_ms;
        if self.state.records().has_expired(now_ms.saturating_sub(retention_ms)) {
            let expire = schema::ExpireRecords { retention_ms };
            let _ = self.propose(command::Body::ExpireRecords(expire));
        }
    }
}
