//! Announcements that are delayed, repeated or from another incarnation.

use std::net::SocketAddr;

use registry::{AnnounceOutcome, MergedRegistry, Registry, UpstreamChange};
use schema::{UpstreamPhase, UpstreamRecord};

const INTERVAL_MS: u64 = 1_000;

fn record(born_ms: u64, sequence: u64, phase: UpstreamPhase) -> UpstreamRecord {
    UpstreamRecord {
        id: "e1".into(),
        service: "llm".into(),
        address: "10.0.0.1:80".into(),
        data_centre: "a".into(),
        slots: 4,
        born_ms,
        sequence,
        phase: phase.into(),
        warm_up_ms: 0,
        version: "v1".into(),
        ends_newest: false,
    }
}

fn versioned(born_ms: u64, sequence: u64, version: &str) -> UpstreamRecord {
    UpstreamRecord { version: version.into(), ..record(born_ms, sequence, UpstreamPhase::Ready) }
}

fn known_version(fleet: &MergedRegistry) -> &str {
    &fleet.get("e1").expect("the upstream is known").record.version
}

/// Records that changed after a version.
fn changes(registry: &Registry, version: u64) -> Vec<UpstreamRecord> {
    registry.changes_since(version, usize::MAX).records.into_iter().cloned().collect()
}

fn source(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, last], 7_200))
}

#[test]
fn delayed_ready_announcement_does_not_cancel_a_drain() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(5, 1, UpstreamPhase::Ready), 0);
    registry.apply_announcement(record(5, 3, UpstreamPhase::Draining), 10);

    let late = registry.apply_announcement(record(5, 2, UpstreamPhase::Ready), 20);

    assert_eq!(late, AnnounceOutcome::Outdated);
}

#[test]
fn draining_incarnation_does_not_become_ready_again() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(5, 1, UpstreamPhase::Draining), 0);

    let again = registry.apply_announcement(record(5, 2, UpstreamPhase::Ready), 10);

    assert_eq!(again, AnnounceOutcome::Unchanged);
    assert_eq!(changes(&registry, 0)[0].phase(), UpstreamPhase::Draining);
}

#[test]
fn announcement_of_an_earlier_incarnation_is_outdated() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(9, 1, UpstreamPhase::Ready), 0);

    assert_eq!(
        registry.apply_announcement(record(5, 70, UpstreamPhase::Ready), 10),
        AnnounceOutcome::Outdated
    );
}

#[test]
fn gone_announcement_without_start_time_ends_the_known_incarnation() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(9, 1, UpstreamPhase::Ready), 0);

    let end = registry.apply_announcement(record(0, 0, UpstreamPhase::Gone), 10);

    assert_eq!(end, AnnounceOutcome::Changed(2));
    let later = registry.apply_announcement(record(9, 2, UpstreamPhase::Ready), 20);
    assert_eq!(later, AnnounceOutcome::Unchanged);
}

#[test]
fn upstream_without_announcements_is_silent_until_the_next_one() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(5, 1, UpstreamPhase::Ready), 0);

    let silent = registry.expire(INTERVAL_MS, 5_000);

    assert_eq!(silent, ["e1"]);
    let outcome = registry.apply_announcement(record(5, 2, UpstreamPhase::Ready), 5_100);
    assert_eq!(outcome, AnnounceOutcome::Changed(3));
}

#[test]
fn draining_from_one_control_process_overrides_ready_from_another() {
    let mut merged = MergedRegistry::default();
    merged.apply(source(1), true, vec![record(5, 1, UpstreamPhase::Ready)], 0);

    let changes = merged.apply(source(2), true, vec![record(5, 2, UpstreamPhase::Draining)], 10);

    assert_eq!(changes, [UpstreamChange::Draining("e1".into())]);
    merged.apply(source(1), false, vec![record(5, 3, UpstreamPhase::Ready)], 20);
    assert!(!merged.get("e1").unwrap().accepts_requests());
}

