//! Entry processes that hold a lease.

use std::collections::BTreeMap;

use schema::EntryMember;

/// Entry processes that hold a lease, by VM.
#[derive(Debug, Default)]
pub struct Members {
    by_vm: BTreeMap<String, EntryMember>,
    version: u64,
}

impl Members {
    /// Returns the version of the membership, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all members, ordered by VM.
    pub fn iter(&self) -> impl Iterator<Item = &EntryMember> {
        self.by_vm.values()
    }

    /// Returns the member on a VM.
    pub fn get(&self, vm: &str) -> Option<&EntryMember> {
        self.by_vm.get(vm)
    }

    /// Returns whether the member on `vm` is the process with this epoch.
    pub fn contains(&self, vm: &str, epoch: u64) -> bool {
        self.get(vm).is_some_and(|member| member.epoch == epoch)
    }

    pub(crate) fn register(&mut self, member: EntryMember) {
        if self.by_vm.get(&member.vm) != Some(&member) {
            self.by_vm.insert(member.vm.clone(), member);
            self.version += 1;
        }
    }

    pub(crate) fn remove(&mut self, vm: &str, epoch: u64) {
        if self.contains(vm, epoch) {
            self.by_vm.remove(vm);
            self.version += 1;
        }
    }

    pub(crate) fn to_image(&self) -> Vec<EntryMember> {
        self.by_vm.values().cloned().collect()
    }

    pub(crate) fn from_image(image: Vec<EntryMember>, version: u64) -> Self {
        Members { by_vm: image.into_iter().map(|m| (m.vm.clone(), m)).collect(), version }
    }
}
