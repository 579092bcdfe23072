//! Counters of the bytes and messages exchanged with peer processes.

use std::sync::atomic::{AtomicU64, Ordering};

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);
static MESSAGES: AtomicU64 = AtomicU64::new(0);

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

pub(crate) fn count_sent(bytes: usize) {
    SENT_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
    MESSAGES.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn count_received(bytes: usize) {
    RECEIVED_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
    MESSAGES.fetch_add(1, Ordering::Relaxed);
}
