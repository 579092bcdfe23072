//! At-most-once records.

use bytes::Bytes;
use schema::command::Body;
use schema::record_outcome::State as Phase;
use schema::{
    BeginRecord, Command, EntryMember, ExpireRecords, FinishRecord, RecordKey, RegisterEntry,
    ReleaseRecord, RemoveEntry, StoredAnswer, Unknown, finish_record,
};
use state::{Applied, Limits, Outcome, State};

const ENTRY: &str = "entry-1";

fn key() -> RecordKey {
    RecordKey { workspace: "w".into(), service: "s".into(), key: "k".into() }
}

fn apply(state: &mut State, now_ms: u64, body: Body) -> Applied {
    state.apply(Command { now_ms, body: Some(body) })
}

fn phase(applied: &Applied) -> Phase {
    match &applied.outcome {
        Outcome::Record(outcome) => outcome.state.clone().expect("record outcome has a state"),
        other => panic!("unexpected outcome: {other:?}"),
    }
}

fn register(state: &mut State, epoch: u64) -> Applied {
    let member = EntryMember { vm: ENTRY.into(), epoch, ..EntryMember::default() };
    apply(state, 0, Body::RegisterEntry(RegisterEntry { member: Some(member) }))
}

fn state_with_entry() -> State {
    let mut state = State::new(Limits { max_records: 2, kept_revisions: 2 });
    register(&mut state, 1);
    state
}

fn begin(state: &mut State, attempt: &'static str, fingerprint: &'static str) -> Phase {
    begin_key(state, key(), attempt, fingerprint)
}

fn begin_key(
    state: &mut State,
    key: RecordKey,
    attempt: &'static str,
    fingerprint: &'static str,
) -> Phase {
    let begin = BeginRecord {
        key: Some(key),
        fingerprint: Bytes::from_static(fingerprint.as_bytes()),
        attempt: Bytes::from_static(attempt.as_bytes()),
        vm: ENTRY.into(),
        epoch: 1,
    };
    phase(&apply(state, 10, Body::BeginRecord(begin)))
}

fn finish(state: &mut State, attempt: &'static str, outcome: finish_record::Outcome) -> Applied {
    let attempt = Bytes::from_static(attempt.as_bytes());
    let finish = FinishRecord { key: Some(key()), attempt, outcome: Some(outcome) };
    apply(state, 20, Body::FinishRecord(finish))
}

fn release(state: &mut State, attempt: &'static str) -> Applied {
    let attempt = Bytes::from_static(attempt.as_bytes());
    apply(state, 20, Body::ReleaseRecord(ReleaseRecord { key: Some(key()), attempt }))
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 200, body: Bytes::from_static(b"done"), ..StoredAnswer::default() }
}

#[test]
fn only_one_of_two_attempts_owns_the_key() {
    let mut state = state_with_entry();

    let first = begin(&mut state, "a", "f");
    let second = begin(&mut state, "b", "f");

    assert!(matches!(first, Phase::Owned(_)));
    assert!(matches!(second, Phase::Running(_)));
}

#[test]
fn repeated_begin_by_the_owner_is_idempotent() {
    let mut state = state_with_entry();

    let first = begin(&mut state, "a", "f");
    let again = begin(&mut state, "a", "f");

    assert_eq!(first, again);
    assert_eq!(state.records().len(), 1);
}

#[test]
fn later_attempts_get_the_stored_answer() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");

    let ended = finish(&mut state, "a", finish_record::Outcome::Answer(answer()));
    let later = begin(&mut state, "b", "f");

    assert_eq!(ended.ended, vec![key()]);
    assert_eq!(later, Phase::Answer(answer()));
}

#[test]
fn different_request_with_the_same_key_conflicts() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");
    let running = begin(&mut state, "b", "other");
    finish(&mut state, "a", finish_record::Outcome::Answer(answer()));

    let ended = begin(&mut state, "b", "other");

    assert!(matches!(running, Phase::Conflict(_)));
    assert!(matches!(ended, Phase::Conflict(_)));
}

