//! Which versions of the registries of control processes a gateway has applied.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Version of the registry of one incarnation of a control process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RegistryPosition {
    pub(crate) epoch: u64,
    pub(crate) version: u64,
}

/// Registry versions that a gateway has applied, by control process.
#[derive(Debug, Default)]
pub(crate) struct AppliedRegistries {
    by_source: BTreeMap<SocketAddr, RegistryPosition>,
}

impl AppliedRegistries {
    /// Records what was applied; returns what was before.
    pub(crate) fn record(
        &mut self,
        source: SocketAddr,
        applied: RegistryPosition,
    ) -> RegistryPosition {
        self.by_source.insert(source, applied).unwrap_or_default()
    }

    /// Returns what was applied of the registry of `source`; epoch 0 if nothing was.
    pub(crate) fn position(&self, source: SocketAddr) -> RegistryPosition {
        self.by_source.get(&source).copied().unwrap_or_default()
    }

    /// Forgets a control process that is no longer connected.
    pub(crate) fn remove(&mut self, source: SocketAddr) {
        self.by_source.remove(&source);
    }

    /// Returns whether all that `source` had in its registry at `position` is known here.
    pub(crate) fn includes(&self, source: SocketAddr, position: RegistryPosition) -> bool {
        let applied = self.position(source);
        applied.epoch == position.epoch && applied.version >= position.version
    }
}

#[cfg(test)]
#[path = "../../tests/unit/registries.rs"]
mod tests;
