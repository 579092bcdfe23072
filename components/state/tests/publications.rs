//! Publications of object sets, concurrent and resent.

use schema::command::Body;
use schema::{Command, Model, ObjectSet, Publish, PublishOutcome};
use state::{Limits, Outcome, State};

fn set(name: &str) -> ObjectSet {
    let model = Model { name: name.into(), context_tokens: 1 };
    ObjectSet { models: vec![model], ..ObjectSet::default() }
}

fn publish(state: &mut State, id: &str, expected_revision: u64) -> PublishOutcome {
    let publish = Publish {
        publication_id: id.into(),
        expected_revision,
        author: format!("author of {id}"),
        set: Some(set(id)),
    };
    match state.apply(Command { now_ms: 0, body: Some(Body::Publish(publish)) }).outcome {
        Outcome::Published(outcome) => outcome,
        other => panic!("unexpected outcome: {other:?}"),
    }
}

#[test]
fn concurrent_publication_is_rejected_with_the_winner() {
    let mut state = State::default();

    let first = publish(&mut state, "a", 0);
    let second = publish(&mut state, "b", 0);

    assert!(first.accepted);
    assert_eq!(
        second,
        PublishOutcome {
            accepted: false,
            revision: 1,
            author: "author of a".into(),
            publication_id: "a".into(),
        }
    );
    assert_eq!(state.current(), (1, Some(&set("a"))));
}

#[test]
fn resent_publication_gets_its_first_outcome_after_later_ones() {
    let mut state = State::default();
    let first = publish(&mut state, "a", 0);
    publish(&mut state, "b", 1);

    let resent = publish(&mut state, "a", 0);

    assert_eq!(first, resent);
    assert_eq!(
        state.current(),
        (2, Some(&set("b"))),
        "a resent publication must not replace a later one"
    );
}

#[test]
fn resent_rejected_publication_gets_the_same_winner() {
    let mut state = State::default();
    publish(&mut state, "a", 0);
    let lost = publish(&mut state, "b", 0);
    publish(&mut state, "c", 1);

    let resent = publish(&mut state, "b", 0);

    assert_eq!(resent.publication_id, lost.publication_id);
    assert!(!resent.accepted);
}

#[test]
fn old_revisions_lose_their_set_and_keep_their_publication_id() {
    let mut state = State::new(Limits { max_records: 1, kept_revisions: 2 });
    for revision in 0..1_000 {
        assert!(publish(&mut state, &format!("p{revision}"), revision).accepted);
    }

    let kept = (1..=1_000).filter(|revision| {
        state.publications().get(*revision).is_some_and(|stored| stored.set.is_some())
    });

    assert_eq!(kept.collect::<Vec<_>>(), vec![999, 1_000]);
    assert_eq!(publish(&mut state, "p3", 3).revision, 4);
}

#[test]
fn snapshot_restores_revisions_and_publication_ids() {
    let mut state = State::default();
    publish(&mut state, "a", 0);
    publish(&mut state, "b", 1);

    let mut restored =
        State::from_bytes(&state.to_bytes(), Limits::default()).expect("snapshot decodes");

    assert_eq!(restored.current(), (2, Some(&set("b"))));
    assert_eq!(publish(&mut restored, "a", 0).revision, 1);
}
