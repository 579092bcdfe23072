//! How often the events of engines come later than their callers accept.

use std::collections::HashMap;

use compact_str::CompactString;

/// Events over which an engine's share of late ones is averaged: some streams.
const MEMORY_EVENTS: f64 = 1_000.0;
/// Events for which the share of engines of about the same pace counts in that of one,
/// and that of all engines in that of engines of one pace.
const PRIOR_EVENTS: f64 = 500.0;
/// Pairs of a stream and a prompt beside it for which no harm counts.
const PRIOR_PAIRS: f64 = 20.0;
/// Engines whose mean gaps differ by less than this part of an octave are alike.
const CLASSES_PER_OCTAVE: f64 = 4.0;
/// Weight of the engines that are one class slower or faster.
const NEIGHBOUR_WEIGHT: f64 = 0.5;
/// Interval at which engines are compared.
const REFRESH_INTERVAL_MS: u64 = 100;

/// Events of an engine, or of several, and how many were late.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    events: f64,
    late: f64,
    /// Running streams beside which a prompt was prefilled, summed over the prompts.
    pairs: f64,
}

impl Evidence {
    fn add(&mut self, other: Evidence, weight: f64) {
        self.events += weight * other.events;
        self.late += weight * other.late;
        self.pairs += weight * other.pairs;
    }

    /// Returns the share of late events, if `prior` is that of engines of its kind.
    fn late_share(&self, prior: f64) -> f64 {
        (self.late + PRIOR_EVENTS * prior) / (self.events + PRIOR_EVENTS)
    }

    /// Returns the chance that a prompt makes an event of a stream beside it late.
    fn harm_chance(&self) -> f64 {
        1.0 - (-self.late / (self.pairs + PRIOR_PAIRS)).exp()
    }
}

/// Engine compared with the others.
#[derive(Clone, Copy, Debug)]
struct Compared {
    late_share: f64,
    harm_chance: f64,
}

/// Late events of all engines.
///
/// Late events are rare: what one engine's streams show in seconds says little. Engines
/// of about the same pace are counted together, so that each is known by what all of them
/// show.
#[derive(Clone, Debug, Default)]
pub(super) struct LateEvents {
    engines: HashMap<CompactString, Evidence>,
    compared: HashMap<CompactString, Compared>,
    /// Comparison with engines of which nothing is known.
    unknown: Option<Compared>,
    least_late_share: f64,
    least_harm_chance: f64,
    refreshed_ms: Option<u64>,
}

impl LateEvents {
    pub(super) fn record(&mut self, id: &str, events: u32, late: u32) {
        let engine = self.engines.entry(id.into()).or_default();
        engine.add(Evidence { events: events.into(), late: late.into(), pairs: 0.0 }, 1.0);
        let kept = (MEMORY_EVENTS / engine.events.max(1.0)).min(1.0);
        let recent = std::mem::take(engine);
        engine.add(recent, kept);
    }

    pub(super) fn record_prompt(&mut self, id: &str, streams: u32) {
        // A prompt at an engine that sends no events shows nothing.
        if let Some(engine) = self.engines.get_mut(id) {
            engine.pairs += f64::from(streams);
        }
    }

    /// Compares the engines for which `is_known` returns true, and forgets the others.
    pub(super) fn refresh(
        &mut self,
        is_known: impl Fn(&str) -> bool,
        gap_ms: impl Fn(&str) -> Option<f64>,
        now_ms: u64,
    ) {
        if self.refreshed_ms.is_some_and(|at_ms| now_ms < at_ms + REFRESH_INTERVAL_MS) {
            return;
        }
        self.refreshed_ms = Some(now_ms);
        self.engines.retain(|id, _| is_known(id));
        let mut all = Evidence::default();
        let mut classes: HashMap<i32, Evidence> = HashMap::new();
        let class_of = |id: &str| gap_ms(id).map(pace_class);
        for (id, evidence) in &self.engines {
            all.add(*evidence, 1.0);
            if let Some(class) = class_of(id) {
                classes.entry(class).or_default().add(*evidence, 1.0);
            }
        }
        let late_share = all.late_share(0.0);
        let unknown = Compared { late_share, harm_chance: all.harm_chance() };
        let compare = |(id, evidence): (&CompactString, &Evidence)| {
            let Some(class) = class_of(id) else { return (id.clone(), unknown) };
            let mut alike = Evidence::default();
            for (neighbour, weight) in
                [(class - 1, NEIGHBOUR_WEIGHT), (class, 1.0), (class + 1, NEIGHBOUR_WEIGHT)]
            {
                alike.add(classes.get(&neighbour).copied().unwrap_or_default(), weight);
            }
            let prior = alike.late_share(unknown.late_share);
            let late_share = evidence.late_share(prior);
            (id.clone(), Compared { late_share, harm_chance: alike.harm_chance() })
        };
        self.compared = self.engines.iter().map(compare).collect();
        self.unknown = Some(unknown);
        let least = |value: fn(&Compared) -> f64| {
            self.compared.values().map(value).fold(f64::INFINITY, f64::min)
        };
        self.least_late_share = least(|engine| engine.late_share);
        self.least_harm_chance = least(|engine| engine.harm_chance);
    }

    fn get(&self, id: &str) -> Option<Compared> {
        self.compared.get(id).copied().or(self.unknown)
    }

    /// Returns the expected share of late events.
    pub(super) fn late_share(&self, id: &str) -> f64 {
        let own = || {
            let evidence = self.engines.get(id).copied().unwrap_or_default();
            Compared { late_share: evidence.late_share(0.0), harm_chance: 0.0 }
        };
        self.get(id).unwrap_or_else(own).late_share
    }

    /// Returns how much likelier a stream of so many events has a late one than at the
    /// best engine.
    pub(super) fn miss_chance(&self, id: &str, events: u32) -> f64 {
        let Some(engine) = self.get(id) else { return 0.0 };
        let chance = |share: f64| 1.0 - (1.0 - share.clamp(0.0, 1.0)).powf(events.into());
        (chance(engine.late_share) - chance(self.least_late_share)).clamp(0.0, 1.0)
    }

    /// Returns how much likelier a prompt makes a stream beside it late than at the best
    /// engine.
    pub(super) fn harm_chance(&self, id: &str) -> f64 {
        let Some(engine) = self.get(id) else { return 0.0 };
        (engine.harm_chance - self.least_harm_chance).clamp(0.0, 1.0)
    }
}

/// Returns the class of engines with this mean gap.
fn pace_class(gap_ms: f64) -> i32 {
    (CLASSES_PER_OCTAVE * gap_ms.max(1.0).log2()).round() as i32
}
