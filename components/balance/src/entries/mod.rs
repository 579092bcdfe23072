//! Weights of entries: the share of a data centre's callers that each entry is to get.
//!
//! An entry's weight is its size, as far as that is known, times a factor that follows how
//! much of its VM it uses compared with the other entries of its data centre. A crowded data
//! centre refers part of its callers to others of its region.

mod choice;
mod load;
mod size;

use std::collections::BTreeMap;

use compact_str::CompactString;
use rand::Rng;

use choice::{sample, split};
use size::relative_sizes;

pub use load::{EntryLoad, VmSize};

/// Interval between two steps of the factors.
const STEP_INTERVAL_MS: u64 = 1_000;
/// Age from which a report no longer changes a factor.
const MAX_REPORT_AGE_MS: u64 = 2_000;
/// Time for which an entry that reports no more keeps its factor.
const RETENTION_MS: u64 = 60_000;
/// Most entries that are kept.
const MAX_ENTRIES: usize = 4_096;

/// Smallest and largest weight.
const WEIGHT_RANGE: (f64, f64) = (0.25, 4.0);
/// Largest factor; the smallest is its reciprocal.
const MAX_FACTOR: f64 = 2.0;
/// Change of the logarithm of a factor in a step, for each unit of error.
const GAIN: f64 = 0.15;
/// Added to pressures, so that the ratio of small ones is near 1.
const PRESSURE_FLOOR: f64 = 0.1;
/// Error below which a factor stays.
const DEAD_BAND: f64 = 0.1;
/// Largest error that counts in one step.
const MAX_ERROR: f64 = 0.6;
/// Share by which the logarithm of a factor returns to 0 in a step.
const DECAY: f64 = 0.005;

/// Pressure from which a data centre refers callers to others, and from which it does so in
/// full.
const CROWDED_RANGE: (f64, f64) = (0.55, 0.8);
/// Pressure by which others have to be lower for more callers to be referred to them.
const MIN_RELIEF: f64 = 0.1;
/// Smallest and largest share of callers that are referred to other data centres.
const MIN_DIVERTED_SHARE: f64 = 0.001;
const MAX_DIVERTED_SHARE: f64 = 0.4;
/// Change of that share in a step, for each unit of difference in pressure.
const DIVERSION_GAIN: f64 = 0.05;
/// Share by which that share falls in a step without cause.
const DIVERSION_DECAY: f64 = 0.15;
/// Ratio of a weight to the last logged one from which it is logged again.
const LOGGED_RATIO: f64 = 1.5;

/// Report of an entry.
#[derive(Clone, Debug)]
pub struct EntryReport {
    /// Incarnation of the entry's process.
    pub epoch: u64,
    /// Data centre of the entry.
    pub data_centre: CompactString,
    /// Region of the data centre; empty if it is not known.
    pub region: CompactString,
    /// What the entry uses of its VM.
    pub load: EntryLoad,
    /// Size of its VM.
    pub size: VmSize,
}

/// Entry that callers can be referred to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryCandidate<'a> {
    /// VM of the entry.
    pub vm: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

/// Limits on an answer to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerLimits {
    /// With at least this many entries in the caller's data centre, others are named only
    /// while it is crowded.
    pub min_local: usize,
    /// Most entries in an answer.
    pub max_entries: usize,
}

/// Change of a weight that an operator is to see.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightChange {
    /// VM of the entry.
    pub vm: CompactString,
    /// Data centre of the entry.
    pub data_centre: CompactString,
    /// Weight when it was last reported as changed; 1 at first.
    pub before: f64,
    /// Weight now.
    pub now: f64,
    /// What the entry uses of its VM, from 0 to 1.
    pub pressure: f64,
}

#[derive(Debug)]
struct Entry {
    report: EntryReport,
    reported_ms: u64,
    log_factor: f64,
    relative_size: f64,
    logged_weight: f64,
}

