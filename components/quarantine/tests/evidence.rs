//! Evidence against prompt parts and requests, for patterns of crashes and requests.

use quarantine::{Crash, Evidence, Feature, FeatureSet, Fingerprint, PartId};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const CLASS: Feature = part(0xc1a55);
const CALLER: Feature = part(0xca11);
const CRASHING: Feature = part(0xdead);
const OTHER_CRASHING: Feature = part(0xdead2);
const REQUEST: Feature = request(0xf00d);

const fn part(id: u64) -> Feature {
    Feature::Part(PartId(id))
}

const fn request(id: u64) -> Feature {
    Feature::Request(Fingerprint(id))
}

fn crash(upstream: &str, at_ms: u64) -> Crash {
    Crash { upstream: upstream.into(), born_ms: 0, sent_ms: at_ms.saturating_sub(300), at_ms }
}

fn set<const N: usize>(parts: [Feature; N]) -> FeatureSet {
    FeatureSet::new(parts)
}

/// Records a crash of each upstream in turn under the same parts, a second apart.
fn record_crashes(evidence: &mut Evidence, count: u64, parts: &[Feature]) -> u64 {
    for number in 1..=count {
        let at_ms = number * 1_000;
        evidence.record_crash(crash(&format!("e{number}"), at_ms), parts, at_ms);
    }
    count * 1_000
}

#[test]
fn third_crash_in_a_row_confirms_the_part() {
    let mut evidence = Evidence::default();

    let now_ms = record_crashes(&mut evidence, 2, &[CRASHING]);
    let after_two = evidence.confirm(now_ms, 0);
    evidence.record_crash(crash("e3", 3_000), &[CRASHING], 3_000);

    assert_eq!(after_two, []);
    assert_eq!(evidence.confirm(3_000, 0), [set([CRASHING])]);
}

#[test]
fn crash_counts_once_however_many_gateways_report_it() {
    let mut evidence = Evidence::default();

    for gateway in 0..20 {
        let mut report = crash("e1", 1_000 + gateway);
        report.sent_ms = 900 + gateway;
        evidence.record_crash(report, &[CRASHING], 1_100);
    }

    assert_eq!(evidence.confirm(1_100, 0), []);
}

#[test]
fn sound_parts_that_came_with_a_crashing_one_are_cleared_by_answers() {
    let mut evidence = Evidence::default();

    for number in 1..=3 {
        let at_ms = number * 1_000;
        evidence.record_answer(CLASS, at_ms - 100);
        evidence.record_answer(CALLER, at_ms - 50);
        let parts = [CLASS, CALLER, CRASHING];
        evidence.record_crash(crash(&format!("e{number}"), at_ms), &parts, at_ms);
    }

    assert_eq!(evidence.confirm(3_000, 0), [set([CRASHING])]);
}

#[test]
fn parts_without_answers_are_confirmed_only_together() {
    let mut evidence = Evidence::default();

    let now_ms = record_crashes(&mut evidence, 3, &[CALLER, CRASHING]);

    assert_eq!(evidence.confirm(now_ms, 0), [set([CALLER, CRASHING])]);
}

#[test]
fn crashing_part_that_later_comes_with_another_one_is_confirmed_by_two_more_crashes() {
    let mut evidence = Evidence::default();
    let now_ms = record_crashes(&mut evidence, 3, &[CALLER, CRASHING]);
    evidence.confirm(now_ms, 0);

    for (number, caller) in [(4, part(0xa)), (5, part(0xb))] {
        let at_ms = number * 1_000;
        evidence.record_crash(crash(&format!("e{number}"), at_ms), &[caller, CRASHING], at_ms);
    }

    assert_eq!(evidence.confirm(5_000, 0), [set([CRASHING])]);
}

#[test]
fn two_crashing_parts_at_once_are_both_confirmed() {
    let mut evidence = Evidence::default();

    for number in 1..=3 {
        let at_ms = number * 2_000;
        evidence.record_answer(CALLER, at_ms - 10);
        let name = format!("a{number}");
        evidence.record_crash(crash(&name, at_ms), &[CALLER, CRASHING], at_ms);
        evidence.record_answer(CALLER, at_ms + 500);
        let name = format!("b{number}");
        evidence.record_crash(
            crash(&name, at_ms + 1_000),
            &[CALLER, OTHER_CRASHING],
            at_ms + 1_000,
        );
    }

    let mut confirmed = evidence.confirm(7_000, 0);
    confirmed.sort();
    assert_eq!(confirmed, [set([CRASHING]), set([OTHER_CRASHING])]);
}

#[test]
fn request_with_many_parts_does_not_hide_the_crashing_one() {
    let mut evidence = Evidence::default();

    for number in 1..=3 {
        let at_ms = number * 1_000;
        let fresh = (0..1_000).map(|index| part(number * 10_000 + index));
        let parts: Vec<Feature> = fresh.chain([CRASHING]).collect();
        evidence.record_crash(crash(&format!("e{number}"), at_ms), &parts, at_ms);
    }

    assert_eq!(evidence.confirm(3_000, 0), [set([CRASHING])]);
}

