//! Quarantine of prompt parts: who may change it, and what it survives.

mod support;

use schema::{
    CrashReport, GetQuarantineRequest, LiftQuarantine, QuarantineParts, QuarantinedParts, reply,
    request,
};
use support::deployment::{DeploymentOptions, entry_vm};
use support::{Deployment, eventually};
use wire::CallError;

const CRASHING: u64 = 0xdead;
/// Fingerprint of a request without prompt parts.
const CRASHING_REQUEST: u64 = 0xf00d;

async fn quarantined(deployment: &Deployment) -> Option<Vec<QuarantinedParts>> {
    let body = request::Body::GetQuarantine(GetQuarantineRequest {});
    match deployment.call(body).await {
        Some(reply::Body::Quarantine(quarantine)) => Some(quarantine.sets),
        _ => None,
    }
}

/// Reports crashes of three upstreams under these features to a control process that does
/// not lead, then kills all control processes and starts them again.
async fn quarantine_survives_the_loss_of_control(parts: Vec<u64>, request: u64) {
    let mut deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
    let follower = (deployment.leader().await + 1) % 3;

    for upstream in ["e1", "e2", "e3"] {
        let report = CrashReport {
            vm: entry_vm(0),
            upstream: upstream.to_string(),
            parts: parts.clone(),
            request,
            ..CrashReport::default()
        };
        let reply = deployment.call_as_entry(0, follower, request::Body::Crash(report)).await;
        assert!(matches!(reply, Ok(reply::Body::Crash(_))), "{reply:?}");
    }
    wait_until_quarantined(&deployment, &parts, request).await;
    for index in 0..3 {
        deployment.kill_control(index).await;
    }
    for index in 0..3 {
        deployment.start_control(index).await;
    }

    wait_until_quarantined(&deployment, &parts, request).await;
}

async fn wait_until_quarantined(deployment: &Deployment, parts: &[u64], request: u64) {
    let is_listed = || async {
        let sets = quarantined(deployment).await.unwrap_or_default();
        sets.iter().any(|set| set.parts == parts && set.request == request)
    };
    eventually(&format!("{parts:x?}, request {request:x} is quarantined"), is_listed).await;
}

#[test]
fn parts_quarantined_at_a_follower_survive_the_loss_of_all_control_processes() {
    support::run_async(quarantine_survives_the_loss_of_control(vec![CRASHING], 0));
}

/// Guards against a request that crashes upstreams again once control was restored.
#[test]
fn request_quarantined_at_a_follower_survives_the_loss_of_all_control_processes() {
    support::run_async(quarantine_survives_the_loss_of_control(Vec::new(), CRASHING_REQUEST));
}

#[test]
fn operator_adds_and_lifts_a_quarantine() {
    support::run_async(async {
        let deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;

        let add = QuarantineParts {
            parts: vec![7, 3],
            operator: "someone".to_string(),
            ..QuarantineParts::default()
        };
        deployment.call(request::Body::QuarantineParts(add)).await.expect("a reply");
        let sets = quarantined(&deployment).await.expect("a reply");
        let lift = LiftQuarantine { parts: vec![3, 7], ..LiftQuarantine::default() };
        deployment.call(request::Body::LiftQuarantine(lift)).await.expect("a reply");

        let listed: Vec<_> =
            sets.iter().map(|set| (&set.parts[..], set.operator.as_str())).collect();
        assert_eq!(listed, [(&[3, 7][..], "alice")]);
        assert_eq!(quarantined(&deployment).await, Some(Vec::new()));
    });
}

#[test]
fn entry_may_report_crashes_in_its_own_name_only() {
    support::run_async(async {
        let deployment = Deployment::start(3, 1, DeploymentOptions::default()).await;
        let leader = deployment.leader().await;

        let report = CrashReport { vm: "another".to_string(), ..CrashReport::default() };
        let add = QuarantineParts { parts: vec![CRASHING], ..QuarantineParts::default() };
        let lift = LiftQuarantine { parts: vec![CRASHING], ..LiftQuarantine::default() };

        for body in [
            request::Body::Crash(report),
            request::Body::QuarantineParts(add),
            request::Body::LiftQuarantine(lift),
        ] {
            let reply = deployment.call_as_entry(0, leader, body).await;
            assert!(matches!(reply, Err(CallError::Refused(_))), "{reply:?}");
        }
    });
}
