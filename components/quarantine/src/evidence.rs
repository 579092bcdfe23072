//! Evidence that a prompt part crashes the upstreams that begin an answer on it.
//!
//! A request that causes a crash has no answer when its upstream crashes, like others
//! that wait there. What tells the cause from them is that no answer ever begins on it:
//! a part is confirmed by crashes under it in a row, without an answer between them.

use std::collections::{HashMap, HashSet, VecDeque};

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::part::PartId;
use crate::part_set::PartSet;
use crate::recent::RecentTimes;

/// Incidents in a row, without an answer between them, after which a part is quarantined.
const QUARANTINE_INCIDENTS: usize = 3;
/// Longest time from one crash of a wave to the next. Upstreams that are stopped together
/// all have requests with the parts that are in frequent use.
const WAVE_GAP_MS: u64 = 50;
/// Later reports of a crash of the same incarnation mean that it started again and
/// crashed before it announced itself.
const SAME_CRASH_MS: u64 = 1_000;
/// Time without a crash after which a suspicion ends.
const SUSPICION_MS: u64 = 600_000;
/// Parts under suspicion; beyond it, those with the fewest and oldest crashes are dropped.
const MAX_SUSPECTS: usize = 4_096;
/// Crashes that are remembered, so that late reports of them count once and, if their
/// cause is known, count against no other part.
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

/// Crash under one part.
#[derive(Clone, Copy, Debug)]
struct CrashUnderPart {
    number: CrashNumber,
    wave: CrashNumber,
    sent_ms: u64,
    at_ms: u64,
}

/// Crashes under one part since the last answer that began on it.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: SmallVec<[CrashUnderPart; 4]>,
    /// Parts of all the requests with this part that crashes were reported of.
    companions: PartSet,
}

