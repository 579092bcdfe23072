//! Choice between upstreams.

use compact_str::CompactString;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::directory::Known;

/// Upstreams that are looked at for one request.
const SAMPLE: usize = 3;
/// How much more crowded an upstream may be for the prefix that it holds.
const AFFINITY_MARGIN: f64 = 0.05;

/// Upstream to try for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the upstream.
    pub upstream: CompactString,
    /// VM of its owner.
    pub owner_vm: CompactString,
    /// Address on which it takes requests.
    pub address: CompactString,
}

/// Returns upstreams in the order in which to try them.
///
/// A few candidates are drawn at random and ordered by load: with reports
/// that lag, always taking the best of all would send every entry to the same
/// one. An upstream that holds the prompt's prefix comes first unless it is
/// more crowded than the best one drawn, and one in the entry's own data
/// centre wins between equals.
pub fn choose<'a>(
    candidates: impl Iterator<Item = &'a Known>,
    preferred: Option<&str>,
    data_centre: &str,
    rng: &mut impl Rng,
) -> SmallVec<[Choice; SAMPLE]> {
    let mut drawn: SmallVec<[&Known; 32]> = candidates.collect();
    let preferred = preferred.and_then(|name| {
        let index = drawn.iter().position(|known| known.digest.upstream == name)?;
        Some(drawn.swap_remove(index))
    });
    let sample = SAMPLE.min(drawn.len());
    for index in 0..sample {
        let other = rng.random_range(index..drawn.len());
        drawn.swap(index, other);
    }
    drawn.truncate(sample);
    drawn.sort_by(|a, b| cost(a, data_centre).total_cmp(&cost(b, data_centre)));
    let best = drawn.first().map_or(f64::INFINITY, |known| cost(known, data_centre));
    let (mut first, mut last) = (None, None);
    if let Some(known) = preferred {
        let near = cost(known, data_centre) <= best + AFFINITY_MARGIN;
        *(if near { &mut first } else { &mut last }) = Some(known);
    }
    first.into_iter().chain(drawn).chain(last).take(SAMPLE).map(to_choice).collect()
}

fn to_choice(known: &Known) -> Choice {
    Choice {
        upstream: known.digest.upstream.as_str().into(),
        owner_vm: known.owner_vm.clone(),
        address: known.digest.address.as_str().into(),
    }
}

/// Cost of a hop to another data centre, as a share of a full upstream.
const REMOTE_COST: f64 = 0.01;
/// Cost of a request in flight at a plain upstream.
const IN_FLIGHT_COST: f64 = 0.05;

/// Returns how crowded an upstream is: 0 is idle, 1 is full.
fn cost(known: &Known, data_centre: &str) -> f64 {
    let digest = &known.digest;
    let remote = if digest.data_centre == data_centre { 0.0 } else { REMOTE_COST };
    if digest.cache_tokens == 0 {
        return f64::from(known.in_flight) * IN_FLIGHT_COST + remote;
    }
    let memory = 1.0 - digest.free_tokens as f64 / digest.cache_tokens as f64;
    let slots = f64::from(digest.running) / f64::from(digest.max_running.max(1));
    // Memory decides about preemptions, slots about the time between tokens.
    (memory + slots) / 2.0 + remote
}
