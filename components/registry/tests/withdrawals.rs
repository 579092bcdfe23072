//! Upstreams that leave while gateways join and control processes disagree: one of them was
//! told, another holds an older record.

use std::net::SocketAddr;

use proptest::prelude::*;
use registry::{MergedRegistry, Registry, UpstreamChange};
use schema::{UpstreamPhase, UpstreamRecord};

const PHASES: [UpstreamPhase; 4] =
    [UpstreamPhase::Ready, UpstreamPhase::Silent, UpstreamPhase::Draining, UpstreamPhase::Gone];

fn source(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, last], 7_200))
}

fn record(born_ms: u64, phase: UpstreamPhase) -> UpstreamRecord {
    UpstreamRecord {
        id: "e1".into(),
        service: "desk".into(),
        address: "10.0.0.1:80".into(),
        slots: 4,
        born_ms,
        sequence: 1,
        phase: phase.into(),
        ..UpstreamRecord::default()
    }
}

/// Withdrawal as an upstream sends it: with its id and at most its start time.
fn withdrawal(born_ms: u64) -> UpstreamRecord {
    let phase = UpstreamPhase::Gone.into();
    UpstreamRecord { id: "e1".into(), born_ms, phase, ..UpstreamRecord::default() }
}

fn accepts(fleet: &MergedRegistry) -> bool {
    fleet.get("e1").is_some_and(|upstream| upstream.accepts_requests())
}

fn all_records(registry: &Registry) -> Vec<UpstreamRecord> {
    registry.changes_since(0, usize::MAX).records.into_iter().cloned().collect()
}

/// Guards against gateways that start just after a withdrawal, drop it since they do not know
/// the upstream, and then use it by the older record of another control process.
#[test]
fn withdrawn_upstream_does_not_join_by_an_older_record_of_another_process() {
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, vec![withdrawal(5)], 0);

    let changes = fleet.apply(source(2), true, vec![record(5, UpstreamPhase::Ready)], 10);

    assert_eq!(changes, []);
    assert!(!accepts(&fleet));
}

#[test]
fn incarnation_that_starts_after_a_withdrawal_joins() {
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, vec![withdrawal(5)], 0);

    let changes = fleet.apply(source(2), false, vec![record(9, UpstreamPhase::Ready)], 10);

    assert_eq!(changes, [UpstreamChange::Joined("e1".into())]);
    assert_eq!(fleet.get("e1").map(|u| u.address.to_string()), Some("10.0.0.1:80".into()));
}

#[test]
fn withdrawal_is_kept_as_long_as_another_process_holds_an_older_record() {
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, vec![withdrawal(5)], 0);
    fleet.apply(source(2), true, vec![record(5, UpstreamPhase::Ready)], 0);
    fleet.remove_source(source(1));

    for now_ms in (0..60_000).step_by(500) {
        fleet.expire(now_ms);
    }
    fleet.apply(source(2), false, vec![record(5, UpstreamPhase::Ready)], 60_000);

    assert!(!accepts(&fleet));
}

/// A gateway tells the process with the older record, so that gateways which start after the
/// other process has restarted hear of the end as well.
#[test]
fn process_with_an_older_record_is_told_of_the_end() {
    let mut behind = Registry::default();
    behind.apply_announcement(record(5, UpstreamPhase::Ready), 0);
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(2), true, all_records(&behind), 0);
    fleet.apply(source(1), true, vec![withdrawal(5)], 10);

    let told = fleet.ended_elsewhere(source(2), 9);
    assert!(told.iter().all(|ended| behind.mark_ended(ended)), "each one is news");
    fleet.apply(source(2), false, all_records(&behind), 20);
    let mut later = MergedRegistry::default();
    later.apply(source(2), true, all_records(&behind), 30);

    assert_eq!((told.len(), fleet.ended_elsewhere(source(2), 9)), (1, vec![]));
    assert!(!accepts(&later));
}

/// A withdrawal that names no start time arrives at a process that does not know the upstream:
/// a gateway completes it before it is acknowledged.
#[test]
fn withdrawal_without_a_start_time_is_completed_by_what_a_gateway_knows() {
    let mut told = Registry::default();
    told.apply_announcement(withdrawal(0), 0);
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(2), true, vec![record(5, UpstreamPhase::Ready)], 0);
    fleet.apply(source(1), true, all_records(&told), 10);

    for ended in fleet.ended_elsewhere(source(1), 9) {
        told.mark_ended(&ended);
    }
    let late = told.apply_announcement(record(5, UpstreamPhase::Ready), 20);
    let mut later = MergedRegistry::default();
    later.apply(source(1), true, all_records(&told), 30);
    later.apply(source(2), true, vec![record(5, UpstreamPhase::Ready)], 30);

    assert!(!accepts(&fleet) && !accepts(&later), "{late:?}");
}

