//! Publication under faults: an accepted set reaches every entry and is never
//! replaced by an older revision.

mod support;

use futures::future::join;
use support::deployment::{DeploymentOptions, example_set};
use support::{Caller, Deployment, eventually};

/// Returns the body of `/readyz`: the mode of the entry, such as `serving`. Empty
/// if the entry does not respond.
async fn ready_mode(deployment: &Deployment, entry: usize) -> String {
    let caller = Caller::new("nobody");
    let response = caller.send("GET", deployment.entry_address(entry), "/readyz", &[], "").await;
    let body = response.map(|response| response.body).unwrap_or_default();
    String::from_utf8_lossy(&body).trim().to_string()
}

async fn wait_for_mode(deployment: &Deployment, entry: usize, expected: &str) {
    let reached = || async { ready_mode(deployment, entry).await == expected };
    eventually(&format!("entry {entry} is {expected}"), reached).await;
}

/// Returns the revision that an entry serves, from its metrics; 0 if there is none.
async fn served_revision(deployment: &Deployment, entry: usize) -> u64 {
    deployment.metric(entry, "shallottray_entry_revision").await
}

#[test]
fn loser_of_concurrent_publications_gets_id_of_winner() {
    support::run_async(async {
        let deployment = Deployment::start(3, 2, DeploymentOptions::default()).await;

        let (a, b) = join(deployment.publish("a", 1), deployment.publish("b", 1)).await;

        let (a, b) = (a.expect("a reply"), b.expect("a reply"));
        let (winner, loser) = if a.accepted { (a, b) } else { (b, a) };
        assert!(winner.accepted && !loser.accepted);
        assert_eq!((loser.revision, &loser.publication_id), (2, &winner.publication_id));
        deployment.wait_until_served(2).await;
    });
}

#[test]
fn retried_publication_gets_first_outcome_after_leader_change() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
        let first = deployment.publish("again", 1).await.expect("a reply");
        deployment.publish("later", 2).await.expect("a reply");

        let leader = deployment.leader().await;
        deployment.kill_control(leader).await;
        let resent = deployment.publish("again", 1).await.expect("a reply");

        assert_eq!(resent, first);
        deployment.wait_until_served(3).await;
    });
}

#[test]
fn publication_succeeds_after_leader_crash() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 2, DeploymentOptions::default()).await;

        let leader = deployment.leader().await;
        deployment.kill_control(leader).await;
        let outcome = deployment.publish("next", 1).await.expect("a reply");

        assert!(outcome.accepted);
        deployment.wait_until_served(2).await;
    });
}

#[test]
fn isolated_leader_catches_up_without_reverting_entries() {
    support::run_async(async {
        let deployment = Deployment::start(3, 2, DeploymentOptions::default()).await;
        let old_leader = deployment.leader().await;

        deployment.set_control_isolated(old_leader, true);
        let outcome = deployment.publish("during", 1).await.expect("a reply");
        deployment.wait_until_served(2).await;
        deployment.set_control_isolated(old_leader, false);
        let caught_up = || async {
            deployment.status(old_leader).await.is_some_and(|status| status.revision == 2)
        };
        eventually("the old leader catches up", caught_up).await;

        assert!(outcome.accepted);
        assert_eq!(
            (served_revision(&deployment, 0).await, served_revision(&deployment, 1).await),
            (2, 2)
        );
    });
}

#[test]
fn entry_isolated_from_controls_rejects_requests_and_rejoins_with_new_set() {
    support::run_async(async {
        let deployment = Deployment::start(3, 3, DeploymentOptions::default()).await;

        deployment.set_entry_isolated_from_controls(0, true);
        wait_for_mode(&deployment, 0, "unconfirmed").await;
        deployment.publish("during", 1).await.expect("a reply");
        let response = Caller::new("head-office")
            .book(deployment.entry_address(0), "k", "{}")
            .await
            .expect("a response");
        deployment.set_entry_isolated_from_controls(0, false);
        wait_for_mode(&deployment, 0, "serving").await;

        assert_eq!(
            (response.verdict.as_str(), response.code().as_str()),
            ("not-run", "unavailable")
        );
        let updated = || async { served_revision(&deployment, 0).await == 2 };
        eventually("the entry serves the new set", updated).await;
    });
}

#[test]
fn isolated_entry_becomes_unconfirmed() {
    support::run_async(async {
        let deployment = Deployment::start(3, 3, DeploymentOptions::default()).await;

        deployment.set_entry_isolated(0, true);

        wait_for_mode(&deployment, 0, "unconfirmed").await;
        assert_eq!(ready_mode(&deployment, 1).await, "serving");
    });
}

#[test]
fn entries_serve_last_confirmed_set_while_all_controls_are_down() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 2, DeploymentOptions::default()).await;
        deployment.start_engine(0).await;

        for control in 0..3 {
            deployment.kill_control(control).await;
        }
        wait_for_mode(&deployment, 0, "degraded").await;
        wait_for_mode(&deployment, 1, "degraded").await;
        let stream = Caller::new("head-office").stream(deployment.entry_address(0), 5, None).await;

        assert!(stream.is_ok());
        for control in 0..3 {
            deployment.start_control(control).await;
        }
        wait_for_mode(&deployment, 0, "serving").await;
        assert_eq!(served_revision(&deployment, 0).await, 1);
    });
}