#[test]
fn invented_parts_do_not_push_out_a_true_one_and_memory_is_bounded() {
    let mut evidence = Evidence::default();
    record_crashes(&mut evidence, 2, &[CRASHING]);

    for number in 0..20 {
        let at_ms = 10_000 + number * 1_000;
        let invented: Vec<Feature> =
            (0..1_000).map(|index| part(0x1000_0000 + number * 10_000 + index)).collect();
        evidence.record_crash(crash(&format!("x{number}"), at_ms), &invented, at_ms);
        for index in 0..1_000 {
            let answered = part((0x1000_0000 + number * 10_000 + index) << 32);
            evidence.record_answer(answered, at_ms);
        }
    }
    evidence.record_crash(crash("e3", 40_000), &[CRASHING], 40_000);

    assert!(evidence.suspects() <= 4_096);
    assert!(evidence.answered() <= 2 * 65_536);
    assert_eq!(evidence.confirm(40_000, 0), [set([CRASHING])]);
}

#[test]
fn wave_of_crashes_at_one_moment_confirms_no_part() {
    let mut evidence = Evidence::default();

    for number in 0..18 {
        let at_ms = 1_000 + number * 10;
        let mut report = crash(&format!("e{number}"), at_ms);
        report.sent_ms = 900;
        evidence.record_crash(report, &[CLASS, CALLER], at_ms);
    }

    assert_eq!(evidence.confirm(10_000, 0), []);
}

#[test]
fn requests_with_a_crashing_part_that_are_sent_at_once_confirm_it_by_three_crashes() {
    let mut evidence = Evidence::default();

    for (number, at_ms) in [(1, 4_924), (2, 5_039), (3, 5_176)] {
        let mut report = crash(&format!("e{number}"), at_ms);
        report.sent_ms = 4_500;
        evidence.record_crash(report, &[CRASHING], at_ms);
    }

    assert_eq!(evidence.confirm(5_176, 0), [set([CRASHING])]);
}

#[test]
fn flood_of_requests_with_a_crashing_part_confirms_it() {
    let mut evidence = Evidence::default();

    for number in 0..10 {
        let at_ms = 1_000 + number * 20;
        let mut report = crash(&format!("e{number}"), at_ms);
        report.sent_ms = at_ms - 30;
        evidence.record_crash(report, &[CRASHING], at_ms);
    }

    assert_eq!(evidence.confirm(1_200, 0), [set([CRASHING])]);
}

#[test]
fn late_reports_of_a_crash_with_a_known_cause_count_against_no_other_part() {
    let mut evidence = Evidence::default();
    let now_ms = record_crashes(&mut evidence, 3, &[CRASHING]);
    evidence.confirm(now_ms, 0);

    record_crashes(&mut evidence, 3, &[CALLER]);

    assert_eq!(evidence.confirm(10_000, 0), []);
}

#[test]
fn answer_during_the_confirmation_clears_the_part() {
    let mut evidence = Evidence::new(150);
    let now_ms = record_crashes(&mut evidence, 3, &[CLASS, CRASHING]);
    let at_once = evidence.confirm(now_ms, 0);

    evidence.record_answer(CLASS, now_ms + 80);

    assert_eq!(at_once, []);
    assert_eq!(evidence.pending().collect::<Vec<_>>(), [set([CRASHING])]);
    assert_eq!(evidence.confirm(now_ms + 150, 0), [set([CRASHING])]);
}

#[test]
fn part_is_confirmed_sooner_once_all_entries_have_reported_their_answers() {
    let mut evidence = Evidence::new(150);
    let now_ms = record_crashes(&mut evidence, 3, &[CRASHING]);

    let before = evidence.confirm(now_ms + 20, now_ms);
    let after = evidence.confirm(now_ms + 20, now_ms + 10);

    assert_eq!((before, after), (vec![], vec![set([CRASHING])]));
}

#[test]
fn part_that_starts_to_crash_engines_after_answers_is_confirmed() {
    let mut evidence = Evidence::default();
    evidence.record_answer(CRASHING, 900);

    let now_ms = record_crashes(&mut evidence, 3, &[CRASHING]);

    assert_eq!(evidence.confirm(now_ms, 0), [set([CRASHING])]);
}

#[test]
fn request_is_repeated_after_a_crash_only_if_its_parts_were_answered_lately() {
    let mut evidence = Evidence::default();
    evidence.record_answer(CLASS, 500);
    evidence.record_crash(crash("e1", 1_000), &[CLASS, CRASHING], 1_000);

    assert!(evidence.may_repeat(&[CLASS], false, 1_000));
    assert!(!evidence.may_repeat(&[CLASS, CRASHING], false, 1_000));
    evidence.record_crash(crash("e2", 2_000), &[CLASS], 2_000);
    assert!(!evidence.may_repeat(&[CLASS], false, 2_000));
}

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

