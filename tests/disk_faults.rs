//! Control processes whose disk is full, returns errors or stalls: leadership moves,
//! nothing that was accepted is lost, and no process ends.

mod support;

use support::deployment::DeploymentOptions;
use support::disk::DiskFault;
use support::{Deployment, eventually};

const FAULTS: [DiskFault; 3] = [DiskFault::Full, DiskFault::Errors, DiskFault::Stalled];

async fn wait_until_caught_up(deployment: &Deployment, control: usize, revision: u64) {
    let caught_up = || async {
        deployment
            .status(control)
            .await
            .is_some_and(|status| status.revision == revision && status.disk_error.is_empty())
    };
    eventually(&format!("control {control} is at revision {revision}"), caught_up).await;
}

#[test]
fn leader_with_failing_disk_hands_over_and_catches_up() {
    for fault in FAULTS {
        support::run_async(async move {
            let deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
            let leader = deployment.leader().await;

            deployment.disks[leader].set_fault(fault);
            let outcome = deployment.publish("during", 1).await.expect("a reply");
            let leads_elsewhere = || async {
                deployment.leader_status().await.is_some_and(|(index, _)| index != leader)
            };
            eventually(&format!("another replica leads, {fault:?}"), leads_elsewhere).await;
            deployment.wait_until_served(2).await;
            let status = deployment.status(leader).await.expect("the process runs");
            deployment.disks[leader].set_fault(DiskFault::None);

            assert!(outcome.accepted, "{fault:?}");
            assert_eq!(status.disk_error.is_empty(), fault == DiskFault::Stalled, "{fault:?}");
            wait_until_caught_up(&deployment, leader, 2).await;
        });
    }
}

#[test]
fn follower_with_failing_disk_keeps_the_leader_and_catches_up() {
    for fault in FAULTS {
        support::run_async(async move {
            let deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
            let leader = deployment.leader().await;
            let term = deployment.status(leader).await.expect("the leader runs").term;
            let follower = (leader + 1) % 3;

            deployment.disks[follower].set_fault(fault);
            for number in 1..=5 {
                let outcome = deployment.publish(&format!("set-{number}"), number).await;
                assert!(outcome.expect("a reply").accepted, "{fault:?}");
            }
            deployment.disks[follower].set_fault(DiskFault::None);

            wait_until_caught_up(&deployment, follower, 6).await;
            let status = deployment.status(leader).await.expect("the leader runs");
            assert_eq!((status.role.as_str(), status.term), ("leader", term), "{fault:?}");
        });
    }
}

#[test]
fn group_whose_disks_are_all_full_accepts_nothing_until_they_have_space() {
    support::run_async(async {
        let deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;

        deployment.disks.iter().for_each(|disk| disk.set_fault(DiskFault::Full));
        let during = deployment.publish("during", 1).await;
        deployment.disks.iter().for_each(|disk| disk.set_fault(DiskFault::None));
        let after = deployment.publish("during", 1).await.expect("a reply");

        assert!(during.is_none(), "{during:?}");
        assert!(after.accepted);
        deployment.wait_until_served(2).await;
    });
}

#[test]
fn control_process_starts_and_follows_on_a_full_disk() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
        let follower = (deployment.leader().await + 1) % 3;
        deployment.kill_control(follower).await;
        deployment.publish("while down", 1).await.expect("a reply");

        deployment.disks[follower].set_fault(DiskFault::Full);
        deployment.start_control(follower).await;
        let reports_error = || async {
            let status = deployment.status(follower).await;
            status.is_some_and(|status| !status.disk_error.is_empty())
        };
        eventually("the process reports its disk", reports_error).await;
        deployment.disks[follower].set_fault(DiskFault::None);

        wait_until_caught_up(&deployment, follower, 2).await;
    });
}

#[test]
fn process_with_an_empty_data_folder_waits_for_space() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
        let follower = (deployment.leader().await + 1) % 3;
        deployment.kill_control(follower).await;
        deployment.delete_data_folder(follower);

        deployment.disks[follower].set_fault(DiskFault::Full);
        let disk = deployment.disks[follower].clone();
        let space_returns = async {
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
            disk.set_fault(DiskFault::None);
        };
        let (started, ()) =
            futures::future::join(deployment.try_start_control(follower), space_returns).await;
        deployment.controls[follower] = Some(started.expect("the process starts"));

        wait_until_caught_up(&deployment, follower, 1).await;
    });
}
