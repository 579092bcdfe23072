//! Crashes for other reasons than the requests.

mod support;

use quarantine::{Crash, Evidence, Feature};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use support::part;

const ENGINES: u64 = 18;
const PREFILL_MS: u64 = 400;
/// Parts that a third of the requests have, and parts that one in 300 has.
const COMMON_PARTS: u64 = 3;
const RARE_PARTS: u64 = 300;

/// Simulated requests on engines that crash in waves, in turn and alone, all for other
/// reasons than the requests; `crashes_per_minute` is the rate. Returns the quarantines.
fn quarantines_of_sound_parts(seed: u64, crashes_per_minute: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evidence = Evidence::new(150);
    // Engine, time of sending and parts of requests whose answer has not begun.
    let mut waiting: Vec<(u64, u64, Vec<Feature>)> = Vec::new();
    let mut answers: Vec<(u64, Feature)> = Vec::new();
    let mut confirmed = 0;
    for now_ms in (0..60_000).step_by(20) {
        if rng.random_bool(0.4) {
            let parts = vec![
                part(1 + rng.random_range(0..COMMON_PARTS)),
                part(100 + rng.random_range(0..RARE_PARTS)),
            ];
            waiting.push((rng.random_range(0..ENGINES), now_ms, parts));
        }
        let crashing = match rng.random_range(0..60_000 / 20) {
            roll if roll < crashes_per_minute / 2 => vec![rng.random_range(0..ENGINES)],
            roll if roll < crashes_per_minute * 5 / 8 => {
                (0..ENGINES).filter(|_| rng.random_bool(0.2)).collect()
            }
            _ => Vec::new(),
        };
        for engine in crashing {
            let lost = waiting.extract_if(.., |(at, ..)| *at == engine).collect::<Vec<_>>();
            for (_, sent_ms, parts) in lost {
                let name = format!("e{engine}");
                let crash =
                    Crash { upstream: name.into(), born_ms: now_ms, sent_ms, at_ms: now_ms };
                evidence.record_crash(crash, &parts, now_ms);
            }
        }
        let begun = waiting.extract_if(.., |(_, sent_ms, _)| now_ms >= *sent_ms + PREFILL_MS);
        // Reports of answers arrive with the next sync.
        let reported_ms = now_ms + rng.random_range(10..100);
        answers.extend(begun.flat_map(|(.., parts)| parts).map(|part| (reported_ms, part)));
        for (_, part) in answers.extract_if(.., |(at_ms, _)| now_ms >= *at_ms) {
            evidence.record_answer(part, now_ms);
        }
        confirmed += evidence.confirm(now_ms, 0).len();
    }
    confirmed
}

#[test]
fn crashes_for_other_reasons_confirm_no_sound_part() {
    for seed in 0..40 {
        assert_eq!(quarantines_of_sound_parts(seed, 8), 0, "seed {seed}");
    }
}

#[test]
fn ten_times_as_many_crashes_for_other_reasons_confirm_no_sound_part() {
    for seed in 0..40 {
        assert_eq!(quarantines_of_sound_parts(seed, 80), 0, "seed {seed}");
    }
}
