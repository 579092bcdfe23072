//! Load of upstreams from the other gateways.

use balance::UpstreamLoad;
use compact_str::CompactString;

use crate::shared::Shared;

impl Shared {
    /// Returns whether the reply to the next sync may leave the load of engines out.
    pub(crate) fn may_skip_engine_loads(&self) -> bool {
        self.engine_load_refresh.get().may_skip(self.arbiter().is_some(), self.now_ms())
    }

    /// Applies the load that the other gateways reported; that of engines still holds if it
    /// was `engines_skipped`.
    pub(crate) fn apply_load_of_others(
        &self,
        others: impl Iterator<Item = (CompactString, UpstreamLoad)>,
        engines_skipped: bool,
    ) {
        let mut loads = self.loads.borrow_mut();
        if !engines_skipped {
            let mut refresh = self.engine_load_refresh.get();
            refresh.record_received(self.now_ms());
            self.engine_load_refresh.set(refresh);
            loads.set_others(others);
            return;
        }
        let (table, registry) = (self.table(), self.registry.borrow());
        let is_engine = |id: &str| {
            let service = registry.get(id).map(|upstream| upstream.record.service.as_str());
            let service = service.and_then(|service| table.service(service));
            service.is_some_and(|service| service.engine.is_some())
        };
        loads.update_others(others, is_engine);
    }
}
