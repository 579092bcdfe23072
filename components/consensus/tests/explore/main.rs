//! Randomised simulation of a group: message loss, reordering and duplication,
//! network partitions, crashes that lose unsynced entries, lost disks, membership
//! changes, leadership transfers and snapshots.
//!
//! `SHALLOTTRAY_EXPLORE_SEEDS` and `SHALLOTTRAY_EXPLORE_STEPS` set the number of
//! seeds and of steps per seed. A failure prints its seed; set
//! `SHALLOTTRAY_EXPLORE_FIRST` to that seed to start with it.

mod cluster;
mod disk;
mod invariants;

use cluster::Cluster;

const DEFAULT_SEEDS: u64 = 60;
const DEFAULT_STEPS: u64 = 4_000;

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn invariants_hold_under_random_faults_and_group_recovers() {
    let first = env_or("SHALLOTTRAY_EXPLORE_FIRST", 1);
    let seeds = env_or("SHALLOTTRAY_EXPLORE_SEEDS", DEFAULT_SEEDS);
    let steps = env_or("SHALLOTTRAY_EXPLORE_STEPS", DEFAULT_STEPS);
    let (mut commits, mut elections, mut snapshots, mut lost_disks) = (0, 0, 0, 0);
    for seed in first..first + seeds {
        let mut cluster = Cluster::new(seed);
        for _ in 0..steps {
            cluster.random_step();
        }
        cluster.recover_and_commit();
        commits += cluster.invariants.committed();
        elections += cluster.invariants.elections();
        snapshots += cluster.snapshots;
        lost_disks += cluster.lost_disks;
    }
    println!(
        "explored seeds {first}..{} of {steps} steps: {commits} commits, {elections} elections, \
         {snapshots} snapshots installed, {lost_disks} disks lost",
        first + seeds
    );
    assert!(commits > 0 && elections > 0 && snapshots > 0 && lost_disks > 0);
}
