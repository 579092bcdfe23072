//! Speed of engines, learned from their streams, and what it costs a request to be placed
//! on one that is slower than others.
//!
//! An engine that takes long for an event leaves pauses in its streams: the more events a
//! stream has, the likelier one of its pauses is longer than its caller accepts. A prompt
//! that is prefilled beside running streams lengthens theirs.

mod late;

use std::collections::HashMap;
use std::ops::RangeInclusive;

use compact_str::CompactString;
use schema::UpstreamUse;

use self::late::LateEvents;
use crate::load::{Candidate, UpstreamLoad};
use crate::pace::Paces;
use crate::recent::RecentWork;

/// Extra cost of an engine that takes twice the mean time for an event, where 1 is a
/// fully loaded upstream.
const PACE_COST: f64 = 1.0;
/// Cost of a stream that certainly misses its gap target, where 1 is a fully loaded
/// upstream: a full upstream delays a stream, and a missed target is final.
const MISS_COST: f64 = 2.0;
/// Bound on the cost of an engine's speed.
const MAX_SPEED_COST: f64 = 10.0;
/// Events from which most of a request's time is that between its events, rather than
/// that of its prefill.
const LONG_STREAM_EVENTS: f64 = 40.0;
/// Prompt tokens for which the mean rate counts in that of one engine.
const PRIOR_PREFILL_TOKENS: f64 = 10_000.0;
/// Prompt tokens over which the prefill rate of an engine is averaged.
const PREFILL_MEMORY_TOKENS: f64 = 30_000.0;
/// Prompt tokens over which the mean rate of all engines is averaged.
const MEAN_PREFILL_MEMORY_TOKENS: f64 = 300_000.0;
/// Bounds on the relative prefill speed.
const PREFILL_SPEED_RANGE: RangeInclusive<f64> = 0.25..=4.0;
/// Most events, late gaps and prompt tokens of one engine that count in one report, so that a
/// gateway that reports nonsense does not outweigh the others for long.
const MAX_REPORT_EVENTS: u32 = 500;
const MAX_REPORT_LATE_GAPS: u32 = 20;
const MAX_REPORT_PREFILL_TOKENS: u64 = 20_000;
/// Longest mean gap and longest prefill of a token that are believed.
const MAX_MEAN_GAP_MS: u64 = 2_000;
const MAX_PREFILL_MS_PER_TOKEN: u64 = 10;
/// Time after which an engine without new reports is forgotten.
const RETENTION_MS: u64 = 30_000;

/// What an entry observed of an engine's streams since its last report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpeedReport {
    /// Events of streams.
    pub events: u32,
    /// Sum of the gaps before them.
    pub gaps_ms: u32,
    /// Gaps above the target of their route.
    pub late_gaps: u32,
    /// Prompt tokens that awaited prefill when the prompts whose prefill has ended were
    /// sent.
    pub prefill_tokens: u64,
    /// Sum of the times until the first events of these prompts.
    pub prefill_ms: u32,
}

impl SpeedReport {
    /// Converts the report on one upstream from its message.
    pub fn from_message(message: &UpstreamUse) -> Self {
        SpeedReport {
            events: message.events,
            gaps_ms: message.event_gaps_ms,
            late_gaps: message.late_gaps,
            prefill_tokens: message.prefilled_tokens,
            prefill_ms: message.prefill_ms,
        }
    }

    /// Adds the report to the message on the upstream.
    pub fn add_to_message(self, message: UpstreamUse) -> UpstreamUse {
        UpstreamUse {
            events: self.events,
            event_gaps_ms: self.gaps_ms,
            late_gaps: self.late_gaps,
            prefilled_tokens: self.prefill_tokens,
            prefill_ms: self.prefill_ms,
            ..message
        }
    }

