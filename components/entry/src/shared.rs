//! State shared by all parts of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use actix::Addr;
use settings::EntryConfig;
use telemetry::Spans;
use tokio::sync::watch;

use crate::broker::Broker;
use crate::control::ControlClient;
use crate::metrics::Metrics;
use crate::view::View;

/// State shared by all parts of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) config: Arc<EntryConfig>,
    /// Random incarnation number of this process.
    pub(crate) epoch: u64,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) broker: Addr<Broker>,
    pub(crate) control: ControlClient,
    pub(crate) metrics: Metrics,
    pub(crate) spans: Spans,
    /// Set by [`crate::Entry::kill`]: no response may be written any more.
    pub(crate) killed: Arc<AtomicBool>,
    pub(crate) in_flight: InFlight,
}

impl Shared {
    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }
}

/// Counts in-flight requests, which a graceful shutdown waits for.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    count: Arc<AtomicU64>,
}

impl InFlight {
    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { count: self.count.clone() }
    }

    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<AtomicU64>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
