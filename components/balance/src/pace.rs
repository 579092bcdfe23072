//! Pace of engines: how long they take for an event of a stream, compared with others.

use std::collections::HashMap;

use compact_str::CompactString;

/// Events over which an engine's pace is averaged: some seconds of its work, so that
/// the prompts that it prefills meanwhile even out.
const MEMORY_EVENTS: f64 = 1_000.0;
/// Events before an engine's pace is known.
const MIN_EVENTS: f64 = 200.0;
/// Bounds on the relative pace: an engine that stalls is ejected, not avoided.
const PACE_RANGE: std::ops::RangeInclusive<f64> = 0.7..=1.5;
/// Time after which the pace of an engine without new events is forgotten.
const RETENTION_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug)]
struct EnginePace {
    events: f64,
    elapsed_ms: f64,
    reported_ms: u64,
}

/// Paces of all engines, from the gaps between the events of their streams.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    engines: HashMap<CompactString, EnginePace>,
}

impl Paces {
    /// Records that `events` events of an engine's streams came, `elapsed_ms` in total
    /// after the events before them.
    pub fn record(&mut self, id: &str, events: u32, elapsed_ms: u32, now_ms: u64) {
        if events == 0 {
            return;
        }
        let new = EnginePace { events: 0.0, elapsed_ms: 0.0, reported_ms: now_ms };
        let pace = self.engines.entry(id.into()).or_insert(new);
        pace.events += f64::from(events);
        pace.elapsed_ms += f64::from(elapsed_ms);
        pace.reported_ms = now_ms;
        let kept = (MEMORY_EVENTS / pace.events).min(1.0);
        pace.events *= kept;
        pace.elapsed_ms *= kept;
    }

    /// Forgets engines that sent no events lately.
    pub fn expire(&mut self, now_ms: u64) {
        self.engines.retain(|_, pace| now_ms < pace.reported_ms + RETENTION_MS);
    }

    /// Returns the mean time between events, in milliseconds; 0 if none is known.
    pub fn mean_gap_ms(&self) -> f64 {
        let known = || self.engines.values().filter(|pace| pace.events >= MIN_EVENTS);
        let events: f64 = known().map(|pace| pace.events).sum();
        let elapsed_ms: f64 = known().map(|pace| pace.elapsed_ms).sum();
        if events > 0.0 { elapsed_ms / events } else { 0.0 }
    }

    /// Returns how long an engine takes for an event, where 1 is `mean_gap_ms`; 1 if
    /// its pace is not known.
    ///
    /// ```
    /// let mut paces = balance::Paces::default();
    /// paces.record("fast", 1_000, 30_000, 0);
    /// paces.record("slow", 1_000, 40_000, 0);
    /// let mean_ms = paces.mean_gap_ms();
    /// assert!(paces.relative("slow", mean_ms) > 1.1 && paces.relative("fast", mean_ms) < 0.9);
    /// assert_eq!(paces.relative("new", mean_ms), 1.0);
    /// ```
    pub fn relative(&self, id: &str, mean_gap_ms: f64) -> f64 {
        match self.engines.get(id) {
            Some(pace) if pace.events >= MIN_EVENTS && mean_gap_ms > 0.0 => {
                let relative = pace.elapsed_ms / pace.events / mean_gap_ms;
                relative.clamp(*PACE_RANGE.start(), *PACE_RANGE.end())
            }
            _ => 1.0,
        }
    }
}
