//! What all parts of one entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use actix::Addr;
use settings::EntryConfig;
use telemetry::Spans;
use tokio::sync::watch;

use crate::broker::Broker;
use crate::control::ControlClient;
use crate::metrics::Metrics;
use crate::view::View;

/// What all parts of one entry share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) config: Arc<EntryConfig>,
    /// Random number of this start of the process.
    pub(crate) epoch: u64,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) broker: Addr<Broker>,
    pub(crate) control: ControlClient,
    pub(crate) metrics: Metrics,
    pub(crate) spans: Spans,
    pub(crate) in_flight: InFlight,
}

impl Shared {
    /// Returns the view of this moment.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }
}

/// Counts requests that a planned stop waits for.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    count: Arc<AtomicU64>,
}

impl InFlight {
    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { count: self.count.clone() }
    }

    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// Counts one request while it lives.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<AtomicU64>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
