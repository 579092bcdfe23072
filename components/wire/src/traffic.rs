//! Counters of the bytes and messages exchanged with peer processes.

use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::{IntCounterVec, Opts, Registry};

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);
static MESSAGES: AtomicU64 = AtomicU64::new(0);
static BYTES_BY_KIND: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let options = Opts::new(
        "shallottray_peer_bytes_total",
        "Payload exchanged with other processes, by kind of request and direction.",
    );
    IntCounterVec::new(options, &["kind", "direction"]).expect("name and labels are valid")
});

/// Kind of the messages that are sent one way, without a request.
pub(crate) const CONSENSUS: &str = "consensus";
/// Kind of the parts of requests that one gateway hands to another.
pub(crate) const FORWARD: &str = "forward";

/// Payload exchanged with other processes since this process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Requests, replies and consensus messages sent or received.
    pub messages: u64,
}

/// Returns the payload exchanged by this process so far, without QUIC overhead.
///
/// ```
/// assert_eq!(wire::traffic().messages, 0);
/// ```
pub fn traffic() -> Traffic {
    Traffic {
        sent_bytes: SENT_BYTES.load(Ordering::Relaxed),
        received_bytes: RECEIVED_BYTES.load(Ordering::Relaxed),
        messages: MESSAGES.load(Ordering::Relaxed),
    }
}

/// Adds the payload by kind of message to the metrics of a process.
///
/// # Errors
///
/// Fails if the registry has a metric of the same name.
pub fn register_traffic_metrics(registry: &Registry) -> Result<(), prometheus::Error> {
    registry.register(Box::new(BYTES_BY_KIND.clone()))
}

/// Counts a message of this kind as sent; a reply has the kind of its request.
pub(crate) fn count_sent(kind: &str, bytes: usize) {
    SENT_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
    count(kind, "sent", bytes);
}

pub(crate) fn count_received(kind: &str, bytes: usize) {
    RECEIVED_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
    count(kind, "received", bytes);
}

fn count(kind: &str, direction: &str, bytes: usize) {
    MESSAGES.fetch_add(1, Ordering::Relaxed);
    BYTES_BY_KIND.with_label_values(&[kind, direction]).inc_by(bytes as u64);
}
