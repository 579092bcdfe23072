//! Ends of upstreams that the control group records.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use registry::{TOMBSTONE_RETENTION_MS, end_rank};
use schema::command::Body;
use schema::{Command, EndUpstream, UpstreamPhase, UpstreamRecord};
use state::{Limits, State};

fn ended(id: &str, born_ms: u64, phase: UpstreamPhase) -> UpstreamRecord {
    UpstreamRecord { id: id.into(), born_ms, phase: phase.into(), ..UpstreamRecord::default() }
}

fn record(state: &mut State, upstream: UpstreamRecord, now_ms: u64) {
    let end = EndUpstream { upstream: Some(upstream) };
    state.apply(Command { now_ms, body: Some(Body::EndUpstream(end)) });
}

fn restored(state: &State) -> State {
    State::from_bytes(&state.to_bytes(), Limits::default()).expect("the snapshot is readable")
}

fn ids(state: &State) -> Vec<&str> {
    state.ended_upstreams().iter().map(|(upstream, _)| upstream.id.as_str()).collect()
}

#[test]
fn end_covers_itself_and_earlier_ones() {
    let mut state = State::default();
    record(&mut state, ended("e1", 100, UpstreamPhase::Draining), 0);

    let covers = |born_ms, phase| state.ended_upstreams().covers(&ended("e1", born_ms, phase));

    assert!(covers(100, UpstreamPhase::Draining));
    assert!(covers(50, UpstreamPhase::Gone));
    assert!(!covers(100, UpstreamPhase::Gone));
    assert!(!covers(200, UpstreamPhase::Draining));
}

#[test]
fn end_is_forgotten_after_the_time_that_announcements_may_take() {
    let mut state = State::default();
    record(&mut state, ended("e1", 100, UpstreamPhase::Gone), 1_000);

    record(&mut state, ended("e2", 100, UpstreamPhase::Gone), TOMBSTONE_RETENTION_MS + 999);
    let kept = ids(&state).len();
    record(&mut state, ended("e3", 100, UpstreamPhase::Gone), TOMBSTONE_RETENTION_MS + 1_000);

    assert_eq!(kept, 2);
    assert_eq!(ids(&state), ["e2", "e3"]);
}

/// Guards against a state that grows without bound while upstreams come and go.
#[test]
fn number_of_ends_is_bounded() {
    let mut state = State::default();

    for number in 0..16_500_u64 {
        record(&mut state, ended(&format!("e{number:05}"), 100, UpstreamPhase::Gone), number);
    }

    assert_eq!(ids(&state).len(), 16_384);
    assert!(!ids(&state).contains(&"e00115"), "the first ones are dropped");
    assert!(ids(&state).contains(&"e00116"));
}

proptest! {
    /// The latest end of each upstream is kept, in whatever order ends arrive and wherever a
    /// replica starts from a snapshot.
    #[test]
    fn latest_end_is_kept(
        ends in vec((0_u8..3, 1_u64..4, any::<bool>()), 0..40),
        snapshot_at in 0_usize..40,
    ) {
        let mut state = State::default();
        let mut expected: BTreeMap<String, UpstreamRecord> = BTreeMap::new();
        for (position, (number, born_ms, is_gone)) in ends.into_iter().enumerate() {
            if position == snapshot_at {
                state = restored(&state);
            }
            let phase = if is_gone { UpstreamPhase::Gone } else { UpstreamPhase::Draining };
            let upstream = ended(&format!("e{number}"), born_ms, phase);
            let latest = expected.entry(upstream.id.clone()).or_insert_with(|| upstream.clone());
            if end_rank(&upstream) > end_rank(latest) {
                latest.clone_from(&upstream);
            }

            record(&mut state, upstream, position as u64);

            let kept: Vec<_> = state.ended_upstreams().iter().map(|(kept, _)| kept).collect();
            prop_assert_eq!(kept, expected.values().collect::<Vec<_>>());
        }
    }
}
