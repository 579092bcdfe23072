//! The comparison of policies ends, also far beyond capacity.

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
fn baselines_turn_requests_away_when_too_many_wait() {
    let rows = run_policies(&options(6.0), |_, _| {});

    assert_eq!(rows.len(), 2);
    assert!(rows.iter().all(|row| row.score.refused_share > 0.0), "{rows:?}");
}

#[test]
fn baselines_within_capacity_turn_nothing_away() {
    let rows = run_policies(&options(0.5), |_, _| {});

    assert!(rows.iter().all(|row| row.score.refused_share == 0.0), "{rows:?}");
}

#[test]
fn progress_is_told_after_each_combination() {
    let told = AtomicUsize::new(0);

    run_policies(&options(0.5), |done, all| {
        assert!(done <= all);
        told.fetch_add(1, Ordering::Relaxed);
    });

    assert_eq!(told.load(Ordering::Relaxed), 2);
}