impl Suspect {
    fn record(&mut self, crash: CrashUnderPart, parts: &PartSet) {
        self.companions = if self.crashes.is_empty() {
            parts.clone()
        } else {
            self.companions.intersection(parts)
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
        let mut last: Option<CrashUnderPart> = None;
        let mut incidents = 0;
        for crash in crashes {
            let is_new =
                last.is_none_or(|last| crash.wave != last.wave || crash.sent_ms > last.at_ms);
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

/// Crashes of upstreams under prompt parts, and the answers that clear parts.
///
/// ```
/// use quarantine::{Crash, Evidence, PartId, PartSet};
/// let mut evidence = Evidence::default();
/// let crash = |at_ms| Crash {
///     upstream: "engine".into(),
///     born_ms: at_ms - 900,
///     sent_ms: at_ms - 300,
///     at_ms,
/// };
/// let parts = [PartId(1), PartId(2)];
/// evidence.record_crash(crash(1_000), &parts, 1_000);
/// evidence.record_crash(crash(3_000), &parts, 3_000);
/// evidence.record_answer(PartId(1), 3_500);
/// evidence.record_crash(crash(5_000), &parts, 5_000);
/// assert_eq!(evidence.confirm(5_000, 0), [PartSet::new([PartId(2)])]);
/// ```
#[derive(Debug, Default)]
pub struct Evidence {
    /// Time for which an answer may still clear a part with enough crashes: until all
    /// entries have reported theirs.
    confirmation_ms: u64,
    answered: RecentTimes,
    suspects: HashMap<PartId, Suspect>,
    /// Parts with enough crashes, and since when.
    pending: HashMap<PartId, u64>,
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

    /// Records that an answer began on a part, which clears it of earlier crashes.
    pub fn record_answer(&mut self, part: PartId, now_ms: u64) {
        self.answered.record(part, now_ms);
        self.clear(part);
    }

    /// Records that an upstream crashed while a request with these parts had no answer
    /// yet; each crash counts once for a part, however many requests and entries report
    /// it.
    pub fn record_crash(&mut self, crash: Crash, parts: &[PartId], now_ms: u64) {
        let (sent_ms, at_ms) = (crash.sent_ms, crash.at_ms);
        let (number, wave) = self.number_of(crash);
        if self.explained.contains(&number) {
            return;
        }
        let set = PartSet::new(parts.iter().copied());
        for part in set.iter() {
            let suspect = self.suspects.entry(part).or_default();
            suspect.crashes.retain(|crash| now_ms < crash.at_ms + SUSPICION_MS);
            suspect.record(CrashUnderPart { number, wave, sent_ms, at_ms }, &set);
            if suspect.reaches_threshold() {
                self.pending.entry(part).or_insert(now_ms);
            }
        }
        self.enforce_limit(now_ms);
    }

    /// Returns the sets of parts that are confirmed by now.
    ///
    /// A set holds parts that came together in all of the requests, of which at least
    /// one is the cause: only requests with all of them have to be rejected. Crashes
    /// under a confirmed set no longer count against other parts. `reported_ms` is the
    /// time until which all entries have reported their answers: what was pending before
    /// needs no more time.
    pub fn confirm(&mut self, now_ms: u64, reported_ms: u64) -> Vec<PartSet> {
        let is_due =
            |since_ms: u64| now_ms >= since_ms + self.confirmation_ms || since_ms < reported_ms;
        let due = self.pending.iter().filter(|(_, since_ms)| is_due(**since_ms));
        let crashes = |part| self.suspects.get(part).map_or(0, |suspect| suspect.crashes.len());
        let mut due: Vec<(usize, PartId)> = due.map(|(part, _)| (crashes(part), *part)).collect();
        // Parts with more crashes first: they explain those of the others.
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut confirmed: Vec<PartSet> = Vec::new();
        for (_, part) in due {
            if let Some(set) = self.candidate_set(part) {
                self.explain_crashes_under(&set);
                confirmed.push(set);
            }
        }
        self.pending
            .retain(|part, _| self.suspects.get(part).is_some_and(Suspect::reaches_threshold));
        confirmed
    }

    /// Returns the sets that will be confirmed unless answers clear them.
    pub fn pending(&self) -> impl Iterator<Item = PartSet> {
        self.pending.keys().filter_map(|part| self.candidate_set(*part))
    }

    /// Returns the part with those that always came with it and may as well be the cause.
    fn candidate_set(&self, part: PartId) -> Option<PartSet> {
        let reaches_threshold =
            |part: &PartId| self.suspects.get(part).is_some_and(Suspect::reaches_threshold);
        let suspect = self.suspects.get(&part).filter(|_| reaches_threshold(&part))?;
        Some(PartSet::new(suspect.companions.iter().filter(reaches_threshold)))
    }

    /// Returns whether a request with these parts may be sent to another upstream after
    /// one crashed under it: an answer began on each part lately, and at most one
    /// incident happened under it since.
    pub fn may_repeat(&self, parts: &[PartId], now_ms: u64) -> bool {
        parts.iter().all(|part| {
            let incidents = self.suspects.get(part).map_or(0, Suspect::incidents);
            incidents <= 1 && self.has_answered(*part, now_ms)
        })
    }

    /// Returns whether an answer began on the part lately.
    pub fn has_answered(&self, part: PartId, now_ms: u64) -> bool {
        self.answered.contains(part, now_ms)
    }

    /// Drops the evidence against a part.
    pub fn clear(&mut self, part: PartId) {
        self.suspects.remove(&part);
        self.pending.remove(&part);
    }

    /// Returns the number of parts under suspicion.
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

    /// Attributes the crashes under a confirmed set to it alone. Parts of a set of
    /// several stay under suspicion for one of them: which one is the cause is open.
    fn explain_crashes_under(&mut self, set: &PartSet) {
        let mut remaining: Vec<(PartId, Suspect)> = Vec::new();
        for part in set.iter() {
            let Some(mut suspect) = self.suspects.remove(&part) else { continue };
            self.explained.extend(suspect.crashes.iter().map(|crash| crash.number));
            if set.len() > 1 {
                suspect.crashes.sort_unstable_by_key(|crash| crash.at_ms);
                suspect.crashes.drain(..suspect.crashes.len() - 1);
                remaining.push((part, suspect));
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
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess > 0 {
            let rank = |suspect: &Suspect| (suspect.incidents(), suspect.last_ms());
            let mut ranked: Vec<_> =
                self.suspects.iter().map(|(part, s)| (rank(s), *part)).collect();
            ranked.select_nth_unstable(excess - 1);
            for (_, part) in &ranked[..excess] {
                self.suspects.remove(part);
            }
        }
        let suspects = &self.suspects;
        self.pending.retain(|part, _| suspects.contains_key(part));
    }
}