impl Entry {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.reported_ms + MAX_REPORT_AGE_MS
    }

    fn weight(&self) -> f64 {
        let (min, max) = WEIGHT_RANGE;
        (self.relative_size * self.log_factor.exp()).clamp(min, max)
    }

    fn pressure(&self) -> f64 {
        self.report.load.pressure()
    }
}

#[derive(Debug, Default)]
struct DataCentre {
    region: CompactString,
    /// Mean over its entries by weight; `None` without a recent report.
    pressure: Option<f64>,
    diverted_share: f64,
}

/// Weights of the entries of all data centres.
///
/// ```
/// use balance::{AnswerLimits, EntryCandidate, EntryWeights};
/// let weights = EntryWeights::default();
/// let entries = ["a", "b", "c", "d"].map(|vm| EntryCandidate { vm, data_centre: "x" });
/// let limits = AnswerLimits { min_local: 2, max_entries: 64 };
/// assert_eq!(weights.choose(&entries, "x", limits, &mut rand::rng()), [0, 1, 2, 3]);
/// ```
#[derive(Debug, Default)]
pub struct EntryWeights {
    entries: BTreeMap<CompactString, Entry>,
    data_centres: BTreeMap<CompactString, DataCentre>,
    next_step_ms: u64,
}

impl EntryWeights {
    /// Records the report of the entry on `vm`. Another incarnation starts anew.
    pub fn report(&mut self, vm: &str, report: EntryReport, now_ms: u64) {
        let known = self.entries.get_mut(vm).filter(|entry| {
            entry.report.epoch == report.epoch && entry.report.data_centre == report.data_centre
        });
        if let Some(entry) = known {
            entry.report = report;
            entry.reported_ms = now_ms;
            return;
        }
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(vm) {
            return;
        }
        let entry = Entry {
            report,
            reported_ms: now_ms,
            log_factor: 0.0,
            relative_size: 1.0,
            logged_weight: 1.0,
        };
        self.entries.insert(vm.into(), entry);
        self.refresh_sizes();
    }

    /// Forgets the entry on `vm`, which no longer reports.
    pub fn forget(&mut self, vm: &str) {
        self.entries.remove(vm);
    }

    /// Adjusts the weights; returns those that changed much since they were last returned.
    /// Does nothing, and returns `None`, within a second of the last time.
    pub fn adjust(&mut self, now_ms: u64) -> Option<Vec<WeightChange>> {
        if now_ms < self.next_step_ms {
            return None;
        }
        self.next_step_ms = now_ms + STEP_INTERVAL_MS;
        self.entries.retain(|_, entry| now_ms < entry.reported_ms + RETENTION_MS);
        self.refresh_sizes();
        self.refresh_pressures(now_ms);
        self.adjust_factors(now_ms);
        self.adjust_diversion();
        let entries = self.entries.iter_mut();
        Some(entries.filter_map(|(vm, entry)| weight_change(vm, entry)).collect())
    }

    /// Returns the weight of an entry; 1 if nothing is known of it.
    pub fn weight(&self, vm: &str) -> f64 {
        self.entries.get(vm).map_or(1.0, Entry::weight)
    }

    /// Returns the share of the callers of a data centre that are referred to others.
    pub fn diverted_share(&self, data_centre: &str) -> f64 {
        self.data_centres.get(data_centre).map_or(0.0, |known| known.diverted_share)
    }

    /// Returns weight and pressure of each known entry.
    pub fn iter(&self) -> impl Iterator<Item = (&str, f64, f64)> {
        self.entries.iter().map(|(vm, entry)| (vm.as_str(), entry.weight(), entry.pressure()))
    }

    /// Returns the known data centres, with the share of their callers that are referred to
    /// others.
    pub fn diverted_shares(&self) -> impl Iterator<Item = (&str, f64)> {
        let shares = self.data_centres.iter();
        shares.map(|(name, known)| (name.as_str(), known.diverted_share))
    }

