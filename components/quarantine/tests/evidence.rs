//! Evidence against prompt parts, for patterns of crashes and requests.

mod support;

use quarantine::{Evidence, Feature};
use support::*;

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
