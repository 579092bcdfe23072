//! Requests of all entries that wait for room.

use std::collections::HashMap;

use compact_str::CompactString;

/// Share of the room that waiting requests of all entries together take in
/// one round: some see room that is gone already.
const ROOM_SHARE: f64 = 0.35;

/// Requests that wait for room, by service.
#[derive(Debug, Default)]
pub struct Waiting {
    own: HashMap<CompactString, u32>,
    others: HashMap<CompactString, u32>,
}

impl Waiting {
    /// Counts a request that starts to wait.
    pub fn begin(&mut self, service: &str) {
        *self.own.entry(service.into()).or_default() += 1;
    }

    /// Counts a request that waits no longer.
    pub fn end(&mut self, service: &str) {
        if let Some(count) = self.own.get_mut(service) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(service);
            }
        }
    }

    /// Replaces what the other entries told.
    pub fn set_others(&mut self, others: impl Iterator<Item = (CompactString, u32)>) {
        self.others = others.collect();
    }

    /// Iterates over this entry's own waiting requests.
    pub fn own(&self) -> impl Iterator<Item = (&str, u32)> {
        self.own.iter().map(|(service, count)| (service.as_str(), *count))
    }

    /// Returns the probability with which one request may take a place now, so
    /// that those of all entries do not rush into the same `room`.
    ///
    /// ```
    /// let mut waiting = balance::Waiting::default();
    /// assert_eq!(waiting.chance("llm", 1), 1.0);
    /// waiting.set_others([("llm".into(), 8)].into_iter());
    /// assert!((waiting.chance("llm", 2) - 0.0875).abs() < 1e-9);
    /// ```
    pub fn chance(&self, service: &str, room: u64) -> f64 {
        let others = self.others.get(service).copied().unwrap_or_default();
        let own = self.own.get(service).copied().unwrap_or_default();
        let rivals = f64::from(others + own);
        if rivals == 0.0 {
            return 1.0;
        }
        (ROOM_SHARE * room as f64 / rivals).min(1.0)
    }
}