    /// Returns the indices of the candidates that an answer to a caller in `data_centre`
    /// names. Over many answers, a caller that picks one of them at random picks each entry in
    /// proportion to its weight, as long as no answer would have fewer than three.
    pub fn choose(
        &self,
        candidates: &[EntryCandidate<'_>],
        data_centre: &str,
        limits: AnswerLimits,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        let weights_of = |indices: &[usize]| -> Vec<f64> {
            indices.iter().map(|index| self.weight(candidates[*index].vm)).collect()
        };
        let (local, others): (Vec<usize>, Vec<usize>) =
            (0..candidates.len()).partition(|index| candidates[*index].data_centre == data_centre);
        if local.len() < limits.min_local {
            let all: Vec<usize> = (0..candidates.len()).collect();
            return sample(&all, &weights_of(&all), limits.max_entries, rng);
        }
        let weights = weights_of(&local);
        let share = self.diverted_share(data_centre);
        let relieving: Vec<(usize, f64)> = others
            .into_iter()
            .map(|at| (at, self.weight_elsewhere(&candidates[at], data_centre)))
            .filter(|(_, weight)| *weight > 0.0)
            .collect();
        let mut chosen = sample(&local, &weights, limits.max_entries, rng);
        if share <= 0.0 || relieving.is_empty() {
            return chosen;
        }
        let (local_count, other_count) =
            split(chosen.len(), share, relieving.len(), limits.max_entries, rng);
        if local_count < chosen.len() {
            chosen = sample(&local, &weights, local_count, rng);
        }
        if other_count > 0 {
            let (others, weights): (Vec<usize>, Vec<f64>) = relieving.into_iter().unzip();
            chosen.extend(sample(&others, &weights, other_count, rng));
        }
        chosen
    }

    /// Returns the weight of an entry for callers of another data centre; 0 if it is not to
    /// get any.
    fn weight_elsewhere(&self, candidate: &EntryCandidate<'_>, data_centre: &str) -> f64 {
        let home = self.data_centres.get(data_centre);
        let other = self.data_centres.get(candidate.data_centre);
        let (Some(home), Some(other)) = (home, other) else { return 0.0 };
        self.weight(candidate.vm) * relief(home, other)
    }

    fn refresh_sizes(&mut self) {
        for entries in by_data_centre(self.entries.values_mut()).values_mut() {
            let sizes: Vec<VmSize> = entries.iter().map(|entry| entry.report.size).collect();
            for (entry, relative) in entries.iter_mut().zip(relative_sizes(&sizes)) {
                entry.relative_size = relative;
            }
        }
    }

    fn refresh_pressures(&mut self, now_ms: u64) {
        let mut sums: BTreeMap<CompactString, (CompactString, f64, f64)> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| entry.is_fresh(now_ms)) {
            let report = &entry.report;
            let new = || (report.region.clone(), 0.0, 0.0);
            let (_, sum, weights) = sums.entry(report.data_centre.clone()).or_insert_with(new);
            *sum += entry.pressure() * entry.weight();
            *weights += entry.weight();
        }
        let entries = &self.entries;
        self.data_centres
            .retain(|name, _| entries.values().any(|entry| entry.report.data_centre == *name));
        for known in self.data_centres.values_mut() {
            known.pressure = None;
        }
        for (name, (region, sum, weights)) in sums {
            let known = self.data_centres.entry(name).or_default();
            known.region = region;
            known.pressure = Some(sum / weights);
        }
    }

    fn adjust_factors(&mut self, now_ms: u64) {
        let fresh = self.entries.values_mut().filter(|entry| entry.is_fresh(now_ms));
        for entries in by_data_centre(fresh).values_mut() {
            let count = entries.len() as f64;
            let usual = interquartile_mean(entries.iter().map(|entry| entry.pressure()));
            for entry in entries.iter_mut() {
                let error = pressure_error(entry.pressure(), usual);
                entry.log_factor = entry.log_factor * (1.0 - DECAY) - GAIN * error;
            }
            let centre = entries.iter().map(|entry| entry.log_factor).sum::<f64>() / count;
            let limit = MAX_FACTOR.ln();
            for entry in entries.iter_mut() {
                entry.log_factor = (entry.log_factor - centre).clamp(-limit, limit);
            }
        }
    }

