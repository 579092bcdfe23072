//! Which control process knows the newest members of the control group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Index of the members that each connected control process reports. Those at the greatest
/// index count: a process that has not caught up reports the members of an earlier one. Earlier
/// members count again only if all processes that reported later ones are gone, as after a group
/// lost its data.
#[derive(Debug, Default)]
pub(crate) struct MemberLists {
    by_control: BTreeMap<SocketAddr, u64>,
}

impl MemberLists {
    /// Records the index that a control process reports; returns whether no connected one
    /// reports a greater one.
    pub(crate) fn record(&mut self, control: SocketAddr, index: u64) -> bool {
        self.by_control.insert(control, index);
        self.by_control.values().all(|other| *other <= index)
    }

    /// Forgets a control process that is no longer connected.
    pub(crate) fn remove(&mut self, control: SocketAddr) {
        self.by_control.remove(&control);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/member_lists.rs"]
mod tests;
