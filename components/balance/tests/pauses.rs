//! Upstreams that want no requests for a time.

use std::time::Duration;

use balance::Pauses;

const HOUR_MS: u64 = 3_600_000;

#[test]
fn upstream_is_paused_until_the_time_that_it_named() {
    let mut pauses = Pauses::default();

    pauses.record("e1", 5, Duration::from_millis(1_500), 1_000);

    assert_eq!(pauses.remaining_ms("e1", 5, 1_000), 1_500);
    assert_eq!(pauses.remaining_ms("e1", 5, 2_499), 1);
    assert_eq!(pauses.remaining_ms("e1", 5, 2_500), 0);
    assert_eq!(pauses.remaining_ms("e2", 5, 1_000), 0);
}

#[test]
fn next_incarnation_is_not_paused() {
    let mut pauses = Pauses::default();

    pauses.record("e1", 5, Duration::from_secs(60), 1_000);

    assert_eq!(pauses.remaining_ms("e1", 9, 2_000), 0);
}

#[test]
fn later_answer_replaces_an_earlier_one() {
    let mut pauses = Pauses::default();

    pauses.record("e1", 5, Duration::from_secs(60), 1_000);
    pauses.record("e1", 5, Duration::from_secs(1), 2_000);

    assert_eq!(pauses.remaining_ms("e1", 5, 2_000), 1_000);
}

#[test]
fn pause_of_more_than_an_hour_counts_as_one() {
    let mut pauses = Pauses::default();

    pauses.record("e1", 5, Duration::MAX, 1_000);
    let longest_ms = pauses.remaining_ms("e1", 5, 1_000);
    pauses.record("e2", 5, Duration::from_secs(1), u64::MAX);

    assert_eq!(longest_ms, HOUR_MS);
    assert_eq!(pauses.remaining_ms("e2", 5, u64::MAX), 0);
}
