//! Evidence that a feature of requests crashes the upstreams that begin to run them.
//!
//! A request that causes a crash has no answer when its upstream crashes, like others
//! that wait there. What tells the cause from them is that no answer ever begins on it:
//! a feature is confirmed by crashes under it in a row, without an answer between them.

use std::collections::{HashMap, HashSet, VecDeque};

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::feature::Feature;
use crate::feature_set::FeatureSet;
use crate::recent::RecentTimes;

/// Incidents in a row, without an answer between them, after which a feature is quarantined.
const QUARANTINE_INCIDENTS: usize = 3;
/// Longest time from one crash of a wave to the next. Upstreams that are stopped together
/// all have requests with the features that are in frequent use.
const WAVE_GAP_MS: u64 = 50;
/// Rounding of the times in crash reports: a request counts as sent after a crash from
/// this time before it on.
const ROUNDING_MS: u64 = 1;
/// Later reports of a crash of the same incarnation mean that it started again and
/// crashed before it announced itself.
const SAME_CRASH_MS: u64 = 1_000;
/// Time without a crash after which a suspicion ends.
const SUSPICION_MS: u64 = 600_000;
/// Features under suspicion; beyond it, those with the fewest and oldest crashes are dropped.
const MAX_SUSPECTS: usize = 4_096;
/// Suspects that are kept once there are too many: dropping several at once is rarer.
const KEPT_SUSPECTS: usize = MAX_SUSPECTS * 7 / 8;
/// Crashes that are remembered, so that late reports of them count once and, if their
/// cause is known, count against no other feature.
const MAX_CRASHES: usize = 256;

/// Crash of one incarnation of an upstream under a request that had no answer yet. Times
/// are in milliseconds on the clock of the caller of [`Evidence`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Id of the upstream.
    pub upstream: CompactString,
    /// Start time of its incarnation, in Unix milliseconds.
    pub born_ms: u64,
    /// When the request was sent.
    pub sent_ms: u64,
    /// When the upstream crashed.
    pub at_ms: u64,
}

/// Number of a crash, in the order in which crashes were first reported.
type CrashNumber = u64;

#[derive(Debug)]
struct NumberedCrash {
    crash: Crash,
    number: CrashNumber,
    /// Number of the first reported crash of the wave that it belongs to.
    wave: CrashNumber,
}

/// Crash under one feature.
#[derive(Clone, Copy, Debug)]
struct CrashUnderFeature {
    number: CrashNumber,
    wave: CrashNumber,
    sent_ms: u64,
    at_ms: u64,
}

/// Crashes under one feature since the last answer that began on it.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: SmallVec<[CrashUnderFeature; 4]>,
    /// Features of all the requests with this feature that crashes were reported of.
    companions: FeatureSet,
}

impl Suspect {
    fn record(&mut self, crash: CrashUnderFeature, features: &FeatureSet) {
        self.companions = if self.crashes.is_empty() {
            features.clone()
        } else {
            self.companions.intersection(features)
        };
        match self.crashes.iter_mut().find(|known| known.number == crash.number) {
            Some(known) => known.sent_ms = known.sent_ms.max(crash.sent_ms),
            None => self.crashes.push(crash),
        }
    }

    fn last_ms(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.at_ms).max().unwrap_or_default()
    }

    /// Returns the number of incidents that the crashes form. A crash belongs to an
    /// earlier incident if it is of the same wave and its request was sent before.
    fn incidents(&self) -> usize {
        let mut crashes = self.crashes.clone();
        crashes.sort_unstable_by_key(|crash| crash.at_ms);
        let mut last: Option<CrashUnderFeature> = None;
        let mut incidents = 0;
        for crash in crashes {
            let is_new = last.is_none_or(|last| {
                crash.wave != last.wave || crash.sent_ms + ROUNDING_MS >= last.at_ms
            });
            if is_new {
                last = Some(crash);
                incidents += 1;
            }
        }
        incidents
    }

    fn reaches_threshold(&self) -> bool {
        self.incidents() >= QUARANTINE_INCIDENTS
    }
}

