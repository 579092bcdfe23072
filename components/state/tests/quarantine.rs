//! Quarantine of sets of prompt parts.

use schema::command::Body;
use schema::{Command, LiftQuarantine, QuarantineParts};
use state::{Limits, State};

const MINUTE_MS: u64 = 60_000;

fn quarantine(state: &mut State, parts: &[u64], now_ms: u64) {
    let command = QuarantineParts { parts: parts.to_vec(), operator: String::new() };
    state.apply(Command { now_ms, body: Some(Body::QuarantineParts(command)) });
}

/// Returns the end of the quarantine of a set, in milliseconds from its start.
fn duration_ms(state: &State, parts: &[u64]) -> Option<u64> {
    let set = state.quarantine().get(parts)?;
    Some(set.until_ms - set.since_ms)
}

#[test]
fn requests_with_all_parts_of_a_set_are_rejected_until_it_ends() {
    let mut state = State::default();

    quarantine(&mut state, &[7, 3], MINUTE_MS);

    let rejects = |parts: &[u64], now_ms| state.quarantine().rejects(parts, now_ms);
    assert!(rejects(&[1, 3, 7], 2 * MINUTE_MS));
    assert!(!rejects(&[1, 3], 2 * MINUTE_MS));
    assert!(!rejects(&[3, 7], 3 * MINUTE_MS));
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

    let lift = LiftQuarantine { parts: vec![3, 7] };
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
    assert!(state.quarantine().rejects(&[4_999], 5_000));
}

#[test]
fn quarantine_survives_a_snapshot() {
    let mut state = State::default();
    quarantine(&mut state, &[3], 0);

    let restored = State::from_bytes(&state.to_bytes(), Limits::default()).unwrap();

    assert!(restored.quarantine().rejects(&[3], MINUTE_MS));
}