#[test]
fn upstream_that_announces_to_one_of_two_sources_is_not_silent() {
    let mut merged = MergedRegistry::default();
    merged.apply(source(1), true, vec![record(5, 1, UpstreamPhase::Silent)], 0);
    assert!(!merged.get("e1").unwrap().accepts_requests());

    merged.apply(source(2), true, vec![record(5, 2, UpstreamPhase::Ready)], 10);

    assert!(merged.get("e1").unwrap().accepts_requests());
}

#[test]
fn gone_report_without_start_time_from_another_source_ends_the_incarnation() {
    let mut merged = MergedRegistry::default();
    merged.apply(source(1), true, vec![record(5, 1, UpstreamPhase::Ready)], 0);

    let changes = merged.apply(source(2), true, vec![record(0, 0, UpstreamPhase::Gone)], 10);

    assert_eq!(changes, [UpstreamChange::Gone("e1".into())]);
}

#[test]
fn upstream_is_kept_while_its_control_process_restarts() {
    let mut merged = MergedRegistry::default();
    merged.apply(source(1), true, vec![record(5, 1, UpstreamPhase::Ready)], 0);

    merged.apply(source(1), true, vec![], 10);
    merged.expire(20);
    assert!(merged.get("e1").unwrap().accepts_requests());

    merged.expire(6_100);
    assert!(merged.get("e1").is_none());
}

#[test]
fn draining_upstream_that_falls_silent_does_not_become_ready_again() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(5, 1, UpstreamPhase::Draining), 0);

    let silent = registry.expire(INTERVAL_MS, 5_000);
    registry.apply_announcement(record(5, 2, UpstreamPhase::Ready), 5_100);

    assert!(silent.is_empty());
    assert_eq!(changes(&registry, 0)[0].phase(), UpstreamPhase::Draining);
}

#[test]
fn later_announcements_update_the_warm_up_time() {
    let warming = |sequence, warm_up_ms| UpstreamRecord {
        warm_up_ms,
        ..record(5, sequence, UpstreamPhase::Ready)
    };
    let mut registry = Registry::default();
    registry.apply_announcement(warming(1, 4_000), 0);

    let shorter = registry.apply_announcement(warming(2, 3_000), 1_000);
    let kept_ms = changes(&registry, 0)[0].warm_up_ms;
    let cold_again = registry.apply_announcement(warming(3, 6_000), 2_000);

    assert_eq!((shorter, kept_ms), (AnnounceOutcome::Unchanged, 3_000));
    assert_eq!(cold_again, AnnounceOutcome::Changed(2));
    let mut merged = MergedRegistry::default();
    merged.apply(source(1), true, vec![warming(1, 4_000)], 0);
    merged.apply(source(1), false, vec![warming(3, 6_000)], 2_000);
    assert_eq!(merged.get("e1").unwrap().warm_up_until_ms, 8_000);
}

#[test]
fn gateway_forgets_upstreams_that_are_gone_or_silent_for_long() {
    for phase in [UpstreamPhase::Gone, UpstreamPhase::Silent, UpstreamPhase::Draining] {
        let mut merged = MergedRegistry::default();
        merged.apply(source(1), true, vec![record(5, 1, UpstreamPhase::Ready)], 0);
        merged.apply(source(1), false, vec![record(5, 2, phase)], 1_000);

        merged.expire(1_000);
        merged.expire(120_000);
        let kept = merged.get("e1").is_some();
        merged.expire(121_000);

        assert!(kept && merged.get("e1").is_none(), "{phase:?}");
    }
}

/// A machine that is silent for a while keeps its work: the upstream is back with its
/// next announcement.
#[test]
fn silent_upstream_is_kept_and_back_with_its_next_announcement() {
    let mut merged = MergedRegistry::default();
    merged.apply(source(1), true, vec![record(5, 1, UpstreamPhase::Silent)], 0);

    (0..100).for_each(|second| merged.expire(second * 1_000));
    let changes = merged.apply(source(1), false, vec![record(5, 2, UpstreamPhase::Ready)], 100_000);

    assert!(changes.is_empty());
    assert!(merged.get("e1").unwrap().accepts_requests());
}