    /// Adds another report on the same engine.
    pub fn merge(&mut self, other: SpeedReport) {
        self.events = self.events.saturating_add(other.events);
        self.gaps_ms = self.gaps_ms.saturating_add(other.gaps_ms);
        self.late_gaps = self.late_gaps.saturating_add(other.late_gaps);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.prefill_ms = self.prefill_ms.saturating_add(other.prefill_ms);
    }

    /// Returns the report within the bounds of what one entry can observe.
    fn bounded(self) -> Self {
        let events = self.events.min(MAX_REPORT_EVENTS);
        let scale = f64::from(events) / f64::from(self.events.max(1));
        let max_gaps_ms = u64::from(events) * MAX_MEAN_GAP_MS;
        let gaps_ms = (f64::from(self.gaps_ms) * scale) as u64;
        let late_gaps = (f64::from(self.late_gaps) * scale).round() as u32;
        let prefill_tokens = self.prefill_tokens.min(MAX_REPORT_PREFILL_TOKENS);
        let prefill_scale = prefill_tokens as f64 / self.prefill_tokens.max(1) as f64;
        let prefill_ms = (f64::from(self.prefill_ms) * prefill_scale) as u64;
        let max_prefill_ms = prefill_tokens * MAX_PREFILL_MS_PER_TOKEN;
        SpeedReport {
            events,
            gaps_ms: gaps_ms.min(max_gaps_ms) as u32,
            late_gaps: late_gaps.min(events).min(MAX_REPORT_LATE_GAPS),
            prefill_tokens,
            prefill_ms: prefill_ms.min(max_prefill_ms) as u32,
        }
    }
}

/// Events that a request's stream is expected to have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedStream {
    /// Events at most; 0 if that is not known.
    pub events: u32,
    /// Longest pause between events that its caller accepts; 0 without a target.
    pub target_gap_ms: u64,
}

impl ExpectedStream {
    /// Returns which part of the request's time its events take.
    fn share_of_events(self) -> f64 {
        if self.events == 0 { 1.0 } else { (f64::from(self.events) / LONG_STREAM_EVENTS).min(1.0) }
    }
}

/// What is known of one engine's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Mean time between events, in milliseconds.
    pub mean_gap_ms: f64,
    /// Expected share of events whose gap is above their target.
    pub late_share: f64,
    /// Speed of prefill, where 1 is the mean of all prompts.
    pub prefill_speed: f64,
    /// Time since the last report.
    pub age_ms: u64,
}

/// Speeds of all engines.
///
/// ```
/// use balance::{EngineSpeeds, SpeedReport};
/// let mut speeds = EngineSpeeds::default();
/// let fast = SpeedReport { events: 500, gaps_ms: 15_000, ..SpeedReport::default() };
/// speeds.record("fast", fast, 0);
/// speeds.record("slow", SpeedReport { gaps_ms: 35_000, late_gaps: 10, ..fast }, 0);
/// let slow = speeds.get("slow", 100).unwrap();
/// assert!(slow.late_share > 2.0 * speeds.get("fast", 100).unwrap().late_share);
/// assert_eq!((slow.mean_gap_ms, slow.age_ms), (70.0, 100));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    paces: Paces,
    late: LateEvents,
    prefills: HashMap<CompactString, RecentWork>,
    /// Prefill at all engines. Each prompt counts alike, as in the rate by which gateways say how
    /// fast engines prefill.
    all_prefills: RecentWork,
    reported_ms: HashMap<CompactString, u64>,
}

/// Means to which one engine is compared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanSpeed {
    pub(crate) gap_ms: f64,
    prefill: RecentWork,
}