/// Guards against a withdrawal that ends an incarnation which started after it: its reply is
/// delayed, and the gateway learns of that incarnation from another process meanwhile.
#[test]
fn delayed_withdrawal_does_not_end_an_incarnation_that_became_known_later() {
    let mut unaware = Registry::default();
    unaware.apply_announcement(withdrawal(0), 1_000);
    let mut behind = Registry::default();
    behind.apply_announcement(record(5, UpstreamPhase::Ready), 0);
    behind.apply_announcement(withdrawal(0), 1_000);
    for delayed in [&unaware, &behind] {
        let mut fleet = MergedRegistry::default();
        fleet.apply(source(2), true, vec![record(5, UpstreamPhase::Ready)], 0);
        fleet.apply(source(2), false, vec![record(9, UpstreamPhase::Ready)], 4_000);

        let changes = fleet.apply(source(1), true, all_records(delayed), 1_000);

        assert_eq!(changes, []);
        assert!(accepts(&fleet));
    }
}

/// Guards against a withdrawal that ends an earlier incarnation only, as the process that receives it
/// knows no later one, and against a gateway that learns of the later one from another process.
#[test]
fn withdrawal_without_a_start_time_ends_the_newest_incarnation() {
    let mut behind = Registry::default();
    behind.apply_announcement(record(5, UpstreamPhase::Ready), 0);
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, all_records(&behind), 0);
    fleet.apply(source(2), true, vec![record(9, UpstreamPhase::Ready)], 0);
    behind.apply_announcement(withdrawal(0), 10);
    let version_before = behind.version_of("e1");

    let changes = fleet.apply(source(1), false, all_records(&behind), 20);
    for ended in fleet.ended_elsewhere(source(1), 9) {
        behind.mark_ended(&ended);
    }
    let mut later = MergedRegistry::default();
    later.apply(source(1), true, all_records(&behind), 30);
    later.apply(source(2), true, vec![record(9, UpstreamPhase::Ready)], 30);

    assert_eq!(changes, [UpstreamChange::Gone("e1".into())]);
    assert!(!accepts(&fleet) && !accepts(&later));
    assert!(behind.version_of("e1") > version_before, "gateways confirm the later one too");
}

/// Guards against a gateway that learns of the withdrawn incarnation only after it has confirmed the
/// withdrawal, as it was in touch with another control process later than with the one that received it.
#[test]
fn incarnation_that_arrives_while_a_withdrawal_is_not_completed_ends() {
    let mut behind = Registry::default();
    behind.apply_announcement(record(5, UpstreamPhase::Ready), 0);
    behind.apply_announcement(withdrawal(0), 10);
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, all_records(&behind), 20);

    fleet.apply(source(2), true, vec![record(9, UpstreamPhase::Ready)], 30);
    let ended = fleet.ended_elsewhere(source(1), 9);

    assert!(!accepts(&fleet));
    assert_eq!(ended.iter().map(|ended| ended.born_ms).collect::<Vec<_>>(), [9]);
}

/// The same for servers that name no start time at all.
#[test]
fn withdrawal_of_a_server_without_start_times_is_known_from_a_gateway() {
    let mut asked = Registry::default();
    asked.apply_announcement(withdrawal(0), 0);
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(2), true, vec![record(0, UpstreamPhase::Ready)], 0);
    fleet.apply(source(1), true, all_records(&asked), 10);
    let known_before = asked.is_known("e1");

    for ended in fleet.ended_elsewhere(source(1), 9) {
        asked.mark_ended(&ended);
    }

    assert!(!accepts(&fleet));
    assert_eq!((known_before, asked.is_known("e1")), (false, true));
}

/// Guards against a withdrawal that nobody could complete and that ends a server which starts later.
#[test]
fn withdrawal_of_an_unknown_server_is_forgotten() {
    let mut asked = Registry::default();
    asked.apply_announcement(withdrawal(0), 0);
    asked.expire(1_000, 2_000);
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(2), true, vec![record(9, UpstreamPhase::Ready)], 2_000);

    fleet.apply(source(1), true, all_records(&asked), 2_010);

    assert!(accepts(&fleet));
}

/// What a gateway infers from a response by itself is not spread.
#[test]
fn end_that_only_a_gateway_saw_is_not_told_to_control_processes() {
    let mut fleet = MergedRegistry::default();
    fleet.apply(source(1), true, vec![record(5, UpstreamPhase::Ready)], 0);

    fleet.mark_gone("e1", 5);

    assert_eq!(fleet.ended_elsewhere(source(1), 9), []);
}

fn any_report() -> impl Strategy<Value = (u8, u64, usize)> {
    (1..4u8, 1..4u64, 0..PHASES.len())
}

proptest! {
    /// Reports of several processes, in any order and repeated: the newest incarnation counts,
    /// in its latest phase.
    #[test]
    fn reports_in_any_order_give_the_same_state(
        reports in prop::collection::vec(any_report(), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..24),
    ) {
        let rank = |phase: UpstreamPhase| match phase {
            UpstreamPhase::Draining => 1,
            UpstreamPhase::Gone => 2,
            _ => 0,
        };
        let newest = reports.iter().map(|(_, born_ms, phase)| (*born_ms, rank(PHASES[*phase])));
        let newest = newest.max().expect("there are reports");
        let mut fleet = MergedRegistry::default();
        let repeated = order.iter().map(|index| index.get(&reports));

        for (process, born_ms, phase) in repeated.chain(&reports) {
            fleet.apply(source(*process), false, vec![record(*born_ms, PHASES[*phase])], 0);
        }

        let known = &fleet.get("e1").expect("it is known").record;
        prop_assert_eq!((known.born_ms, rank(known.phase())), newest);
    }
}
