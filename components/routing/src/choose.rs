//! Choice between upstreams by load and prefix affinity.

use compact_str::CompactString;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

use crate::directory::RoutableUpstream;

/// Number of candidates sampled for one request, and maximum number returned.
const SAMPLE_SIZE: usize = 3;
/// Cost by which an upstream that holds the prompt's prefix may exceed the best
/// sampled candidate and still be preferred.
const AFFINITY_MARGIN: f64 = 0.05;

/// Upstream to try for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamChoice {
    /// Name of the upstream.
    pub upstream: CompactString,
    /// VM of the entry that owns the upstream.
    pub owner_vm: CompactString,
    /// Address on which the upstream accepts requests.
    pub address: CompactString,
}

/// Returns at most three upstreams in the order in which to try them.
///
/// A few candidates are sampled at random and sorted by load: load reports lag,
/// so if every entry took the least loaded of all upstreams, they would all send
/// to the same one. The upstream named `preferred`, which may hold the prompt's
/// prefix, comes first unless its cost exceeds that of the best sampled candidate
/// by more than a margin; in that case it comes last, or is left out if the sample
/// is complete. Between equally loaded candidates, one in the entry's own data
/// centre wins.
pub fn choose_upstreams<'a>(
    candidates: impl Iterator<Item = &'a RoutableUpstream>,
    preferred: Option<&str>,
    data_centre: &str,
    rng: &mut impl Rng,
) -> SmallVec<[UpstreamChoice; SAMPLE_SIZE]> {
    let mut sampled: SmallVec<[&RoutableUpstream; 32]> = candidates.collect();
    let preferred = preferred.and_then(|name| {
        let index = sampled.iter().position(|upstream| upstream.digest.upstream == name)?;
        Some(sampled.swap_remove(index))
    });
    let sample_size = SAMPLE_SIZE.min(sampled.len());
    for index in 0..sample_size {
        let other = rng.random_range(index..sampled.len());
        sampled.swap(index, other);
    }
    sampled.truncate(sample_size);
    sampled.sort_by(|a, b| cost(a, data_centre).total_cmp(&cost(b, data_centre)));
    let best = sampled.first().map_or(f64::INFINITY, |upstream| cost(upstream, data_centre));
    let (mut first, mut last) = (None, None);
    if let Some(upstream) = preferred {
        let is_close = cost(upstream, data_centre) <= best + AFFINITY_MARGIN;
        *(if is_close { &mut first } else { &mut last }) = Some(upstream);
    }
    first.into_iter().chain(sampled).chain(last).take(SAMPLE_SIZE).map(to_choice).collect()
}

fn to_choice(upstream: &RoutableUpstream) -> UpstreamChoice {
    UpstreamChoice {
        upstream: upstream.digest.upstream.as_str().into(),
        owner_vm: upstream.owner_vm.clone(),
        address: upstream.digest.address.as_str().into(),
    }
}

/// Cost of a hop to another data centre, as a fraction of the load of a full
/// upstream.
const REMOTE_COST: f64 = 0.01;
/// Cost of each request that this entry has in flight at an upstream without a KV
/// cache.
const IN_FLIGHT_COST: f64 = 0.05;

/// Returns the cost of sending a request to an upstream: its load plus the cost of
/// a hop to another data centre. The load of an engine ranges from 0 (idle) to 1
/// (full); that of an upstream without a KV cache is not limited.
fn cost(upstream: &RoutableUpstream, data_centre: &str) -> f64 {
    let digest = &upstream.digest;
    let remote = if digest.data_centre == data_centre { 0.0 } else { REMOTE_COST };
    if digest.cache_tokens == 0 {
        return f64::from(upstream.in_flight) * IN_FLIGHT_COST + remote;
    }
    let cache_load = 1.0 - digest.free_tokens as f64 / digest.cache_tokens as f64;
    let slot_load = f64::from(digest.running) / f64::from(digest.max_running.max(1));
    // KV cache usage determines preemptions; occupied slots determine the time
    // between tokens.
    (cache_load + slot_load) / 2.0 + remote
}
