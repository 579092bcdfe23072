//! Publications and racing operators.

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
        other => panic!("no publication outcome: {other:?}"),
    }
}

#[test]
fn one_of_two_racing_operators_wins_and_the_other_learns_whose() {
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
fn a_resent_publication_gets_the_first_answer_even_after_others() {
    let mut state = State::default();
    let first = publish(&mut state, "a", 0);
    publish(&mut state, "b", 1);

    let resent = publish(&mut state, "a", 0);

    assert_eq!(first, resent);
    assert_eq!(state.current(), (2, Some(&set("b"))), "a resend must not revert");
}

#[test]
fn a_resent_loser_keeps_losing_to_the_same_winner() {
    let mut state = State::default();
    publish(&mut state, "a", 0);
    let lost = publish(&mut state, "b", 0);
    publish(&mut state, "c", 1);

    let resent = publish(&mut state, "b", 0);

    assert_eq!(resent.publication_id, lost.publication_id);
    assert!(!resent.accepted);
}

#[test]
fn sets_of_old_revisions_are_dropped_and_their_ids_remembered() {
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
fn a_snapshot_keeps_revisions_and_ids() {
    let mut state = State::default();
    publish(&mut state, "a", 0);
    publish(&mut state, "b", 1);

    let mut restored = State::from_bytes(&state.to_bytes(), Limits::default()).expect("it decodes");

    assert_eq!(restored.current(), (2, Some(&set("b"))));
    assert_eq!(publish(&mut restored, "a", 0).revision, 1);
}
