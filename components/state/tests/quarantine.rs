//! Quarantine of sets of features.

use quarantine::FeatureSet;
use schema::command::Body;
use schema::{Command, LiftQuarantine, QuarantineParts};
use state::{Limits, State};

const MINUTE_MS: u64 = 60_000;

fn quarantine(state: &mut State, parts: &[u64], now_ms: u64) {
    let command = QuarantineParts { parts: parts.to_vec(), ..QuarantineParts::default() };
    state.apply(Command { now_ms, body: Some(Body::QuarantineParts(command)) });
}

fn quarantine_request(state: &mut State, request: u64, now_ms: u64) {
    let command = QuarantineParts { request, ..QuarantineParts::default() };
    state.apply(Command { now_ms, body: Some(Body::QuarantineParts(command)) });
}

fn rejects(state: &State, parts: &[u64], request: u64, now_ms: u64) -> bool {
    let features = FeatureSet::from_ids(parts, request);
    state.quarantine().rejects(features.as_slice(), now_ms)
}

/// Returns the end of the quarantine of a set, in milliseconds from its start.
fn duration_ms(state: &State, parts: &[u64]) -> Option<u64> {
    let set = state.quarantine().get(&FeatureSet::from_ids(parts, 0))?;
    Some(set.until_ms - set.since_ms)
}

#[test]
fn requests_with_all_parts_of_a_set_are_rejected_until_it_ends() {
    let mut state = State::default();

    quarantine(&mut state, &[7, 3], MINUTE_MS);

    assert!(rejects(&state, &[1, 3, 7], 0, 2 * MINUTE_MS));
    assert!(!rejects(&state, &[1, 3], 0, 2 * MINUTE_MS));
    assert!(!rejects(&state, &[3, 7], 0, 3 * MINUTE_MS));
}

#[test]
fn each_further_quarantine_of_a_set_lasts_longer() {
    let mut state = State::default();

    quarantine(&mut state, &[3], 0);
    let first_ms = duration_ms(&state, &[3]);
    quarantine(&mut state, &[3], 3 * MINUTE_MS);
    let second_ms = duration_ms(&state, &[3]);

    assert_eq!((first_ms, second_ms), (Some(2 * MINUTE_MS), Some(8 * MINUTE_MS)));
}

#[test]
fn quarantine_long_after_an_earlier_one_starts_anew() {
    let mut state = State::default();
    quarantine(&mut state, &[3], 0);

    quarantine(&mut state, &[3], 60 * MINUTE_MS);

    assert_eq!(duration_ms(&state, &[3]), Some(2 * MINUTE_MS));
}

#[test]
fn repeated_command_does_not_extend_the_quarantine() {
    let mut state = State::default();
    quarantine(&mut state, &[3], 0);

    quarantine(&mut state, &[3], MINUTE_MS);
    quarantine(&mut state, &[3, 7], MINUTE_MS);

    let sets: Vec<_> = state.quarantine().iter().collect();
    assert_eq!(sets.len(), 1);
    assert_eq!((sets[0].until_ms, sets[0].count), (2 * MINUTE_MS, 1));
}

#[test]
fn smaller_set_replaces_the_larger_one_and_keeps_its_end() {
    let mut state = State::default();
    quarantine(&mut state, &[3, 7], 0);

    quarantine(&mut state, &[7], MINUTE_MS);

    let sets: Vec<_> = state.quarantine().iter().collect();
    assert_eq!(sets.len(), 1);
    assert_eq!((&sets[0].parts[..], sets[0].until_ms), (&[7][..], 2 * MINUTE_MS));
}

#[test]
fn lifted_set_is_forgotten() {
    let mut state = State::default();
    quarantine(&mut state, &[7, 3], 0);

    let lift = LiftQuarantine { parts: vec![3, 7], ..LiftQuarantine::default() };
    state.apply(Command { now_ms: 1, body: Some(Body::LiftQuarantine(lift)) });

    assert_eq!(state.quarantine().iter().count(), 0);
}

#[test]
fn number_of_sets_is_bounded() {
    let mut state = State::default();

    for part in 0..5_000 {
        quarantine(&mut state, &[part], part);
    }

    assert_eq!(state.quarantine().iter().count(), 4_096);
    assert!(rejects(&state, &[4_999], 0, 5_000));
}

#[test]
fn quarantine_survives_a_snapshot() {
    let mut state = State::default();
    quarantine(&mut state, &[3], 0);

    let restored = State::from_bytes(&state.to_bytes(), Limits::default()).unwrap();

    assert!(rejects(&restored, &[3], 0, MINUTE_MS));
}

#[test]
fn quarantined_request_is_rejected_with_any_parts_and_no_other_one_is() {
    let mut state = State::default();

    quarantine_request(&mut state, 0xf00d, 0);
    let state = State::from_bytes(&state.to_bytes(), Limits::default()).unwrap();

    assert!(rejects(&state, &[], 0xf00d, MINUTE_MS));
    assert!(rejects(&state, &[3], 0xf00d, MINUTE_MS));
    assert!(!rejects(&state, &[3], 0xbad, MINUTE_MS));
}

#[test]
fn lifted_request_is_forgotten() {
    let mut state = State::default();
    quarantine_request(&mut state, 0xf00d, 0);

    let lift = LiftQuarantine { request: 0xf00d, ..LiftQuarantine::default() };
    state.apply(Command { now_ms: 1, body: Some(Body::LiftQuarantine(lift)) });

    assert_eq!(state.quarantine().iter().count(), 0);
}
