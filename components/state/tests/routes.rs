//! Publication of sets of routes, ordered by operator-chosen numbers.

use schema::command::Body;
use schema::{Command, PublishRoutes, PublishRoutesOutcome, RouteSet};
use state::{Limits, Outcome, State};

fn publish(state: &mut State, number: u64, document: &'static [u8]) -> PublishRoutesOutcome {
    let set = RouteSet { number, document: document.into(), ..RouteSet::default() };
    let body = Body::PublishRoutes(PublishRoutes { set: Some(set) });
    match state.apply(Command { now_ms: 1, body: Some(body) }).outcome {
        Outcome::RoutesPublished(outcome) => outcome,
        other => panic!("unexpected outcome {other:?}"),
    }
}

#[test]
fn greater_number_replaces_the_route_set() {
    let mut state = State::new(Limits::default());
    publish(&mut state, 3, b"three");

    let outcome = publish(&mut state, 7, b"seven");

    assert_eq!(outcome, PublishRoutesOutcome { number: 7, changed: true });
    assert_eq!(state.routes().current().document.as_ref(), b"seven");
}

#[test]
fn lower_or_equal_number_is_ignored() {
    let mut state = State::new(Limits::default());
    publish(&mut state, 7, b"seven");

    let older = publish(&mut state, 3, b"three");
    let same = publish(&mut state, 7, b"other");

    assert_eq!(older, PublishRoutesOutcome { number: 7, changed: false });
    assert_eq!(same, PublishRoutesOutcome { number: 7, changed: false });
    assert_eq!(state.routes().current().document.as_ref(), b"seven");
}

#[test]
fn snapshot_restores_the_route_set() {
    let mut state = State::new(Limits::default());
    publish(&mut state, 9, b"nine");

    let restored = State::from_bytes(&state.to_bytes(), Limits::default()).unwrap();

    assert_eq!(restored.routes().current(), state.routes().current());
}