/// Guards against a version that is taken for that of an earlier incarnation.
#[test]
fn new_incarnation_under_the_same_id_and_address_has_its_own_version() {
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, vec![versioned(5, 9, "v1")], 0);

    fleet.apply(source(1), false, vec![versioned(8, 1, "v2")], 10);
    let after_start = known_version(&fleet).to_string();
    // A late announcement of the earlier one, through another control process.
    fleet.apply(source(2), true, vec![versioned(5, 10, "v1")], 20);

    assert_eq!((after_start.as_str(), known_version(&fleet)), ("v2", "v2"));
}

#[test]
fn version_that_goes_back_is_known() {
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, vec![versioned(5, 1, "v2")], 0);

    fleet.apply(source(1), false, vec![versioned(9, 1, "v1")], 10);

    assert_eq!(known_version(&fleet), "v1");
}

#[test]
fn changed_version_of_the_same_incarnation_is_passed_on() {
    let mut registry = Registry::default();
    let mut fleet = MergedRegistry::default();
    registry.apply_announcement(versioned(5, 1, "v1"), 0);
    fleet.apply(source(1), true, changes(&registry, 0), 0);

    let outcome = registry.apply_announcement(versioned(5, 2, "v2"), 10);
    fleet.apply(source(1), false, changes(&registry, 1), 10);

    assert_eq!(outcome, AnnounceOutcome::Changed(2));
    assert_eq!(known_version(&fleet), "v2");
}

/// Guards against requests to an upstream that said in a response that it leaves.
#[test]
fn upstream_that_said_that_it_leaves_is_draining_whatever_it_announces_after() {
    let mut registry = Registry::default();
    let mut fleet = MergedRegistry::default();
    registry.apply_announcement(record(5, 1, UpstreamPhase::Ready), 0);
    fleet.apply(source(1), true, changes(&registry, 0), 0);

    let marked = (registry.mark_draining("e1", 5), fleet.mark_draining("e1", 5));
    let again = (registry.mark_draining("e1", 5), fleet.mark_draining("e1", 5));
    registry.apply_announcement(record(5, 2, UpstreamPhase::Ready), 10);
    fleet.apply(source(2), true, vec![record(5, 2, UpstreamPhase::Ready)], 10);

    assert_eq!((marked, again), ((true, true), (false, false)));
    assert_eq!(changes(&registry, 1)[0].phase(), UpstreamPhase::Draining);
    assert!(!fleet.get("e1").unwrap().accepts_requests());
}

#[test]
fn notice_of_an_earlier_incarnation_does_not_end_the_next_one() {
    let mut registry = Registry::default();
    let mut fleet = MergedRegistry::default();
    registry.apply_announcement(record(9, 1, UpstreamPhase::Ready), 0);
    fleet.apply(source(1), true, changes(&registry, 0), 0);

    assert!(!registry.mark_draining("e1", 5));
    assert!(!fleet.mark_draining("e1", 5));
    assert!(fleet.get("e1").unwrap().accepts_requests());
}

/// Hundreds of gateways connect at once to a process that knows thousands of upstreams: each
/// gets the registry in parts, in the order of the changes.
#[test]
fn registry_is_sent_in_parts_that_add_up() {
    const PART: usize = 256;
    let mut registry = Registry::default();
    for index in 0..1_900 {
        let id = format!("e{index:04}");
        let upstream = UpstreamRecord { id, ..record(5, 1, UpstreamPhase::Ready) };
        registry.apply_announcement(upstream, 0);
    }
    registry.apply_announcement(
        UpstreamRecord { id: "e0003".into(), ..record(5, 2, UpstreamPhase::Draining) },
        10,
    );
    let mut fleet = MergedRegistry::default();
    let mut version = 0;
    let mut parts = 0;

    while version < registry.version() {
        let changes = registry.changes_since(version, PART);
        assert!(changes.records.len() <= PART && changes.version > version);
        version = changes.version;
        let records = changes.records.into_iter().cloned().collect();
        fleet.apply(source(1), parts == 0, records, 20);
        parts += 1;
    }

    assert_eq!((fleet.iter().count(), parts), (1_900, 8));
    assert_eq!(fleet.get("e0003").map(|u| u.accepts_requests()), Some(false));
}
