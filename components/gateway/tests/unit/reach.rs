use super::*;

/// Returns the time `ms` after the start of a test.
fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn cut_off_at(now: Instant) -> Reachability {
    let mut reach = Reachability::default();
    reach.record_probes(false, now);
    reach
}

#[test]
fn two_unreachable_upstreams_without_a_sign_of_life_between_call_for_probes() {
    let now = Instant::now();
    let mut reach = Reachability::default();
    reach.record_unreachable("a");
    reach.record_unreachable("a");
    assert!(!reach.needs_probe(now));

    reach.record_unreachable("b");
    assert!(reach.needs_probe(now));

    reach.record_heard(now);
    reach.record_unreachable("c");
    assert!(!reach.needs_probe(now));
}

#[test]
fn silence_calls_for_probes_only_while_requests_wait() {
    let start = Instant::now();
    let mut reach = Reachability::default();
    reach.record_heard(start);
    assert!(!reach.needs_probe(at(start, 10_000)));

    reach.start_waiting(at(start, 10_000));
    assert!(!reach.needs_probe(at(start, 10_399)));
    assert!(reach.needs_probe(at(start, 10_400)));

    reach.end_waiting();
    assert!(!reach.needs_probe(at(start, 20_000)));
}

#[test]
fn silence_calls_for_no_probes_right_after_successful_ones() {
    let start = Instant::now();
    let mut reach = Reachability::default();
    reach.start_waiting(start);
    reach.record_probes(true, at(start, 400));

    assert!(!reach.needs_probe(at(start, 800)));
    assert!(reach.needs_probe(at(start, 1_400)));
}

#[test]
fn share_of_requests_grows_with_each_successful_round_after_a_cut() {
    let now = Instant::now();
    let mut reach = cut_off_at(now);
    assert_eq!(reach.local_share(), 0.0);
    let mut shares = Vec::new();
    while reach.is_cut_off() {
        reach.record_probes(true, now);
        shares.push(reach.local_share());
    }

    assert!(shares.is_sorted() && shares.len() == RECOVERY_ROUNDS as usize, "{shares:?}");
    assert_eq!(shares.last(), Some(&1.0));
}

#[test]
fn failed_round_during_the_recovery_starts_it_anew() {
    let now = Instant::now();
    let mut reach = cut_off_at(now);
    reach.record_probes(true, now);
    reach.record_probes(false, now);

    assert_eq!(reach.local_share(), 0.0);
}
