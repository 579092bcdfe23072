//! Records of where streams began, under lost, late and doubled messages.

use lineage::{Origin, OriginLog, Origins, RecordedOrigin, StreamId};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};

const STREAM: StreamId = StreamId(7);

fn origin(service: &str, version: &str) -> Origin {
    Origin { service: service.into(), version: version.into() }
}

#[test]
fn stream_goes_on_only_at_the_version_that_began_it() {
    let begun = origin("llm", "v1");

    assert!(begun.may_continue_at("llm", "v1"));
    assert!(!begun.may_continue_at("llm", "v1.1"));
    assert!(!begun.may_continue_at("llm", ""));
}

#[test]
fn equal_version_names_of_two_services_are_different_origins() {
    assert!(!origin("llm", "v1").may_continue_at("draft-llm", "v1"));
}

#[test]
fn later_grant_replaces_an_earlier_one() {
    let mut origins = Origins::default();

    origins.record_grant(STREAM, &origin("llm", "v1"), 1_000);
    origins.record_grant(STREAM, &origin("llm", "v2"), 1_100);

    assert_eq!(origins.find(STREAM), RecordedOrigin::Granted(origin("llm", "v2")));
}

#[test]
fn late_grant_does_not_change_where_a_stream_began() {
    let mut origins = Origins::default();

    origins.record_begun(STREAM, &origin("llm", "v1"), 1_000);
    origins.record_grant(STREAM, &origin("llm", "v2"), 1_100);

    assert_eq!(origins.find(STREAM), RecordedOrigin::Begun(origin("llm", "v1")));
}

#[test]
fn stream_that_began_elsewhere_than_granted_is_known_by_its_beginning() {
    let mut origins = Origins::default();

    origins.record_grant(STREAM, &origin("llm", "v1"), 1_000);
    origins.record_begun(STREAM, &origin("llm", "v2"), 1_100);

    assert_eq!(origins.find(STREAM), RecordedOrigin::Begun(origin("llm", "v2")));
}

#[test]
fn contradicting_records_are_never_joined() {
    let mut origins = Origins::default();

    origins.record_begun(STREAM, &origin("llm", "v1"), 1_000);
    origins.record_begun(STREAM, &origin("llm", "v2"), 1_100);
    origins.record_begun(STREAM, &origin("llm", "v1"), 1_200);

    assert_eq!(origins.find(STREAM).origin(), None);
    let granted = |version| RecordedOrigin::Granted(origin("llm", version));
    assert_eq!(granted("v1").merge(granted("v2")).origin(), None);
}

#[test]
fn record_is_kept_for_a_minute_and_then_forgotten() {
    let mut origins = Origins::default();
    origins.record_begun(STREAM, &origin("llm", "v1"), 100_000);

    origins.record_begun(StreamId(8), &origin("llm", "v1"), 159_000);
    origins.record_begun(StreamId(9), &origin("llm", "v1"), 161_000);
    let after_a_minute = origins.find(STREAM);
    origins.record_begun(StreamId(10), &origin("llm", "v1"), 230_000);

    assert_eq!(after_a_minute, RecordedOrigin::Begun(origin("llm", "v1")));
    assert_eq!(origins.find(STREAM), RecordedOrigin::Unknown);
}

#[test]
fn number_of_records_is_bounded() {
    let mut origins = Origins::default();

    for number in 1..=1_200_000 {
        origins.record_grant(StreamId(number), &origin("llm", "v1"), 1_000);
    }

    assert!(origins.len() <= 2 * 524_288);
}

#[test]
fn log_names_each_receiver_what_it_has_not_received() {
    let mut log = OriginLog::default();
    log.record(StreamId(1), origin("llm", "v1"), 1_000);
    let cursor = log.last_number();
    log.record(StreamId(2), origin("llm", "v2"), 2_000);

    let new: Vec<_> = log.since(cursor).collect();
    let all = log.since(0).count();

    assert_eq!(new, [(StreamId(2), &origin("llm", "v2"))]);
    assert_eq!(all, 2);
}

#[test]
fn log_finds_where_its_streams_began() {
    let mut log = OriginLog::default();
    log.record(STREAM, origin("llm", "v1"), 1_000);
    log.record(StreamId(8), origin("llm", "v1"), 1_000);
    log.record(StreamId(8), origin("llm", "v2"), 2_000);

    assert_eq!(log.find(STREAM), RecordedOrigin::Begun(origin("llm", "v1")));
    assert_eq!(log.find(StreamId(8)), RecordedOrigin::Conflicting);
    assert_eq!(log.find(StreamId(9)), RecordedOrigin::Unknown);
}

/// Holders of records: the arbiter and other control processes.
const HOLDERS: usize = 3;

/// One stream whose beginning reaches the holders lost, late and doubled, while holders
/// lose their memory; returns what a take-up finds, and where the stream began.
fn explore(seed: u64) -> (RecordedOrigin, Origin) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let versions = [origin("llm", "v1"), origin("llm", "v2"), origin("llm", "v3")];
    let mut holders: Vec<Origins> = (0..HOLDERS).map(|_| Origins::default()).collect();
    // The arbiter, the first holder, grants each attempt in turn.
    let mut begun = Origin::default();
    for _ in 0..rng.random_range(1..=3) {
        begun = versions.choose(&mut rng).cloned().unwrap_or_default();
        holders[0].record_grant(STREAM, &begun, 1_000);
    }
    let mut reports: Vec<usize> = (0..HOLDERS).collect();
    for step in 0..8 {
        let now_ms = 1_000 + step * 100;
        match rng.random_range(0..10) {
            0 if !reports.is_empty() => {
                reports.swap_remove(rng.random_range(0..reports.len()));
            }
            1 => holders[rng.random_range(0..HOLDERS)] = Origins::default(),
            _ => {
                if let Some(holder) = reports.choose(&mut rng) {
                    holders[*holder].record_begun(STREAM, &begun, now_ms);
                }
            }
        }
    }
    // Some holders do not reply to the take-up.
    let replies = holders.iter().filter(|_| rng.random_bool(0.7)).map(|held| held.find(STREAM));
    (replies.fold(RecordedOrigin::Unknown, RecordedOrigin::merge), begun)
}

/// Guards against streams joined from two software versions.
#[test]
fn take_up_finds_the_version_that_began_the_stream_or_none() {
    let mut found = 0;
    for seed in 0..20_000 {
        let (recorded, begun) = explore(seed);

        if let Some(origin) = recorded.origin() {
            assert_eq!(origin, &begun, "seed {seed}");
            found += 1;
        }
    }
    assert!(found > 10_000, "{found} take-ups found an origin");
}