#[test]
fn restarted_entry_serves_current_set_while_one_control_lags() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
        let leader = deployment.leader().await;
        let lagging = (leader + 1) % 3;
        deployment.set_control_isolated(lagging, true);
        deployment.publish("next", 1).await.expect("a reply");
        deployment.kill_entry(0).await;

        deployment.start_entry(0).await;
        wait_for_mode(&deployment, 0, "serving").await;

        assert_eq!(served_revision(&deployment, 0).await, 2);
    });
}

#[test]
fn publications_survive_log_compaction_and_restart_of_all_controls() {
    support::run_async(async {
        let options = DeploymentOptions { snapshot_entries: 50, ..DeploymentOptions::default() };
        let mut deployment = Deployment::start(3, 1, options).await;
        for revision in 1..=200 {
            let outcome = deployment.publish(&format!("p{revision}"), revision).await;
            assert!(outcome.expect("a reply").accepted);
        }
        let (_, status) = deployment.leader_status().await.expect("a leader");
        assert!(status.snapshot_index > 0, "the log must have been compacted: {status:?}");

        for control in 0..3 {
            deployment.kill_control(control).await;
        }
        for control in 0..3 {
            deployment.start_control(control).await;
        }
        let resent = deployment.publish("p7", 7).await.expect("a reply");

        assert_eq!((resent.accepted, resent.revision), (true, 8));
        deployment.wait_until_served(201).await;
    });
}

#[test]
fn follower_behind_compacted_log_catches_up_by_snapshot() {
    support::run_async(async {
        let options = DeploymentOptions { snapshot_entries: 50, ..DeploymentOptions::default() };
        let deployment = Deployment::start(3, 1, options).await;
        let lagging = (deployment.leader().await + 1) % 3;
        deployment.set_control_isolated(lagging, true);
        for revision in 1..=120 {
            deployment.publish(&format!("p{revision}"), revision).await.expect("a reply");
        }

        deployment.set_control_isolated(lagging, false);

        let caught_up = || async {
            deployment.status(lagging).await.is_some_and(|status| status.revision == 121)
        };
        eventually("the follower catches up", caught_up).await;
    });
}

#[test]
fn control_with_lost_disk_rejoins_as_new_replica_and_restores_fault_tolerance() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
        let failed = deployment.leader().await;
        let old_id = deployment.status(failed).await.expect("a reply").replica_id;

        deployment.kill_control(failed).await;
        deployment.delete_data_folder(failed);
        deployment.start_control(failed).await;
        let replaced = || async {
            let Some((_, status)) = deployment.leader_status().await else { return false };
            let replicas = status.configuration.unwrap_or_default().replicas;
            let voters = replicas.iter().filter(|r| r.voter).count();
            voters == 3 && replicas.iter().all(|r| r.id != old_id)
        };
        eventually("a new voter replaces the old replica", replaced).await;
        let second = (failed + 1) % 3;
        deployment.kill_control(second).await;
        let outcome = deployment.publish("after", 1).await.expect("a reply");

        assert!(outcome.accepted);
        deployment.wait_until_served(2).await;
    });
}

#[test]
fn control_with_damaged_log_refuses_to_start() {
    support::run_async(async {
        let mut deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
        let follower = (deployment.leader().await + 1) % 3;
        deployment.kill_control(follower).await;
        let path = deployment.data_path(follower).join("log-0.segment");
        let bytes = std::fs::read(&path).expect("the log exists");
        std::fs::write(&path, &bytes[..bytes.len() / 2 + 4_096]).expect("writable");

        let error = deployment.try_start_control(follower).await;

        let error = error.expect_err("the log is damaged").to_string();
        assert!(error.contains("is damaged at byte"), "{error}");
    });
}

#[test]
fn entries_apply_set_delta_with_removed_service_and_workspace() {
    support::run_async(async {
        let deployment = Deployment::start(3, 2, DeploymentOptions::default()).await;
        let mut set = example_set();
        set.services.retain(|service| service.name != "coach-plans");
        for workspace in &mut set.workspaces {
            workspace.services.retain(|service| service != "coach-plans");
        }
        set.workspaces.retain(|workspace| workspace.name != "phuket");

        let outcome = deployment.publish_set("smaller", 1, set).await.expect("a reply");
        deployment.wait_until_served(2).await;

        assert!(outcome.accepted);
        for entry in 0..2 {
            let address = deployment.entry_address(entry);
            let kept = Caller::new("head-office").send("GET", address, "/v1/models", &[], "").await;
            let removed = Caller::new("phuket").send("GET", address, "/v1/models", &[], "").await;
            let models = kept.expect("a response").json()["data"].as_array().map(Vec::len);
            assert_eq!(models, Some(1));
            assert_eq!(removed.expect("a response").status, 401);
        }
    });
}
