//! Publication under faults: in force everywhere, and never reverted.

mod support;

use futures::future::join;
use support::deployment::{Tune, example_set};
use support::{Caller, Deployment, eventually};

async fn mode(deployment: &Deployment, entry: usize) -> String {
    let caller = Caller::new("nobody");
    let reply = caller.send("GET", deployment.entry_address(entry), "/readyz", &[], "").await;
    let body = reply.map(|reply| reply.body).unwrap_or_default();
    String::from_utf8_lossy(&body).trim().to_string()
}

async fn wait_for_mode(deployment: &Deployment, entry: usize, expected: &str) {
    let reached = || async { mode(deployment, entry).await == expected };
    eventually(&format!("entry {entry} is {expected}"), reached).await;
}

/// Revision that an entry serves, by its own metrics.
async fn revision(deployment: &Deployment, entry: usize) -> u64 {
    deployment.metric(entry, "shallottray_entry_revision").await
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_learns_whose_set_it_was() {
    support::run(async {
        let deployment = Deployment::start(3, 2, Tune::default()).await;

        let (a, b) = join(deployment.publish("a", 1), deployment.publish("b", 1)).await;

        let (a, b) = (a.expect("an answer"), b.expect("an answer"));
        let (winner, loser) = if a.accepted { (a, b) } else { (b, a) };
        assert!(winner.accepted && !loser.accepted);
        assert_eq!((loser.revision, &loser.publication_id), (2, &winner.publication_id));
        deployment.wait_in_force(2).await;
    });
}

#[test]
fn a_resent_publication_gets_the_first_answer_across_a_leader_change() {
    support::run(async {
        let mut deployment = Deployment::start(3, 1, Tune::default()).await;
        let first = deployment.publish("again", 1).await.expect("an answer");
        deployment.publish("later", 2).await.expect("an answer");

        let leader = deployment.leader().await;
        deployment.kill_control(leader).await;
        let resent = deployment.publish("again", 1).await.expect("an answer");

        assert_eq!(resent, first);
        deployment.wait_in_force(3).await;
    });
}

#[test]
fn publishing_goes_on_after_the_leader_died() {
    support::run(async {
        let mut deployment = Deployment::start(3, 2, Tune::default()).await;

        let leader = deployment.leader().await;
        deployment.kill_control(leader).await;
        let outcome = deployment.publish("next", 1).await.expect("an answer");

        assert!(outcome.accepted);
        deployment.wait_in_force(2).await;
    });
}

#[test]
fn an_isolated_leader_accepts_nothing_and_comes_back_without_a_revert() {
    support::run(async {
        let deployment = Deployment::start(3, 2, Tune::default()).await;
        let old = deployment.leader().await;

        deployment.isolate_control(old, true);
        let outcome = deployment.publish("during", 1).await.expect("an answer");
        deployment.wait_in_force(2).await;
        deployment.isolate_control(old, false);
        let caught_up =
            || async { deployment.status(old).await.is_some_and(|status| status.revision == 2) };
        eventually("the old leader catches up", caught_up).await;

        assert!(outcome.accepted);
        assert_eq!((revision(&deployment, 0).await, revision(&deployment, 1).await), (2, 2));
    });
}

#[test]
fn an_entry_cut_off_alone_stops_taking_work_and_comes_back_with_the_new_set() {
    support::run(async {
        let deployment = Deployment::start(3, 3, Tune::default()).await;

        deployment.cut_entry_from_controls(0, true);
        wait_for_mode(&deployment, 0, "unconfirmed").await;
        deployment.publish("during", 1).await.expect("an answer");
        let reply = Caller::new("head-office")
            .book(deployment.entry_address(0), "k", "{}")
            .await
            .expect("an answer");
        deployment.cut_entry_from_controls(0, false);
        wait_for_mode(&deployment, 0, "serving").await;

        assert_eq!((reply.verdict.as_str(), reply.code().as_str()), ("not-run", "unavailable"));
        let current = || async { revision(&deployment, 0).await == 2 };
        eventually("the entry serves the new set", current).await;
    });
}

#[test]
fn an_entry_that_reaches_nobody_stops_taking_work() {
    support::run(async {
        let deployment = Deployment::start(3, 3, Tune::default()).await;

        deployment.isolate_entry(0, true);

        wait_for_mode(&deployment, 0, "unconfirmed").await;
        assert_eq!(mode(&deployment, 1).await, "serving");
    });
}

#[test]
fn entries_go_on_with_the_last_confirmed_set_when_nobody_can_confirm_it() {
    support::run(async {
        let mut deployment = Deployment::start(3, 2, Tune::default()).await;
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
        assert_eq!(revision(&deployment, 0).await, 1);
    });
}

#[test]
fn a_restarted_entry_serves_the_current_set_though_one_control_is_behind() {
    support::run(async {
        let mut deployment = Deployment::start(3, 1, Tune::default()).await;
        let leader = deployment.leader().await;
        let behind = (leader + 1) % 3;
        deployment.isolate_control(behind, true);
        deployment.publish("next", 1).await.expect("an answer");
        deployment.kill_entry(0).await;

        deployment.start_entry(0).await;
        wait_for_mode(&deployment, 0, "serving").await;

        assert_eq!(revision(&deployment, 0).await, 2);
    });
}

#[test]
fn everything_is_there_after_hundreds_of_changes_and_a_restart_of_all() {
    support::run(async {
        let tune = Tune { snapshot_entries: 50, ..Tune::default() };
        let mut deployment = Deployment::start(3, 1, tune).await;
        for revision in 1..=200 {
            let outcome = deployment.publish(&format!("p{revision}"), revision).await;
            assert!(outcome.expect("an answer").accepted);
        }
        let (_, status) = deployment.leader_status().await.expect("a leader");
        assert!(status.snapshot_index > 0, "the log was replaced by a snapshot: {status:?}");

        for control in 0..3 {
            deployment.kill_control(control).await;
        }
        for control in 0..3 {
            deployment.start_control(control).await;
        }
        let resent = deployment.publish("p7", 7).await.expect("an answer");

        assert_eq!((resent.accepted, resent.revision), (true, 8));
        deployment.wait_in_force(201).await;
    });
}

#[test]
fn a_follower_that_missed_hundreds_of_changes_gets_a_snapshot() {
    support::run(async {
        let tune = Tune { snapshot_entries: 50, ..Tune::default() };
        let deployment = Deployment::start(3, 1, tune).await;
        let behind = (deployment.leader().await + 1) % 3;
        deployment.isolate_control(behind, true);
        for revision in 1..=120 {
            deployment.publish(&format!("p{revision}"), revision).await.expect("an answer");
        }

        deployment.isolate_control(behind, false);

        let caught_up = || async {
            deployment.status(behind).await.is_some_and(|status| status.revision == 121)
        };
        eventually("the follower catches up", caught_up).await;
    });
}

#[test]
fn a_lost_disk_comes_back_as_a_new_replica_and_a_second_may_go_after_the_repair() {
    support::run(async {
        let mut deployment = Deployment::start(3, 1, Tune::default()).await;
        let first = deployment.leader().await;
        let old_id = deployment.status(first).await.expect("an answer").replica_id;

        deployment.kill_control(first).await;
        deployment.lose_disk(first);
        deployment.start_control(first).await;
        let repaired = || async {
            let Some((_, status)) = deployment.leader_status().await else { return false };
            let replicas = status.configuration.unwrap_or_default().replicas;
            let voters = replicas.iter().filter(|r| r.voter).count();
            voters == 3 && replicas.iter().all(|r| r.id != old_id)
        };
        eventually("the new replica votes in place of the old one", repaired).await;
        let second = (first + 1) % 3;
        deployment.kill_control(second).await;
        let outcome = deployment.publish("after", 1).await.expect("an answer");

        assert!(outcome.accepted);
        deployment.wait_in_force(2).await;
    });
}

#[test]
fn a_damaged_log_keeps_a_control_process_from_starting() {
    support::run(async {
        let mut deployment = Deployment::start(3, 1, Tune::default()).await;
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
fn a_changed_set_is_in_force_whole_though_only_its_difference_travels() {
    support::run(async {
        let deployment = Deployment::start(3, 2, Tune::default()).await;
        let mut set = example_set();
        set.services.retain(|service| service.name != "coach-plans");
        for workspace in &mut set.workspaces {
            workspace.services.retain(|service| service != "coach-plans");
        }
        set.workspaces.retain(|workspace| workspace.name != "phuket");

        let outcome = deployment.publish_set("smaller", 1, set).await.expect("an answer");
        deployment.wait_in_force(2).await;

        assert!(outcome.accepted);
        for entry in 0..2 {
            let address = deployment.entry_address(entry);
            let kept = Caller::new("head-office").send("GET", address, "/v1/models", &[], "").await;
            let gone = Caller::new("phuket").send("GET", address, "/v1/models", &[], "").await;
            let models = kept.expect("an answer").json()["data"].as_array().map(Vec::len);
            assert_eq!(models, Some(1));
            assert_eq!(gone.expect("an answer").status, 401);
        }
    });
}
