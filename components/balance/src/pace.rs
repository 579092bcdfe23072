//! Pace of engines: how long they take for an event of a stream, compared with others.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::recent::RecentWork;

/// Events over which an engine's pace is averaged: some seconds of its work, so that
/// the prompts that it prefills meanwhile even out.
const MEMORY_EVENTS: f64 = 1_000.0;
/// Events before an engine's pace is known.
const MIN_EVENTS: f64 = 200.0;
/// Events from which an engine is classed by its mean gap.
const MIN_CLASS_EVENTS: f64 = 30.0;
/// Bounds on the relative pace: an engine that stalls is ejected, not avoided.
const PACE_RANGE: std::ops::RangeInclusive<f64> = 0.7..=1.5;
/// Time after which the pace of an engine without new events is forgotten.
const RETENTION_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug)]
struct EnginePace {
    events: RecentWork,
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
        let new = EnginePace { events: RecentWork::default(), reported_ms: now_ms };
        let pace = self.engines.entry(id.into()).or_insert(new);
        pace.events.record(f64::from(events), f64::from(elapsed_ms), MEMORY_EVENTS);
        pace.reported_ms = now_ms;
    }

    /// Forgets engines that sent no events lately.
    pub fn expire(&mut self, now_ms: u64) {
        self.engines.retain(|_, pace| now_ms < pace.reported_ms + RETENTION_MS);
    }

    /// Returns the mean time between events of an engine, if it sent some.
    pub(crate) fn gap_ms(&self, id: &str) -> Option<f64> {
        let events = self.engines.get(id)?.events;
        (events.units >= MIN_CLASS_EVENTS).then(|| events.elapsed_ms / events.units)
    }

    /// Returns the mean time between events, in milliseconds; 0 if none is known.
    pub fn mean_gap_ms(&self) -> f64 {
        let events = self.engines.values().map(|pace| pace.events);
        let known = events.filter(|events| events.units >= MIN_EVENTS);
        let (events, elapsed_ms) = known.fold((0.0, 0.0), |(events, elapsed_ms), known| {
            (events + known.units, elapsed_ms + known.elapsed_ms)
        });
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
            Some(EnginePace { events, .. }) if events.units >= MIN_EVENTS && mean_gap_ms > 0.0 => {
                let relative = events.elapsed_ms / events.units / mean_gap_ms;
                relative.clamp(*PACE_RANGE.start(), *PACE_RANGE.end())
            }
            _ => 1.0,
        }
    }
}