/// Crashes of upstreams under features of requests, and the answers that clear features.
///
/// ```
/// use quarantine::{Crash, Evidence, Feature, FeatureSet, PartId};
/// let mut evidence = Evidence::default();
/// let crash = |at_ms| Crash {
///     upstream: "engine".into(),
///     born_ms: at_ms - 900,
///     sent_ms: at_ms - 300,
///     at_ms,
/// };
/// let features = [Feature::Part(PartId(1)), Feature::Part(PartId(2))];
/// evidence.record_crash(crash(1_000), &features, 1_000);
/// evidence.record_crash(crash(3_000), &features, 3_000);
/// evidence.record_answer(features[0], 3_500);
/// evidence.record_crash(crash(5_000), &features, 5_000);
/// assert_eq!(evidence.confirm(5_000, 0), [FeatureSet::new([features[1]])]);
/// ```
#[derive(Debug, Default)]
pub struct Evidence {
    /// Time for which an answer may still clear a feature with enough crashes: until all
    /// entries have reported theirs.
    confirmation_ms: u64,
    answered: RecentTimes,
    suspects: HashMap<Feature, Suspect>,
    /// Features with enough crashes, and since when.
    pending: HashMap<Feature, u64>,
    /// Recent crashes, oldest first.
    crashes: VecDeque<NumberedCrash>,
    last_number: CrashNumber,
    /// Crashes whose cause is confirmed.
    explained: HashSet<CrashNumber>,
}

impl Evidence {
    /// Creates an empty collection for reports of answers that arrive up to
    /// `confirmation_ms` late.
    pub fn new(confirmation_ms: u64) -> Self {
        Evidence { confirmation_ms, ..Evidence::default() }
    }

    /// Records that an answer began on a feature, which clears it of earlier crashes.
    pub fn record_answer(&mut self, feature: Feature, now_ms: u64) {
        if let Feature::Part(part) = feature {
            self.answered.record(part, now_ms);
        }
        self.clear(feature);
    }

    /// Records that an upstream crashed while a request with these features had no answer
    /// yet; each crash counts once for a feature, however many requests and entries report
    /// it.
    pub fn record_crash(&mut self, crash: Crash, features: &[Feature], now_ms: u64) {
        let (sent_ms, at_ms) = (crash.sent_ms, crash.at_ms);
        let (number, wave) = self.number_of(crash);
        if self.explained.contains(&number) {
            return;
        }
        let set = FeatureSet::new(features.iter().copied());
        for feature in set.iter() {
            let suspect = self.suspects.entry(feature).or_default();
            suspect.crashes.retain(|crash| now_ms < crash.at_ms + SUSPICION_MS);
            suspect.record(CrashUnderFeature { number, wave, sent_ms, at_ms }, &set);
            if suspect.reaches_threshold() {
                self.pending.entry(feature).or_insert(now_ms);
            }
        }
        self.enforce_limit(now_ms);
    }

    /// Returns the sets of features that are confirmed by now.
    ///
    /// A set holds features that came together in all of the requests, of which at least
    /// one is the cause: only requests with all of them have to be rejected. If it was
    /// the same request each time, the set is that request alone. Crashes under a
    /// confirmed set no longer count against other features. `reported_ms` is the time
    /// until which all entries have reported their answers: what was pending before needs
    /// no more time.
    pub fn confirm(&mut self, now_ms: u64, reported_ms: u64) -> Vec<FeatureSet> {
        let is_due =
            |since_ms: u64| now_ms >= since_ms + self.confirmation_ms || since_ms < reported_ms;
        let due = self.pending.iter().filter(|(_, since_ms)| is_due(**since_ms));
        let crashes =
            |feature| self.suspects.get(feature).map_or(0, |suspect| suspect.crashes.len());
        let mut due: Vec<(usize, Feature)> =
            due.map(|(feature, _)| (crashes(feature), *feature)).collect();
        // Features with more crashes first: they explain those of the others.
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut confirmed: Vec<FeatureSet> = Vec::new();
        for (_, feature) in due {
            if let Some(set) = self.candidate_set(feature) {
                self.explain_crashes_under(&set);
                confirmed.push(set.narrowest());
            }
        }
        self.pending.retain(|feature, _| {
            self.suspects.get(feature).is_some_and(Suspect::reaches_threshold)
        });
        confirmed
    }

    /// Returns the sets that will be confirmed unless answers clear them.
    pub fn pending(&self) -> impl Iterator<Item = FeatureSet> {
        let sets = self.pending.keys().filter_map(|feature| self.candidate_set(*feature));
        sets.map(|set| set.narrowest())
    }

