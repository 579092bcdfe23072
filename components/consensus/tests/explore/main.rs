//! Random exploration of a group: message loss, reordering and duplication,
//! crashes with an unsynced tail, lost disks, membership changes, snapshots.
//!
//! `SHALLOTTRAY_EXPLORE_SEEDS` and `SHALLOTTRAY_EXPLORE_STEPS` make a longer
//! run; a failure names its seed, which `SHALLOTTRAY_EXPLORE_FIRST` repeats.

mod cluster;
mod disk;
mod invariants;

use cluster::Cluster;

const SEEDS: u64 = 60;
const STEPS: u64 = 4_000;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_keep_the_invariants_and_the_group_recovers() {
    let first = setting("SHALLOTTRAY_EXPLORE_FIRST", 1);
    let seeds = setting("SHALLOTTRAY_EXPLORE_SEEDS", SEEDS);
    let steps = setting("SHALLOTTRAY_EXPLORE_STEPS", STEPS);
    let (mut commits, mut elections, mut snapshots, mut lost_disks) = (0, 0, 0, 0);
    for seed in first..first + seeds {
        let mut cluster = Cluster::new(seed);
        for _ in 0..steps {
            cluster.random_step();
        }
        cluster.heal_and_commit();
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
