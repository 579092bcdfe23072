use super::*;

fn cut_off_at(now_ms: u64) -> Reachability {
    let mut reach = Reachability::default();
    reach.record_probes(false, now_ms);
    reach
}

#[test]
fn two_unreachable_upstreams_without_a_sign_of_life_between_call_for_probes() {
    let mut reach = Reachability::default();
    reach.record_unreachable("a");
    reach.record_unreachable("a");
    assert!(!reach.needs_probe(0));

    reach.record_unreachable("b");
    assert!(reach.needs_probe(0));

    reach.record_heard(1);
    reach.record_unreachable("c");
    assert!(!reach.needs_probe(1));
}

#[test]
fn silence_calls_for_probes_only_while_requests_wait() {
    let mut reach = Reachability::default();
    reach.record_heard(0);
    assert!(!reach.needs_probe(10_000));

    reach.start_waiting(10_000);
    assert!(!reach.needs_probe(10_000 + QUIET_MS - 1));
    assert!(reach.needs_probe(10_000 + QUIET_MS));

    reach.end_waiting();
    assert!(!reach.needs_probe(20_000));
}

#[test]
fn silence_calls_for_no_probes_right_after_successful_ones() {
    let mut reach = Reachability::default();
    reach.start_waiting(0);
    reach.record_probes(true, QUIET_MS);

    assert!(!reach.needs_probe(2 * QUIET_MS));
    assert!(reach.needs_probe(QUIET_MS + PROBE_PAUSE_MS));
}

#[test]
fn share_of_requests_grows_with_each_successful_round_after_a_cut() {
    let mut reach = cut_off_at(0);
    assert_eq!(reach.local_share(), 0.0);
    let mut shares = Vec::new();
    while reach.is_cut_off() {
        reach.record_probes(true, 100);
        shares.push(reach.local_share());
    }

    assert!(shares.is_sorted() && shares.len() == RECOVERY_ROUNDS as usize, "{shares:?}");
    assert_eq!(shares.last(), Some(&1.0));
}

#[test]
fn failed_round_during_the_recovery_starts_it_anew() {
    let mut reach = cut_off_at(0);
    reach.record_probes(true, 100);
    reach.record_probes(false, 200);

    assert_eq!(reach.local_share(), 0.0);
}
