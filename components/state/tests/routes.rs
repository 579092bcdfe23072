//! Publication of sets of routes, ordered by operator-chosen numbers.

use schema::command::Body;
use schema::{Command, PublishRoutes, PublishRoutesOutcome, RouteRule, RouteSet};
use state::{Limits, Outcome, State, UnpackError, pack_set, unpack_set};

fn publish(state: &mut State, number: u64, document: &'static [u8]) -> PublishRoutesOutcome {
    let set = RouteSet { number, document: document.into(), ..RouteSet::default() };
    let body = Body::PublishRoutes(PublishRoutes { set: Some(set), ..PublishRoutes::default() });
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

#[test]
fn packed_set_is_small_and_unpacked_unchanged() {
    let route = |index: u32| RouteRule {
        name: format!("r{index}"),
        host: "shop.example".into(),
        path_prefix: format!("/p{index}/"),
        ..RouteRule::default()
    };
    let document = "{\"Host\":\"shop.example\"}".repeat(9_800);
    let routes = (0..9_800).map(route).collect();
    let set = RouteSet { number: 7, routes, document: document.into(), ..RouteSet::default() };

    let packed = pack_set(&set);

    assert!(packed.len() < prost::Message::encoded_len(&set) / 3, "{} bytes", packed.len());
    assert_eq!(unpack_set(&packed).expect("it is sound"), set);
}

#[test]
fn damaged_or_oversized_packed_set_is_refused() {
    let set = RouteSet { number: 7, document: vec![b'x'; 5_000].into(), ..RouteSet::default() };
    let packed = pack_set(&set).to_vec();
    let mut oversized = packed.clone();
    oversized[..4].copy_from_slice(&u32::MAX.to_le_bytes());

    assert!(unpack_set(&packed[..packed.len() / 2]).is_err());
    assert!(unpack_set(&[1, 2]).is_err());
    assert!(matches!(unpack_set(&oversized), Err(UnpackError::TooLarge(_))));
}