impl EngineSpeeds {
    /// Records what an entry observed of an engine; as much of it as is plausible.
    pub fn record(&mut self, id: &str, report: SpeedReport, now_ms: u64) {
        let report = report.bounded();
        if report == SpeedReport::default() {
            return;
        }
        self.reported_ms.insert(id.into(), now_ms);
        self.paces.record(id, report.events, report.gaps_ms, now_ms);
        self.late.record(id, report.events, report.late_gaps);
        if report.prefill_tokens > 0 && report.prefill_ms > 0 {
            let prefill = self.prefills.entry(id.into()).or_default();
            let (tokens, elapsed_ms) = (report.prefill_tokens as f64, report.prefill_ms.into());
            prefill.record(tokens, elapsed_ms, PREFILL_MEMORY_TOKENS);
            self.all_prefills.record(tokens, elapsed_ms, MEAN_PREFILL_MEMORY_TOKENS);
        }
    }

    /// Records that a prompt is prefilled at an engine that runs `streams` others.
    pub fn record_prompt(&mut self, id: &str, streams: u32) {
        self.late.record_prompt(id, streams);
    }

    /// Forgets engines without recent reports, and compares the others.
    pub fn refresh(&mut self, now_ms: u64) {
        self.paces.expire(now_ms);
        self.reported_ms.retain(|_, reported_ms| now_ms < *reported_ms + RETENTION_MS);
        self.prefills.retain(|id, _| self.reported_ms.contains_key(id));
        let gap_ms = |id: &str| self.paces.gap_ms(id);
        self.late.refresh(|id| self.reported_ms.contains_key(id), gap_ms, now_ms);
    }

    /// Returns what is known of an engine.
    pub fn get(&self, id: &str, now_ms: u64) -> Option<EngineSpeed> {
        let reported_ms = *self.reported_ms.get(id)?;
        Some(EngineSpeed {
            mean_gap_ms: self.paces.gap_ms(id).unwrap_or_default(),
            late_share: self.late.late_share(id),
            prefill_speed: self.prefill_speed(id, self.mean().prefill),
            age_ms: now_ms.saturating_sub(reported_ms),
        })
    }

    /// Iterates over the engines that are known.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.reported_ms.keys().map(CompactString::as_str)
    }

    /// Returns the mean gap over all engines, and the mean prefill over all prompts.
    pub(crate) fn mean(&self) -> MeanSpeed {
        MeanSpeed { gap_ms: self.paces.mean_gap_ms(), prefill: self.all_prefills }
    }

    /// Returns the candidate with the cost and the prefill speed that its engine has for
    /// a request; `load` is what it has to do at present.
    pub(crate) fn apply<'a>(
        &self,
        candidate: Candidate<'a>,
        (stream, prefill_tokens): (ExpectedStream, u64),
        load: UpstreamLoad,
        mean: MeanSpeed,
    ) -> Candidate<'a> {
        let slowness = self.paces.relative(candidate.id, mean.gap_ms) - 1.0;
        let own = if stream.target_gap_ms == 0 {
            0.0
        } else {
            self.late.miss_chance(candidate.id, stream.events)
        };
        let others = if prefill_tokens == 0 {
            0.0
        } else {
            f64::from(load.running) * self.late.harm_chance(candidate.id)
        };
        let cost = PACE_COST * slowness * stream.share_of_events() + MISS_COST * (own + others);
        Candidate {
            extra_cost: candidate.extra_cost + cost.min(MAX_SPEED_COST),
            prefill_speed: self.prefill_speed(candidate.id, mean.prefill),
            ..candidate
        }
    }

    /// Returns the prefill speed of an engine, where 1 is the mean.
    fn prefill_speed(&self, id: &str, mean: RecentWork) -> f64 {
        let Some(own) = self.prefills.get(id).filter(|_| mean.units > 0.0) else { return 1.0 };
        let mean_ms_per_token = mean.elapsed_ms / mean.units;
        let elapsed_ms = own.elapsed_ms + PRIOR_PREFILL_TOKENS * mean_ms_per_token;
        let own_ms_per_token = elapsed_ms / (own.units + PRIOR_PREFILL_TOKENS);
        let speed = mean_ms_per_token / own_ms_per_token;
        speed.clamp(*PREFILL_SPEED_RANGE.start(), *PREFILL_SPEED_RANGE.end())
    }
}