#[test]
fn removed_owner_leaves_the_outcome_unknown_after_registering_again() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");

    let removed =
        apply(&mut state, 30, Body::RemoveEntry(RemoveEntry { vm: ENTRY.into(), epoch: 1 }));
    register(&mut state, 1);
    let later = begin(&mut state, "b", "f");

    assert_eq!(removed.ended, vec![key()]);
    assert!(
        matches!(later, Phase::Unknown(_)),
        "the key must not be given to another attempt: {later:?}"
    );
}

#[test]
fn owner_restart_ends_its_running_record() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");

    let registered = register(&mut state, 2);

    assert_eq!(registered.ended, vec![key()]);
}

#[test]
fn late_answer_of_a_removed_owner_is_stored() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");
    apply(&mut state, 30, Body::RemoveEntry(RemoveEntry { vm: ENTRY.into(), epoch: 1 }));

    finish(&mut state, "a", finish_record::Outcome::Answer(answer()));
    let later = begin(&mut state, "b", "f");

    assert_eq!(later, Phase::Answer(answer()));
}

#[test]
fn stored_answer_is_never_replaced() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");
    finish(&mut state, "a", finish_record::Outcome::Answer(answer()));

    finish(&mut state, "a", finish_record::Outcome::Unknown(Unknown::default()));
    release(&mut state, "a");
    let later = begin(&mut state, "b", "f");

    assert_eq!(later, Phase::Answer(answer()));
}

#[test]
fn released_key_can_be_acquired_again() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");

    let released = release(&mut state, "a");
    let next = begin(&mut state, "b", "f");

    assert_eq!(released.ended, vec![key()]);
    assert!(matches!(next, Phase::Owned(_)));
}

#[test]
fn released_attempt_cannot_begin_later() {
    let mut state = state_with_entry();

    release(&mut state, "a");
    let late = begin(&mut state, "a", "f");

    assert!(matches!(late, Phase::Released(_)));
    assert!(state.records().is_empty());
}

#[test]
fn release_by_another_attempt_has_no_effect() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");

    release(&mut state, "b");
    let next = begin(&mut state, "c", "f");

    assert!(matches!(next, Phase::Running(_)));
}

#[test]
fn entry_without_a_lease_cannot_begin_a_record() {
    let mut state = state_with_entry();
    apply(&mut state, 0, Body::RemoveEntry(RemoveEntry { vm: ENTRY.into(), epoch: 1 }));

    let refused = begin(&mut state, "a", "f");

    assert!(matches!(refused, Phase::NotMember(_)));
}

#[test]
fn record_limit_rejects_only_new_keys() {
    let mut state = state_with_entry();
    let named = |name: &str| RecordKey { key: name.into(), ..key() };
    begin_key(&mut state, named("1"), "a", "f");
    begin_key(&mut state, named("2"), "b", "f");

    let new = begin_key(&mut state, named("3"), "c", "f");
    let known = begin_key(&mut state, named("1"), "d", "f");

    assert!(matches!(new, Phase::Full(_)));
    assert!(matches!(known, Phase::Running(_)));
}

#[test]
fn only_ended_records_expire() {
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");
    let expire = || Body::ExpireRecords(ExpireRecords { retention_ms: 50 });

    apply(&mut state, 1_000, expire());
    let while_running = state.records().len();
    finish(&mut state, "a", finish_record::Outcome::Answer(answer()));
    apply(&mut state, 1_049, expire());
    let within_retention = state.records().len();
    apply(&mut state, 1_051, expire());

    assert_eq!((while_running, within_retention, state.records().len()), (1, 1, 0));
}

#[test]
fn snapshot_restores_records_and_released_attempts() {
    let limits = Limits { max_records: 2, kept_revisions: 2 };
    let mut state = state_with_entry();
    begin(&mut state, "a", "f");
    release(&mut state, "gone");

    let mut restored = State::from_bytes(&state.to_bytes(), limits).expect("snapshot decodes");
    let running = begin(&mut restored, "b", "f");
    let released = begin(&mut restored, "gone", "f");
    let removed =
        apply(&mut restored, 30, Body::RemoveEntry(RemoveEntry { vm: ENTRY.into(), epoch: 1 }));

    assert!(matches!(running, Phase::Running(_)));
    assert!(matches!(released, Phase::Released(_)));
    assert_eq!(removed.ended, vec![key()]);
}