/// Guards against a request without prompt parts that crashes one upstream after another.
#[test]
fn request_that_crashes_each_upstream_is_confirmed_by_the_third_crash() {
    let mut evidence = Evidence::default();

    let now_ms = record_crashes(&mut evidence, 3, &[REQUEST]);

    assert_eq!(evidence.confirm(now_ms, 0), [set([REQUEST])]);
}

#[test]
fn crashing_request_with_parts_that_nobody_else_uses_is_confirmed_without_them() {
    let mut evidence = Evidence::default();

    let now_ms = record_crashes(&mut evidence, 3, &[CLASS, CALLER, REQUEST]);

    assert_eq!(evidence.confirm(now_ms, 0), [set([REQUEST])]);
}

#[test]
fn crashing_part_is_confirmed_without_the_requests_that_came_with_it() {
    let mut evidence = Evidence::default();

    for number in 1..=3 {
        let at_ms = number * 1_000;
        let features = [CRASHING, request(number)];
        evidence.record_crash(crash(&format!("e{number}"), at_ms), &features, at_ms);
    }

    assert_eq!(evidence.confirm(3_000, 0), [set([CRASHING])]);
}

#[test]
fn crashing_part_is_confirmed_by_two_more_crashes_after_one_of_its_requests() {
    let mut evidence = Evidence::default();
    let now_ms = record_crashes(&mut evidence, 3, &[CRASHING, REQUEST]);
    let first = evidence.confirm(now_ms, 0);

    for number in 4..=5 {
        let at_ms = number * 1_000;
        let features = [CRASHING, request(number)];
        evidence.record_crash(crash(&format!("e{number}"), at_ms), &features, at_ms);
    }

    assert_eq!(first, [set([REQUEST])]);
    assert_eq!(evidence.confirm(5_000, 0), [set([CRASHING])]);
}

#[test]
fn answer_to_a_request_clears_it() {
    let mut evidence = Evidence::default();
    let now_ms = record_crashes(&mut evidence, 2, &[REQUEST]);

    evidence.record_answer(REQUEST, now_ms + 100);
    evidence.record_crash(crash("e3", now_ms + 1_000), &[REQUEST], now_ms + 1_000);

    assert_eq!(evidence.confirm(now_ms + 1_000, 0), []);
}

#[test]
fn request_without_parts_is_repeated_after_its_first_crash_only() {
    let mut evidence = Evidence::default();

    evidence.record_crash(crash("e1", 1_000), &[REQUEST], 1_000);
    let after_one = evidence.may_repeat(&[REQUEST], false, 1_000);
    evidence.record_crash(crash("e2", 2_000), &[REQUEST], 2_000);

    assert!(after_one);
    assert!(!evidence.may_repeat(&[REQUEST], false, 2_000));
}

/// Guards against a sound look-up under quarantine because upstreams crashed around it.
#[test]
fn same_request_at_ten_upstreams_that_crash_at_one_moment_is_not_confirmed() {
    let mut evidence = Evidence::default();

    for number in 0..10 {
        let at_ms = 1_000 + number * 10;
        let mut report = crash(&format!("e{number}"), at_ms);
        report.sent_ms = 950;
        evidence.record_crash(report, &[REQUEST], at_ms);
    }

    assert_eq!(evidence.confirm(10_000, 0), []);
}

#[test]
fn million_invented_requests_a_minute_do_not_push_out_a_crashing_one() {
    let mut evidence = Evidence::default();
    record_crashes(&mut evidence, 2, &[REQUEST]);

    for number in 0..1_000_000 {
        let at_ms = 3_000 + number * 60 / 1_000;
        let invented = request(0x1_0000_0000 + number);
        if number % 100 == 0 {
            let upstream = format!("x{}", number / 5_000);
            evidence.record_crash(crash(&upstream, at_ms), &[invented], at_ms);
        } else {
            evidence.record_answer(invented, at_ms);
        }
    }
    evidence.record_crash(crash("e3", 64_000), &[REQUEST], 64_000);

    assert!(evidence.suspects() <= 4_096);
    assert_eq!(evidence.answered(), 0);
    assert_eq!(evidence.confirm(64_000, 0), [set([REQUEST])]);
}

#[test]
fn request_that_is_repeated_within_the_millisecond_of_each_crash_is_confirmed() {
    let mut evidence = Evidence::default();

    for (number, sent_ms, at_ms) in [(1, 1_000, 1_002), (2, 1_002, 1_003), (3, 1_002, 1_003)] {
        let report = Crash { sent_ms, ..crash(&format!("e{number}"), at_ms) };
        evidence.record_crash(report, &[REQUEST], at_ms);
    }

    assert_eq!(evidence.confirm(1_003, 0), [set([REQUEST])]);
}

/// Guards against a request that takes down all upstreams of a small service at once.
#[test]
fn request_without_parts_that_was_alone_at_a_crashed_upstream_is_not_repeated() {
    let mut evidence = Evidence::default();

    evidence.record_crash(crash("e1", 1_000), &[REQUEST], 1_000);

    assert!(!evidence.may_repeat(&[REQUEST], true, 1_000));
}
