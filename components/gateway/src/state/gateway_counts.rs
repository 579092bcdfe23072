//! Number of gateways, as the control processes report it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Gateways that each connected control process reports. The largest number counts: a process
/// that has just started, or is cut off, counts few, and a gateway that took a part of what
/// few share would take too much.
#[derive(Debug, Default)]
pub(crate) struct GatewayCounts {
    by_control: BTreeMap<SocketAddr, u32>,
    /// Last number while a control process was connected.
    last: u32,
}

impl GatewayCounts {
    /// Returns the number of gateways; 1 before any control process reported one.
    pub(crate) fn get(&self) -> u32 {
        self.last.max(1)
    }

    /// Records what a control process reports.
    pub(crate) fn record(&mut self, control: SocketAddr, count: u32) {
        self.by_control.insert(control, count);
        self.refresh();
    }

    /// Forgets a control process that is no longer connected. The last number stays if there
    /// is no other one.
    pub(crate) fn remove(&mut self, control: SocketAddr) {
        self.by_control.remove(&control);
        self.refresh();
    }

    fn refresh(&mut self) {
        self.last = self.by_control.values().copied().max().unwrap_or(self.last);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/gateway_counts.rs"]
mod tests;
