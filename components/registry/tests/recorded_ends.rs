//! Ends of upstreams that the control group has recorded, at processes that have restarted since.

use std::net::SocketAddr;

use registry::{AnnounceOutcome, MergedRegistry, Registry, TOMBSTONE_RETENTION_MS};
use schema::{UpstreamPhase, UpstreamRecord};

const INTERVAL_MS: u64 = 1_000;
const ENDED_MS: u64 = 10_000;

fn record(born_ms: u64, sequence: u64, phase: UpstreamPhase) -> UpstreamRecord {
    UpstreamRecord {
        id: "e1".into(),
        service: "desk".into(),
        address: "10.0.0.1:80".into(),
        slots: 4,
        born_ms,
        sequence,
        phase: phase.into(),
        ..UpstreamRecord::default()
    }
}

/// Returns the record of a withdrawal at a process that did not know the upstream.
fn withdrawn(born_ms: u64) -> UpstreamRecord {
    let phase = UpstreamPhase::Gone.into();
    UpstreamRecord { id: "e1".into(), born_ms, phase, ..UpstreamRecord::default() }
}

fn source(control: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, control], 7_200))
}

/// Makes a gateway apply all that a control process knows.
fn sync(fleet: &mut MergedRegistry, control: u8, registry: &Registry) {
    let records = registry.changes_since(0, 9).records.into_iter().cloned().collect();
    fleet.apply(source(control), true, records, ENDED_MS);
}

fn phase_at(fleet: &MergedRegistry) -> Option<UpstreamPhase> {
    fleet.get("e1").map(|known| known.record.phase())
}

/// Guards against a late announcement that makes an upstream ready again whose end was
/// acknowledged before all processes restarted.
#[test]
fn announcement_from_before_a_recorded_end_changes_no_phase() {
    let ends = [record(100, 7, UpstreamPhase::Draining), withdrawn(100)];
    for ended in ends {
        let mut registry = Registry::default();
        assert!(registry.adopt_end(&ended, ENDED_MS));

        registry.apply_announcement(record(100, 6, UpstreamPhase::Ready), ENDED_MS);

        let known = registry.get("e1").expect("known");
        assert_eq!(known.phase(), ended.phase());
    }
}

#[test]
fn later_incarnation_is_ready_after_a_recorded_end() {
    let mut registry = Registry::default();
    registry.adopt_end(&withdrawn(100), ENDED_MS);

    let later = record(200, 1, UpstreamPhase::Ready);
    let outcome = registry.apply_announcement(later.clone(), ENDED_MS);

    assert_eq!(outcome, AnnounceOutcome::Changed(2));
    assert_eq!(registry.get("e1"), Some(&later));
}

#[test]
fn recorded_end_of_an_earlier_incarnation_changes_nothing() {
    let mut registry = Registry::default();
    let later = record(200, 1, UpstreamPhase::Ready);
    registry.apply_announcement(later.clone(), ENDED_MS);

    let changed = registry.adopt_end(&withdrawn(100), ENDED_MS);

    assert!(!changed);
    assert_eq!(registry.get("e1"), Some(&later));
}

#[test]
fn recorded_end_of_a_later_incarnation_replaces_an_earlier_one() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(100, 9, UpstreamPhase::Ready), ENDED_MS);

    let ended = record(200, 3, UpstreamPhase::Draining);
    let changed = registry.adopt_end(&ended, ENDED_MS);

    assert!(changed);
    assert_eq!(registry.get("e1"), Some(&ended));
}

#[test]
fn end_that_is_recorded_again_is_no_change() {
    let mut registry = Registry::default();
    registry.apply_announcement(record(100, 5, UpstreamPhase::Ready), ENDED_MS);

    let changes = [0, 1].map(|_| registry.adopt_end(&withdrawn(100), ENDED_MS));

    assert_eq!(changes, [true, false]);
}

/// Guards against a gateway that has the upstream from a control process which is behind: another
/// one, to which the upstream never announced itself, has the end.
#[test]
fn gateway_takes_the_end_from_the_process_that_has_it() {
    for ended in [record(100, 7, UpstreamPhase::Draining), withdrawn(100)] {
        for end_first in [true, false] {
            let (mut behind, mut recorded) = (Registry::default(), Registry::default());
            behind.apply_announcement(record(100, 6, UpstreamPhase::Ready), ENDED_MS);
            recorded.adopt_end(&ended, ENDED_MS);
            let mut fleet = MergedRegistry::default();

            if end_first {
                sync(&mut fleet, 1, &recorded);
            }
            sync(&mut fleet, 2, &behind);
            sync(&mut fleet, 1, &recorded);

            assert_eq!(phase_at(&fleet), Some(ended.phase()), "end first: {end_first}");
        }
    }
}

#[test]
fn adopted_end_is_kept_for_as_long_as_an_announced_one() {
    let mut registry = Registry::default();
    registry.adopt_end(&withdrawn(100), ENDED_MS);

    registry.expire(INTERVAL_MS, ENDED_MS + TOMBSTONE_RETENTION_MS - 1);
    let is_kept = registry.get("e1").is_some();
    registry.expire(INTERVAL_MS, ENDED_MS + TOMBSTONE_RETENTION_MS);

    assert!(is_kept);
    assert_eq!(registry.get("e1"), None);
}
