//! The policy benchmark terminates and gives plausible results, also far beyond
//! the capacity of the engines.

use std::sync::atomic::{AtomicUsize, Ordering};

use bench::{Disturbance, MixName, Policy, PolicyOptions, run_policies};

fn options(load: f64) -> PolicyOptions {
    PolicyOptions {
        mixes: vec![MixName::Stride],
        policies: vec![Policy::RoundRobin, Policy::TwoChoices],
        loads: vec![load],
        seeds: 1,
        seconds: 2,
        threads: 2,
        disturbance: Disturbance::None,
    }
}

#[test]
fn baselines_refuse_requests_when_engine_queues_are_full() {
    let rows = run_policies(&options(6.0), |_, _| {});

    assert_eq!(rows.len(), 2);
    assert!(rows.iter().all(|row| row.score.refused_share > 0.0), "{rows:?}");
}

#[test]
fn baselines_refuse_no_requests_within_capacity() {
    let rows = run_policies(&options(0.5), |_, _| {});

    assert!(rows.iter().all(|row| row.score.refused_share == 0.0), "{rows:?}");
}

#[test]
fn progress_is_reported_after_each_combination() {
    let calls = AtomicUsize::new(0);

    run_policies(&options(0.5), |done, all| {
        assert!(done <= all);
        calls.fetch_add(1, Ordering::Relaxed);
    });

    assert_eq!(calls.load(Ordering::Relaxed), 2);
}
