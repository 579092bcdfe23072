//! Look-ups of a stream's origin during a release, by a gateway that reaches only some of the
//! control processes.

use lineage::{Origin, OriginSearch, RecordedOrigin};

fn origin(version: &str) -> Origin {
    Origin { service: "llm".into(), version: version.into() }
}

fn search(answers: &[Option<RecordedOrigin>], all_asked: bool) -> RecordedOrigin {
    let mut search = OriginSearch::default();
    answers.iter().for_each(|answer| search.add(answer.clone()));
    search.conclude(all_asked)
}

/// The arbiter granted a slot at v1, its reply was lost, and the stream began at v2, as a
/// control process knows that cannot be reached.
#[test]
fn grant_does_not_count_while_a_control_process_is_out_of_reach() {
    let granted = RecordedOrigin::Granted(origin("v1"));

    assert_eq!(search(&[Some(granted.clone()), None], true), RecordedOrigin::Unknown);
    assert_eq!(search(&[Some(granted.clone())], false), RecordedOrigin::Unknown);
    let answers = [Some(granted.clone()), Some(RecordedOrigin::Unknown)];
    assert_eq!(search(&answers, true), granted);
}

#[test]
fn where_a_stream_began_counts_whoever_else_is_out_of_reach() {
    let begun = RecordedOrigin::Begun(origin("v2"));
    let granted = RecordedOrigin::Granted(origin("v1"));

    assert_eq!(search(&[Some(granted), Some(begun.clone()), None], false), begun);
}
