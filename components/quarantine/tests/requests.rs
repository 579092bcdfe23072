//! Evidence against requests as a whole, for patterns of crashes.

mod support;

use quarantine::{Crash, Evidence};
use support::*;

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
