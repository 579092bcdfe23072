//! Streams and answers in progress while the deployment around them changes.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt as _;
use futures::future::{join, join_all};
use schema::ObjectSet;
use schema::service::Backend;
use standin::engine::Faults;
use support::caller::{assert_complete, chat_body, parse_token};
use support::deployment::{DeploymentOptions, example_set};
use support::{Caller, Deployment};
use tokio::time::sleep;

/// Tokens of an answer, which takes 3 s at 5 ms each.
const TOKENS: u64 = 600;
/// Tokens that have arrived when the change begins.
const TOKENS_BEFORE: usize = 20;
/// Tokens after which an engine breaks a connection off: after its lease has expired.
const TOKENS_BEFORE_BREAK: u64 = 450;
/// Time after a change for its effects; the leases of a deployment are shorter.
const SETTLE_TIME: Duration = Duration::from_millis(1_800);

/// Starts a deployment with an engine, whose requests may wait long for it.
async fn start_deployment(controls: usize) -> Deployment {
    let mut deployment = Deployment::start(controls, 1, DeploymentOptions::default()).await;
    deployment.start_engine(0).await;
    publish(&deployment, 1, patient_set()).await;
    deployment
}

fn patient_set() -> ObjectSet {
    let mut set = example_set();
    for priority in &mut set.priorities {
        (priority.first_token_ms, priority.max_wait_ms) = (30_000, 30_000);
    }
    set
}

/// Publishes the set that follows on a revision and waits until entries serve it.
async fn publish(deployment: &Deployment, revision: u64, set: ObjectSet) {
    let id = format!("set-{revision}");
    let outcome = deployment.publish_set(&id, revision, set).await.expect("a reply");
    assert!(outcome.accepted, "{outcome:?}");
    deployment.wait_until_served(revision + 1).await;
}

