//! Choice between upstreams.

use compact_str::CompactString;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::directory::Known;

/// Upstreams that are looked at for one request.
const SAMPLE: usize = 3;
/// Free share of the cache below which affinity is ignored.
const AFFINITY_MIN_FREE: f64 = 0.2;

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
/// crowded, and one in the entry's own data centre wins between equals.
pub fn choose<'a>(
    candidates: impl Iterator<Item = &'a Known>,
    preferred: Option<&str>,
    data_centre: &str,
    rng: &mut impl Rng,
) -> SmallVec<[Choice; SAMPLE]> {
    let mut drawn: SmallVec<[&Known; 32]> = candidates.collect();
    let preferred = preferred.and_then(|name| {
        let known = drawn.iter().position(|known| known.digest.upstream == name)?;
        (free_share(drawn[known]) >= AFFINITY_MIN_FREE).then_some(known)
    });
    let first = preferred.map(|index| drawn.swap_remove(index));
    let sample = SAMPLE.min(drawn.len());
    for index in 0..sample {
        let other = rng.random_range(index..drawn.len());
        drawn.swap(index, other);
    }
    drawn.truncate(sample);
    drawn.sort_by(|a, b| cost(a, data_centre).total_cmp(&cost(b, data_centre)));
    first.into_iter().chain(drawn).take(SAMPLE).map(to_choice).collect()
}

fn to_choice(known: &Known) -> Choice {
    Choice {
        upstream: known.digest.upstream.as_str().into(),
        owner_vm: known.owner_vm.clone(),
        address: known.digest.address.as_str().into(),
    }
}

fn free_share(known: &Known) -> f64 {
    let digest = &known.digest;
    if digest.cache_tokens == 0 {
        return 1.0;
    }
    digest.free_tokens as f64 / digest.cache_tokens as f64
}

/// Cost of a hop to another data centre, as a share of the cache.
const REMOTE_COST: f64 = 0.02;
/// Cost of a request in flight at a plain upstream.
const IN_FLIGHT_COST: f64 = 0.05;

fn cost(known: &Known, data_centre: &str) -> f64 {
    let remote = if known.digest.data_centre == data_centre { 0.0 } else { REMOTE_COST };
    let in_flight = f64::from(known.in_flight) * IN_FLIGHT_COST;
    let used = if known.digest.cache_tokens == 0 { in_flight } else { 1.0 - free_share(known) };
    used + remote
}
