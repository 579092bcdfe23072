//! Log lines that many inputs would repeat.

use std::collections::HashSet;
use std::sync::Mutex;

/// Keys that are remembered; after that many, all may be logged again.
const MAX_KEYS: usize = 1_024;

/// Lets the log line for a key through once.
///
/// ```
/// let once = telemetry::OncePerKey::default();
/// assert!(once.is_first("i-1"));
/// assert!(!once.is_first("i-1"));
/// ```
#[derive(Debug, Default)]
pub struct OncePerKey {
    seen: Mutex<HashSet<String>>,
}

impl OncePerKey {
    /// Returns whether this is the first call for the key, among the last thousand keys.
    pub fn is_first(&self, key: &str) -> bool {
        // A panic while the set was held leaves it usable.
        let mut seen = self.seen.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if seen.contains(key) {
            return false;
        }
        if seen.len() >= MAX_KEYS {
            seen.clear();
        }
        seen.insert(key.to_string())
    }
}
