//! Rejections of brittle upstreams, as a gateway reports and heeds them.

use std::net::SocketAddr;

use balance::{ObservedLimit, OwnedCandidate};
use schema::UpstreamLimit;

use super::KnownLimits;

fn arbiter(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, last], 7_200))
}

/// Limits of a gateway that an upstream has rejected once, at 1,000 ms.
fn rejected_once(max_rejections: u32) -> KnownLimits {
    let mut limits = KnownLimits::default();
    let brittle = Some(max_rejections);
    let limit = ObservedLimit { born_ms: 5, rate: None, brittle, observed_ms: 1_000 };
    limits.observe(&"u1".into(), limit);
    limits.record_rejection((&"u1".into(), 5), 4, 1_000);
    limits
}

fn counts(reports: &[UpstreamLimit]) -> Vec<(u32, u64)> {
    reports.iter().map(|report| (report.rejections, report.rejection_age_ms)).collect()
}

#[test]
fn each_rejection_is_reported_at_once_and_to_each_arbiter() {
    let mut limits = rejected_once(3);

    let first = limits.due_reports(arbiter(1), 1_010);
    limits.confirm_reports(arbiter(1), &first, 1_010);
    let confirmed = limits.due_reports(arbiter(1), 1_020);
    limits.record_rejection((&"u1".into(), 5), 4, 1_030);
    let second = limits.due_reports(arbiter(1), 1_040);
    let to_another = limits.due_reports(arbiter(2), 1_050);

    assert_eq!(counts(&first), [(1, 10)]);
    assert_eq!(counts(&confirmed), []);
    assert_eq!(counts(&second), [(2, 10)]);
    assert_eq!(counts(&to_another), [(2, 20)]);
}

#[test]
fn upstream_gets_no_request_for_a_part_of_a_second_after_its_rejection() {
    let limits = rejected_once(4);

    let pauses = [1_100, 1_249, 1_250].map(|now_ms| limits.rejection_pause_ms("u1", 5, now_ms));
    let of_next_incarnation = limits.rejection_pause_ms("u1", 6, 1_100);

    assert_eq!(pauses, [150, 1, 0]);
    assert_eq!(of_next_incarnation, 0);
}

#[test]
fn notice_ends_with_a_response_without_one_or_by_age() {
    let mut limits = rejected_once(4);

    let while_brittle = limits.max_rejections("u1", 10_999);
    let by_age = limits.max_rejections("u1", 11_000);
    let none = ObservedLimit { born_ms: 5, rate: None, brittle: None, observed_ms: 2_000 };
    let changed = limits.observe(&"u1".into(), none);

    assert_eq!((while_brittle, by_age, changed), (Some(4), None, true));
    assert_eq!(limits.max_rejections("u1", 2_000), None);
}

#[test]
fn shares_of_all_gateways_stay_below_the_slots() {
    let upstream = OwnedCandidate { id: "u1".into(), slots: 8, cache_tokens: 0, extra_cost: 0.0 };
    let share = |index| {
        let mut limits = KnownLimits::default();
        limits.apply((0, &[]), index, 1_000);
        let mut running = 0;
        // Gateways add one request after the other.
        for now_ms in (1_000..3_000).step_by(100) {
            if limits.has_share_left(&upstream, (running, 3), 10, now_ms) {
                limits.take_room("u1", running, now_ms);
                running += 1;
            }
        }
        running
    };

    let shares: u32 = (0..3).map(share).sum();

    assert_eq!(shares, 6);
}
