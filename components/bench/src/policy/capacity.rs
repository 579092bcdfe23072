//! Capacity of one simulated engine under a request mix.

use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::engine::{Engine, MAX_RUNNING, StepEvent};
use super::mix::{Mix, SampledRequest};

const US_PER_S: u64 = 1_000_000;
/// Completed requests over which the capacity of an engine is measured.
const CALIBRATION_REQUESTS: usize = 20_000;
/// Requests kept in flight beyond [`MAX_RUNNING`], so that some always wait and the
/// engine runs at capacity.
const CALIBRATION_WAITING: usize = 8;

/// Returns the requests per second that one engine completes when it is
/// saturated.
pub(super) fn capacity_per_s(mix: &Mix) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut engine = Engine::default();
    let mut started = 0;
    let (mut now_us, mut completed) = (0, 0);
    while completed < CALIBRATION_REQUESTS {
        while engine.in_flight() < MAX_RUNNING + CALIBRATION_WAITING {
            let request = mix.sample(&mut rng);
            let rank = mix.priority(request.kind).rank;
            let SampledRequest { prefix, prompt_tokens, output_tokens, .. } = request;
            if !engine.start(started, rank, prefix, prompt_tokens, output_tokens) {
                break;
            }
            started += 1;
        }
        let (duration_us, events) = engine.step();
        now_us += duration_us;
        completed += events.iter().filter(|event| matches!(event, StepEvent::Completed(_))).count();
    }
    completed as f64 / (now_us as f64 / US_PER_S as f64)
}
