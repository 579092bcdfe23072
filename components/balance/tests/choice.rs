//! Least-loaded choice, outlier ejection and the retry budget.

use balance::{Candidate, Demand, Health, Loads, RetryBudget, RetryLimits, Use};

fn engine(id: &str) -> Candidate<'_> {
    Candidate { id, slots: 24, cache_tokens: 30_000, extra_cost: 0.0 }
}

const DEMAND: Demand = Demand { tokens: 4_000, fill: 1.0, noise: 0.04, sample: 99 };

#[test]
fn choice_includes_the_load_reported_by_other_entries() {
    let mut loads = Loads::default();
    loads.begin("a", 4_000, 0);
    loads.set_others(
        [("b".into(), Use { running: 3, tokens: 12_000, unread_tokens: 0 })].into_iter(),
    );

    let chosen = loads.choose([engine("a"), engine("b")].into_iter(), DEMAND, &mut rand::rng());

    assert_eq!(chosen, Some("a"));
}

#[test]
fn sampling_spreads_requests_when_one_engine_is_idle() {
    let ids: Vec<String> = (0..40).map(|index| format!("e{index}")).collect();
    let mut loads = Loads::default();
    ids.iter().skip(1).for_each(|id| loads.begin(id, 9_000, 3_000));
    let demand = Demand { sample: 4, ..DEMAND };

    let choices = (0..200).filter(|_| {
        let candidates = ids.iter().map(|id| engine(id));
        loads.choose(candidates, demand, &mut rand::rng()) == Some("e0")
    });

    // The idle engine is expected in a tenth of the samples: 4 of 40 engines.
    assert!((1..60).contains(&choices.count()));
}

#[test]
fn equally_loaded_engine_without_extra_cost_is_chosen() {
    let remote = Candidate { extra_cost: 0.1, ..engine("a") };

    let chosen =
        Loads::default().choose([remote, engine("b")].into_iter(), DEMAND, &mut rand::rng());

    assert_eq!(chosen, Some("b"));
}

#[test]
fn pending_prefill_outweighs_cache_utilization() {
    let mut loads = Loads::default();
    loads.begin("a", 3_000, 3_000);
    loads.begin("b", 9_000, 3_000);
    loads.read("b", 3_000);

    let chosen = loads.choose([engine("a"), engine("b")].into_iter(), DEMAND, &mut rand::rng());

    assert_eq!(chosen, Some("b"));
}

#[test]
fn engine_without_free_cache_for_the_request_is_not_chosen() {
    let mut loads = Loads::default();
    loads.begin("a", 27_000, 0);

    assert_eq!(loads.choose([engine("a")].into_iter(), DEMAND, &mut rand::rng()), None);

    loads.end("a", 27_000);
    assert_eq!(loads.choose([engine("a")].into_iter(), DEMAND, &mut rand::rng()), Some("a"));
}

#[test]
fn failing_upstream_is_ejected_with_exponential_backoff() {
    let mut health = Health::default();
    let mut ejected_ms = None;
    for _ in 0..4 {
        ejected_ms = ejected_ms.or(health.failed("a", 100));
    }

    assert_eq!(ejected_ms, Some(1_000));
    assert!(health.is_ejected("a", 1_099));
    assert!(!health.is_ejected("a", 1_100));
    assert_eq!(health.failed("a", 1_100), Some(2_000));
}

#[test]
fn single_failure_does_not_eject_an_upstream() {
    let mut health = Health::default();

    assert_eq!(health.failed("a", 0), None);
    assert!(!health.is_ejected("a", 0));
}

#[test]
fn retry_budget_scales_with_first_attempts_in_the_window() {
    let limits = RetryLimits { ratio: 0.1, allowance: 0, window_ms: 1_000 };
    let mut budget = RetryBudget::new(limits);
    (0..20).for_each(|_| budget.count_first(0));

    let granted = (0..10).filter(|_| budget.take(1, 500)).count();

    assert_eq!(granted, 2);
    assert!(!budget.take(1, 1_000));
}
