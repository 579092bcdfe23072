//! When an entry asks for the load that the others have at engines.

/// Age of the load of engines at which an entry with an arbiter asks for it again.
const ENGINE_LOAD_INTERVAL_MS: u64 = 500;

/// Age of the load at engines that an entry received from the others.
///
/// The arbiter counts that load for all entries. An entry needs it only to choose on its own
/// should the arbiter fail, and so receives it now and then while the arbiter answers. The
/// load of plain services, which entries always choose on their own, comes with each report.
///
/// ```
/// let mut refresh = balance::EngineLoadRefresh::default();
/// assert!(!refresh.may_skip(true, 0));
/// refresh.record_received(100);
/// assert!(refresh.may_skip(true, 200) && !refresh.may_skip(true, 600));
/// assert!(!refresh.may_skip(false, 200));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoadRefresh {
    received_ms: Option<u64>,
}

impl EngineLoadRefresh {
    /// Records that the load of all upstreams arrived.
    pub fn record_received(&mut self, now_ms: u64) {
        self.received_ms = Some(now_ms);
    }

    /// Returns whether the next report may leave the load of engines out.
    pub fn may_skip(&self, has_arbiter: bool, now_ms: u64) -> bool {
        let is_recent = |received_ms| now_ms < received_ms + ENGINE_LOAD_INTERVAL_MS;
        has_arbiter && self.received_ms.is_some_and(is_recent)
    }
}
