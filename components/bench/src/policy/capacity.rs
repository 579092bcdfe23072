//! Capacity of one engine for a mix of requests.

use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::engine::{Engine, MAX_RUNNING, Stepped};
use super::mix::{Drawn, Mix};

const US_PER_S: u64 = 1_000_000;
/// Requests over which the capacity of an engine is measured, and how many
/// wait at it all the time.
const CALIBRATION_REQUESTS: usize = 20_000;
const CALIBRATION_WAITING: usize = 8;

/// Returns the requests that one engine completes in a second when it always
/// has more work than it can hold.
pub(super) fn capacity_per_s(mix: &Mix) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut engine = Engine::default();
    let mut started = 0;
    let (mut now_us, mut ended) = (0, 0);
    while ended < CALIBRATION_REQUESTS {
        while engine.in_flight() < MAX_RUNNING + CALIBRATION_WAITING {
            let drawn = mix.draw(&mut rng);
            let rank = mix.priority(drawn.kind).rank;
            let Drawn { prefix, prompt_tokens, output_tokens, .. } = drawn;
            if !engine.start(started, rank, prefix, prompt_tokens, output_tokens) {
                break;
            }
            started += 1;
        }
        let (length_us, stepped) = engine.step();
        now_us += length_us;
        ended += stepped.iter().filter(|s| matches!(s, Stepped::Ended(_))).count();
    }
    ended as f64 / (now_us as f64 / US_PER_S as f64)
}