/// Change of a published set, with its name.
type SetChange = (&'static str, fn(&mut ObjectSet));

fn workspace_changes() -> Vec<SetChange> {
    vec![
        ("service withdrawn from workspaces", |set| {
            for workspace in &mut set.workspaces {
                workspace.services.retain(|service| service != "coach-llm");
            }
        }),
        ("workspace removed", |set| set.workspaces.retain(|w| w.name != "head-office")),
        ("key revoked", |set| {
            let workspaces = set.workspaces.iter_mut();
            workspaces.for_each(|w| w.api_key_sha256 = vec![objects::hash_secret(&w.name)]);
        }),
        ("limits lowered", |set| {
            for workspace in &mut set.workspaces {
                (workspace.share, workspace.max_streams, workspace.max_waiting) = (1, 1, 1);
            }
        }),
    ]
}

fn service_changes() -> Vec<SetChange> {
    vec![
        ("same set", |_| {}),
        ("service removed", |set| {
            set.services.retain(|service| service.name != "coach-llm");
            for workspace in &mut set.workspaces {
                workspace.services.retain(|service| service != "coach-llm");
            }
        }),
        ("times lowered", |set| {
            for priority in &mut set.priorities {
                (priority.stall_ms, priority.first_token_ms, priority.max_wait_ms) = (1, 1, 1);
            }
        }),
        ("shorter output", |set| {
            for service in &mut set.services {
                if let Some(Backend::Generation(generation)) = &mut service.backend {
                    generation.max_output_tokens = 1;
                }
            }
        }),
        ("other adapter", |set| {
            for service in &mut set.services {
                if let Some(Backend::Generation(generation)) = &mut service.backend {
                    generation.adapter = String::new();
                }
            }
        }),
    ]
}

/// What happens while answers are in progress.
#[derive(Clone, Copy, Debug)]
enum Change {
    EngineLeaves,
    /// The engine's announcements stop until its lease has expired.
    EngineFallsSilent,
    /// The connection to the engine is lost after its lease has expired.
    EngineFallsSilentAndBreaksOff,
    LeaderLost,
    AllControlsLost,
    EntryStops,
}

/// Reads a stream and a whole answer of the first entry, while `change` happens.
async fn assert_answers_outlast(
    name: &str,
    deployment: &mut Deployment,
    change: impl AsyncFnOnce(&mut Deployment),
) {
    let entry = deployment.entry_address(0);
    let caller = Caller::new("head-office");
    let path = "/v1/chat/completions";
    let answering = actix_rt::spawn({
        let caller = caller.clone();
        async move { caller.send("POST", entry, path, &[], chat_body(TOKENS, false)).await }
    });
    let mut stream = caller.stream(entry, TOKENS, None).await.expect("accepted");
    let mut tokens = Vec::new();
    while tokens.len() < TOKENS_BEFORE {
        tokens.extend(parse_token(&stream.next().await.flatten().expect("an event")));
    }

    let reading = async {
        let mut completed = false;
        while let Some(Some(event)) = stream.next().await {
            assert_ne!(event.event, "error", "{name}: {}", event.data);
            completed |= event.data == "[DONE]";
            tokens.extend(parse_token(&event));
        }
        completed
    };
    let (completed, ()) = join(reading, change(deployment)).await;
    let answer = answering.await.expect("no panic");

    assert!(completed, "{name}");
    assert_complete(&tokens, TOKENS);
    let answer = answer.unwrap_or_else(|| panic!("{name}: no whole answer"));
    assert_eq!(answer.status, 200, "{name}");
    assert_eq!(answer.json()["usage"]["completion_tokens"], TOKENS, "{name}");
    let started: u64 = deployment.engines.iter().map(|e| e.batch.counters().started).sum();
    assert_eq!(started, 2, "{name}: each answer comes from one generation");
}

/// Guards against answers that are cut when a set of objects comes into force.
#[test]
fn answers_in_progress_outlast_changes_of_workspaces() {
    assert_answers_outlast_publications(workspace_changes());
}

#[test]
fn answers_in_progress_outlast_changes_of_services() {
    assert_answers_outlast_publications(service_changes());
}

fn assert_answers_outlast_publications(changes: Vec<SetChange>) {
    support::run_async(async {
        let cases = changes.into_iter().map(|(name, change)| async move {
            let mut deployment = start_deployment(1).await;
            let mut set = patient_set();
            change(&mut set);
            let put_in_force =
                async |deployment: &mut Deployment| publish(deployment, 2, set).await;

            assert_answers_outlast(name, &mut deployment, put_in_force).await;
        });
        join_all(cases).await;
    });
}

/// Guards against answers that are cut since their engine leaves or announces itself no more.
#[test]
fn answers_in_progress_outlast_changes_of_their_engine() {
    let changes =
        [Change::EngineLeaves, Change::EngineFallsSilent, Change::EngineFallsSilentAndBreaksOff];
    assert_answers_outlast_changes(1, &changes);
}

/// Guards against answers that are cut since control processes are lost.
#[test]
fn answers_in_progress_outlast_the_loss_of_the_leader() {
    assert_answers_outlast_changes(3, &[Change::LeaderLost]);
}

#[test]
fn answers_in_progress_outlast_the_loss_of_all_control_processes() {
    assert_answers_outlast_changes(1, &[Change::AllControlsLost]);
}

/// Guards against answers that are cut since their entry is told to stop.
#[test]
fn answers_in_progress_outlast_a_planned_stop_of_their_entry() {
    assert_answers_outlast_changes(1, &[Change::EntryStops]);
}

fn assert_answers_outlast_changes(controls: usize, changes: &[Change]) {
    support::run_async(async {
        let cases = changes.iter().map(|change| async move {
            let mut deployment = start_deployment(controls).await;
            if matches!(change, Change::EngineFallsSilentAndBreaksOff) {
                let drop_after_tokens = Some(TOKENS_BEFORE_BREAK);
                let faults = Faults { drop_after_tokens, ..Faults::default() };
                deployment.engines[0].batch.set_faults(faults);
            }
            let begin = async |deployment: &mut Deployment| begin(*change, deployment).await;

            assert_answers_outlast(&format!("{change:?}"), &mut deployment, begin).await;
        });
        join_all(cases).await;
    });
}

async fn begin(change: Change, deployment: &mut Deployment) {
    let engine = &deployment.engines[0];
    match change {
        Change::EngineLeaves => engine.leaving.store(true, Ordering::Relaxed),
        Change::EngineFallsSilent | Change::EngineFallsSilentAndBreaksOff => {
            engine.announcements_paused.store(true, Ordering::Relaxed);
        }
        Change::LeaderLost => {
            let leader = deployment.leader().await;
            deployment.kill_control(leader).await;
            deployment.leader().await;
        }
        Change::AllControlsLost => {
            for index in 0..deployment.controls.len() {
                deployment.kill_control(index).await;
            }
        }
        Change::EntryStops => {
            let entry = deployment.entries[0].take().expect("the entry runs");
            entry.stop().await;
        }
    }
    sleep(SETTLE_TIME).await;
}
