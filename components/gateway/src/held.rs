//! Memory of a gateway for streams whose callers read slowly.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use prometheus::IntGauge;
use schema::GatewayLimits;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::state::{HeldId, HeldLimits, HeldStreams, Room};

/// What is held of all streams.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    streams: RefCell<HeldStreams>,
    /// Notified when a stream is to be evicted.
    evictions: RefCell<HashMap<HeldId, Rc<Notify>>>,
    held_bytes: IntGauge,
}

impl HeldMemory {
    pub(crate) fn new(limits: &GatewayLimits, metrics: &Metrics) -> Self {
        let limits = HeldLimits {
            total_bytes: limits.max_held_bytes,
            stream_bytes: limits.max_held_stream_bytes,
        };
        HeldMemory {
            streams: RefCell::new(HeldStreams::new(limits)),
            evictions: RefCell::default(),
            held_bytes: metrics.held_bytes.clone(),
        }
    }

    /// Adds a stream; it is notified when it is to be evicted.
    pub(crate) fn open(&self) -> (HeldId, Rc<Notify>) {
        let (id, evicted) = (self.streams.borrow_mut().open(Instant::now()), Rc::default());
        self.evictions.borrow_mut().insert(id, Rc::clone(&evicted));
        (id, evicted)
    }

    pub(crate) fn close(&self, id: HeldId) {
        self.evictions.borrow_mut().remove(&id);
        self.record(|streams| streams.close(id));
    }

    /// Changes what is held.
    pub(crate) fn record(&self, change: impl FnOnce(&mut HeldStreams)) {
        let mut streams = self.streams.borrow_mut();
        change(&mut streams);
        self.held_bytes.set(i64::try_from(streams.used_bytes()).unwrap_or(i64::MAX));
    }

    pub(crate) fn room(&self, id: HeldId) -> Room {
        self.streams.borrow().room(id, Instant::now())
    }

    /// Evicts a stream to make room for others.
    pub(crate) fn evict(&self, id: HeldId) {
        if let Some(evicted) = self.evictions.borrow().get(&id) {
            evicted.notify_one();
        }
    }

    /// Returns the bytes held of all streams.
    pub(crate) fn used_bytes(&self) -> u64 {
        self.streams.borrow().used_bytes()
    }

    /// Returns the bytes held of one stream, and of all.
    pub(crate) fn bytes(&self, id: HeldId) -> (u64, u64) {
        let streams = self.streams.borrow();
        (streams.bytes_of(id), streams.used_bytes())
    }
}