    /// Returns the feature with those that always came with it and may as well be the cause.
    fn candidate_set(&self, feature: Feature) -> Option<FeatureSet> {
        let reaches_threshold =
            |feature: &Feature| self.suspects.get(feature).is_some_and(Suspect::reaches_threshold);
        let suspect = self.suspects.get(&feature).filter(|_| reaches_threshold(&feature))?;
        Some(FeatureSet::new(suspect.companions.iter().filter(reaches_threshold)))
    }

    /// Returns whether a request with these features may be sent to another upstream after
    /// one crashed under it: an answer began on each part lately, and at most one
    /// incident happened under each feature since. A request without parts must not have
    /// been `alone` at the upstream, where only it can be the cause.
    pub fn may_repeat(&self, features: &[Feature], alone: bool, now_ms: u64) -> bool {
        let is_part = |feature: &Feature| matches!(feature, Feature::Part(_));
        let has_parts = features.iter().any(is_part);
        let is_sound = |feature: &Feature| {
            let incidents = self.suspects.get(feature).map_or(0, Suspect::incidents);
            incidents <= 1 && (!is_part(feature) || self.has_answered(*feature, now_ms))
        };
        features.iter().all(is_sound) && (has_parts || !alone)
    }

    /// Returns whether an answer began on the part lately. Answers to requests as a whole
    /// are not remembered.
    pub fn has_answered(&self, feature: Feature, now_ms: u64) -> bool {
        match feature {
            Feature::Part(part) => self.answered.contains(part, now_ms),
            Feature::Request(_) => false,
        }
    }

    /// Drops the evidence against a feature.
    pub fn clear(&mut self, feature: Feature) {
        self.suspects.remove(&feature);
        self.pending.remove(&feature);
    }

    /// Returns the number of features under suspicion.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of parts whose last answer is remembered.
    pub fn answered(&self) -> usize {
        self.answered.len()
    }

    /// Returns the number of a crash and of its wave.
    fn number_of(&mut self, crash: Crash) -> (CrashNumber, CrashNumber) {
        let is_same = |known: &&NumberedCrash| {
            known.crash.upstream == crash.upstream
                && known.crash.born_ms == crash.born_ms
                && known.crash.at_ms.abs_diff(crash.at_ms) <= SAME_CRASH_MS
        };
        if let Some(known) = self.crashes.iter().find(is_same) {
            return (known.number, known.wave);
        }
        self.last_number += 1;
        let number = self.last_number;
        let is_same_wave =
            |known: &&NumberedCrash| known.crash.at_ms.abs_diff(crash.at_ms) <= WAVE_GAP_MS;
        let wave = self.crashes.iter().find(is_same_wave).map_or(number, |known| known.wave);
        self.crashes.push_back(NumberedCrash { crash, number, wave });
        if self.crashes.len() > MAX_CRASHES
            && let Some(oldest) = self.crashes.pop_front()
        {
            self.explained.remove(&oldest.number);
        }
        (number, wave)
    }

    /// Attributes the crashes under a confirmed set to it alone. Features of a set of
    /// several stay under suspicion for one of them: which one is the cause is open.
    fn explain_crashes_under(&mut self, set: &FeatureSet) {
        let mut remaining: Vec<(Feature, Suspect)> = Vec::new();
        for feature in set.iter() {
            let Some(mut suspect) = self.suspects.remove(&feature) else { continue };
            self.explained.extend(suspect.crashes.iter().map(|crash| crash.number));
            if set.len() > 1 {
                suspect.crashes.sort_unstable_by_key(|crash| crash.at_ms);
                suspect.crashes.drain(..suspect.crashes.len() - 1);
                remaining.push((feature, suspect));
            }
        }
        let explained = &self.explained;
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|crash| !explained.contains(&crash.number));
            !suspect.crashes.is_empty()
        });
        self.suspects.extend(remaining);
    }

    fn enforce_limit(&mut self, now_ms: u64) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| now_ms < suspect.last_ms() + SUSPICION_MS);
        let excess = self.suspects.len().saturating_sub(KEPT_SUSPECTS);
        if excess > 0 {
            let rank = |suspect: &Suspect| (suspect.incidents(), suspect.last_ms());
            let mut ranked: Vec<_> =
                self.suspects.iter().map(|(feature, s)| (rank(s), *feature)).collect();
            ranked.select_nth_unstable(excess - 1);
            for (_, feature) in &ranked[..excess] {
                self.suspects.remove(feature);
            }
        }
        let suspects = &self.suspects;
        self.pending.retain(|feature, _| suspects.contains_key(feature));
    }
}
