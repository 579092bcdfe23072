//! Choice of the entries that one answer names.

use rand::{Rng, RngExt as _};

/// Least entries in an answer, so that a caller can retry at another one.
const MIN_ENTRIES: usize = 3;
/// Ratio of the largest to the smallest weight up to which weights count as equal.
const EQUAL_RATIO: f64 = 1.1;

/// Returns some of the `items`, each with a probability in proportion to its weight: all if
/// the weights are equal, else as many as the largest weight would make of their sum. Their
/// order stays.
///
/// This is systematic sampling: one random number decides, the number of items is fixed, and so
/// is the mean share of each.
pub(super) fn sample(
    items: &[usize],
    weights: &[f64],
    max_count: usize,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let largest = weights.iter().copied().fold(0.0, f64::max);
    let smallest = weights.iter().copied().fold(f64::INFINITY, f64::min);
    let is_equal = largest <= smallest * EQUAL_RATIO;
    let wanted = if is_equal {
        items.len()
    } else {
        let sum: f64 = weights.iter().sum();
        ((sum / largest + 1e-9) as usize).max(MIN_ENTRIES)
    };
    let count = wanted.min(max_count).min(items.len());
    if count == items.len() {
        return items.to_vec();
    }
    let probabilities = probabilities(weights, count, is_equal);
    let mut chosen = Vec::with_capacity(count);
    let mut sum = 0.0;
    let mut next = rng.random::<f64>();
    for (item, probability) in items.iter().zip(probabilities) {
        sum += probability;
        if sum > next {
            chosen.push(*item);
            next += 1.0;
        }
    }
    chosen
}

/// Returns probabilities that sum up to `count`, each at most 1.
fn probabilities(weights: &[f64], count: usize, is_equal: bool) -> Vec<f64> {
    let mut weights = weights.to_vec();
    if is_equal {
        weights.fill(1.0);
    }
    let mut certain = vec![false; weights.len()];
    loop {
        let certain_count = certain.iter().filter(|is_certain| **is_certain).count();
        let uncertain = weights.iter().zip(&certain).filter(|(_, is_certain)| !**is_certain);
        let sum: f64 = uncertain.map(|(weight, _)| weight).sum();
        let scale = count.saturating_sub(certain_count) as f64 / sum;
        let mut changed = false;
        for (weight, is_certain) in weights.iter().zip(&mut certain) {
            if !*is_certain && weight * scale > 1.0 {
                *is_certain = true;
                changed = true;
            }
        }
        if !changed {
            let probability = |(weight, is_certain): (&f64, &bool)| {
                if *is_certain { 1.0 } else { weight * scale }
            };
            return weights.iter().zip(&certain).map(probability).collect();
        }
    }
}

/// Returns how many local and other entries an answer names, so that the mean share of the
/// others is `share`: others beside `local` ones, and fewer local ones if there would be more
/// than `max_count` or there are not enough others.
pub(super) fn split(
    local: usize,
    share: f64,
    available: usize,
    max_count: usize,
    rng: &mut impl Rng,
) -> (usize, usize) {
    let others = round(local as f64 * share / (1.0 - share), rng);
    if others <= available && local + others <= max_count {
        return (local, others);
    }
    let total = max_count.min((available as f64 / share) as usize).max(1);
    let others = round(total as f64 * share, rng).min(available);
    (local.min(total.saturating_sub(others)).max(1), others)
}

/// Rounds up or down at random, so that the mean stays.
fn round(count: f64, rng: &mut impl Rng) -> usize {
    let floor = count.floor();
    floor as usize + usize::from(rng.random::<f64>() < count - floor)
}
