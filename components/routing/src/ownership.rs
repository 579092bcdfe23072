//! Which entry owns an upstream, and which entries receive its digests.
//!
//! Both follow from the membership by rendezvous hashing, so entries with the
//! same membership agree without exchanging messages, and adding or removing a
//! member moves only the upstreams of that member.

use schema::EntryMember;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the member that owns an upstream. Leaving members own none.
///
/// ```
/// let member = |vm: &str| schema::EntryMember { vm: vm.to_string(), ..Default::default() };
/// let members = [member("vm-1"), member("vm-2"), member("vm-3")];
/// let owner = routing::owner(&members, "engine-7").unwrap();
/// let others: Vec<_> = members.iter().filter(|m| m.vm != owner.vm).cloned().collect();
/// assert_ne!(routing::owner(&others, "engine-7").unwrap().vm, owner.vm);
/// ```
pub fn owner<'a>(members: &'a [EntryMember], upstream: &str) -> Option<&'a EntryMember> {
    let candidates = members.iter().filter(|member| !member.leaving);
    candidates.max_by_key(|member| rendezvous_weight(&member.vm, upstream))
}

/// Returns the members that receive the digests of the upstreams that `owner_vm`
/// owns.
///
/// Every member watches all owners if there are at most `fan_in` members, and
/// otherwise `fan_in` owners, those in its own region first. This limits the number
/// of digests that it has to receive and store.
pub fn watchers<'a>(
    members: &'a [EntryMember],
    owner_vm: &str,
    fan_in: usize,
) -> Vec<&'a EntryMember> {
    let Some(owner) = members.iter().find(|member| member.vm == owner_vm) else {
        return Vec::new();
    };
    let others = members.iter().filter(|member| member.vm != owner_vm);
    others.filter(|watcher| is_watching(members, watcher, owner, fan_in)).collect()
}

fn is_watching(
    members: &[EntryMember],
    watcher: &EntryMember,
    owner: &EntryMember,
    fan_in: usize,
) -> bool {
    if members.len() <= fan_in {
        return true;
    }
    let rank = |other: &EntryMember| {
        (other.region == watcher.region, rendezvous_weight(&watcher.vm, &other.vm))
    };
    let owner_rank = rank(owner);
    let higher_ranked =
        members.iter().filter(|m| m.vm != watcher.vm && rank(m) > owner_rank).count();
    higher_ranked < fan_in
}

fn rendezvous_weight(vm: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(vm.as_bytes(), 0))
}