    fn adjust_diversion(&mut self) {
        let shares: Vec<f64> = self
            .data_centres
            .iter()
            .map(|(name, home)| {
                let others = self.data_centres.iter().filter(|(other, _)| *other != name);
                let reliefs = others.map(|(_, other)| relief(home, other)).filter(|by| *by > 0.0);
                diverted_share(home, reliefs)
            })
            .collect();
        for (known, share) in self.data_centres.values_mut().zip(shares) {
            known.diverted_share = share;
        }
    }
}

fn by_data_centre<'a>(
    entries: impl Iterator<Item = &'a mut Entry>,
) -> BTreeMap<CompactString, Vec<&'a mut Entry>> {
    let mut by_data_centre: BTreeMap<CompactString, Vec<&mut Entry>> = BTreeMap::new();
    for entry in entries {
        by_data_centre.entry(entry.report.data_centre.clone()).or_default().push(entry);
    }
    by_data_centre
}

/// Returns the next share of a data centre's callers that are referred to others, which are
/// better off by `reliefs`.
fn diverted_share(home: &DataCentre, reliefs: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = reliefs.fold((0.0, 0.0), |(sum, count), by| (sum + by, count + 1.0));
    if count == 0.0 {
        return 0.0;
    }
    let relief: f64 = sum / count;
    let (from, full) = CROWDED_RANGE;
    let crowding = ((home.pressure.unwrap_or(0.0) - from) / (full - from)).clamp(0.0, 1.0);
    let rise = DIVERSION_GAIN * crowding * (relief - MIN_RELIEF).max(0.0);
    let cause = crowding * (relief / MIN_RELIEF).min(1.0);
    let fall = DIVERSION_DECAY * (1.0 - cause) * home.diverted_share;
    let share = (home.diverted_share + rise - fall).clamp(0.0, MAX_DIVERTED_SHARE);
    if share < MIN_DIVERTED_SHARE { 0.0 } else { share }
}

/// Returns the mean without the smallest and the largest quarter, which no single report moves
/// far.
fn interquartile_mean(pressures: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = pressures.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let cut = sorted.len() / 4;
    let middle = &sorted[cut..sorted.len() - cut];
    middle.iter().sum::<f64>() / middle.len() as f64
}

/// Returns the deviation of a pressure from the usual one, as the logarithm of their ratio less
/// the dead band.
fn pressure_error(pressure: f64, usual: f64) -> f64 {
    let error = ((pressure + PRESSURE_FLOOR) / (usual + PRESSURE_FLOOR)).ln();
    let beyond = (error.abs() - DEAD_BAND).max(0.0);
    beyond.copysign(error).clamp(-MAX_ERROR, MAX_ERROR)
}

/// Returns how much better off another data centre of the same region is; 0 if callers are not
/// to be referred to it.
fn relief(home: &DataCentre, other: &DataCentre) -> f64 {
    let (Some(pressure), Some(elsewhere)) = (home.pressure, other.pressure) else { return 0.0 };
    let is_near = !home.region.is_empty() && home.region == other.region;
    if is_near { (pressure - elsewhere).max(0.0) } else { 0.0 }
}

fn weight_change(vm: &CompactString, entry: &mut Entry) -> Option<WeightChange> {
    let (before, now) = (entry.logged_weight, entry.weight());
    if now < before * LOGGED_RATIO && before < now * LOGGED_RATIO {
        return None;
    }
    entry.logged_weight = now;
    Some(WeightChange {
        vm: vm.clone(),
        data_centre: entry.report.data_centre.clone(),
        before,
        now,
        pressure: entry.pressure(),
    })
}
