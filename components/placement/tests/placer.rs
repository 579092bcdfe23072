//! Unit tests of single placer decisions.

use std::sync::Arc;

use placement::{
    CreditRequestId, DeploymentView, Effect, Mechanisms, PlacementRequest, Placer, PlacerOptions,
};
use schema::{
    AnnounceRequest, CreditReply, CreditRequest, DigestRequest, EngineLoad, EntryMember,
    UpstreamDigest, UpstreamKind,
};
use smallvec::smallvec;

const NOW_MS: u64 = 1_000;

fn member(vm: &str) -> EntryMember {
    EntryMember { vm: vm.to_string(), epoch: 1, ..EntryMember::default() }
}

fn view(vms: &[&str], version: u64) -> DeploymentView {
    DeploymentView {
        members: vms.iter().map(|vm| member(vm)).collect::<Arc<[EntryMember]>>(),
        members_version: version,
        accepts_requests: true,
        ..DeploymentView::default()
    }
}

fn placer(vm: &str, vms: &[&str]) -> Placer {
    let mut placer = Placer::new(PlacerOptions {
        vm: vm.into(),
        data_centre: "dc".into(),
        epoch: 1,
        http_address: "10.0.0.1:80".into(),
        upstream_lease_ms: 2_000,
        credit_lease_ms: 3_000,
        max_waiting: 10,
        max_upstreams: 10,
        mechanisms: Mechanisms::default(),
    });
    placer.set_view(view(vms, 1), NOW_MS);
    placer
}

fn engine(name: &str) -> AnnounceRequest {
    AnnounceRequest {
        upstream: name.to_string(),
        kind: UpstreamKind::Engine.into(),
        address: "10.0.0.9:90".to_string(),
        epoch: 1,
        serves: vec!["v1".to_string()],
        load: Some(EngineLoad { cache_tokens: 10_000, max_running: 1, ..EngineLoad::default() }),
        ..AnnounceRequest::default()
    }
}

fn placement_request() -> PlacementRequest {
    PlacementRequest {
        service: "s".into(),
        workspace: "w".into(),
        share: 1,
        max_running: 5,
        max_waiting: 5,
        max_wait_ms: 10_000,
        max_on_time_wait_ms: 10_000,
        required_artifacts: smallvec!["v1".into()],
        prompt_tokens: 10,
        max_output_tokens: 100,
        ..PlacementRequest::default()
    }
}

/// Returns a placer that knows an engine owned by another entry.
fn placer_with_remote_engine() -> Placer {
    let mut placer = placer("a", &["a", "b"]);
    let digest = UpstreamDigest {
        upstream: "e".to_string(),
        kind: UpstreamKind::Engine.into(),
        address: "10.0.0.9:90".to_string(),
        serves: vec!["v1".to_string()],
        free_tokens: 5_000,
        cache_tokens: 10_000,
        max_running: 8,
        ..UpstreamDigest::default()
    };
    let digest = DigestRequest {
        vm: "b".to_string(),
        epoch: 1,
        sequence: 1,
        whole: true,
        upstreams: vec![digest],
    };
    assert!(placer.apply_digest(digest, NOW_MS));
    placer.take_effects();
    placer
}

fn credit_requests(placer: &mut Placer) -> Vec<CreditRequestId> {
    let effects = placer.take_effects().into_iter();
    let id = |effect| match effect {
        Effect::RequestCredit { id, .. } => Some(id),
        _ => None,
    };
    effects.filter_map(id).collect()
}

fn placed(placer: &mut Placer) -> Vec<placement::Placement> {
    let effects = placer.take_effects().into_iter();
    let placement = |effect| match effect {
        Effect::Placed(_, placement) => Some(placement),
        _ => None,
    };
    effects.filter_map(placement).collect()
}

#[test]
fn engine_slot_is_granted_to_one_request_at_a_time() {
    let mut placer = placer("a", &["a"]);
    placer.announce(engine("e"), NOW_MS).expect("capacity for an upstream");

    placer.enqueue(placement_request(), NOW_MS).expect("queued");
    placer.enqueue(placement_request(), NOW_MS).expect("queued");
    let first = placed(&mut placer);
    placer.release(
        placement::Release {
            placement: first[0].clone(),
            service: "s".into(),
            workspace: "w".into(),
            share: 1,
            prompt_tokens: 10,
            output_tokens: 20,
            output_complete: true,
        },
        NOW_MS,
    );
    let second = placed(&mut placer);

    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].credit, second[0].credit);
}

#[test]
fn request_cancelled_during_placement_does_not_block_the_queue() {
    let mut placer = placer_with_remote_engine();
    let cancelled = placer.enqueue(placement_request(), NOW_MS).expect("queued");
    let id = credit_requests(&mut placer)[0];

    placer.cancel("s", cancelled);
    placer.handle_credit_reply(id, Some(CreditReply::default()), NOW_MS);
    placer.enqueue(placement_request(), NOW_MS).expect("queued");

    assert_eq!(credit_requests(&mut placer).len(), 1, "the next request is tried at once");
}

#[test]
fn credit_granted_to_a_cancelled_request_is_released() {
    let mut placer = placer_with_remote_engine();
    let cancelled = placer.enqueue(placement_request(), NOW_MS).expect("queued");
    let id = credit_requests(&mut placer)[0];

    placer.cancel("s", cancelled);
    let granted = CreditReply { granted: true, credit: 7, ..CreditReply::default() };
    placer.handle_credit_reply(id, Some(granted), NOW_MS);

    let released = placer.take_effects().into_iter().any(
        |effect| {
            matches!(effect, Effect::ReleaseCredit(vm, release) if vm == "b" && release.credit == 7)
        },
    );
    assert!(released);
}

#[test]
fn unresponsive_owner_receives_no_credit_requests_until_its_next_digest() {
    let mut placer = placer_with_remote_engine();
    placer.enqueue(placement_request(), NOW_MS).expect("queued");
    let id = credit_requests(&mut placer)[0];

    placer.handle_credit_reply(id, None, NOW_MS);
    placer.tick(NOW_MS + 100);
    let before_digest = credit_requests(&mut placer).len();
    let digest =
        DigestRequest { vm: "b".to_string(), epoch: 1, sequence: 2, ..DigestRequest::default() };
    assert!(placer.apply_digest(digest, NOW_MS + 200));
    let after_digest = credit_requests(&mut placer).len();

    assert_eq!((before_digest, after_digest), (0, 1));
}

#[test]
fn former_owner_grants_no_credits_for_a_reassigned_engine() {
    let mut placer = placer("a", &["a"]);
    let reassigned = (0..100).map(|n| format!("e{n}")).find(|name| {
        routing::owner(&[member("a"), member("b")], name).is_some_and(|owner| owner.vm == "b")
    });
    let reassigned = reassigned.expect("an engine that b owns");
    placer.announce(engine(&reassigned), NOW_MS).expect("capacity for an upstream");
    let request =
        CreditRequest { upstream: reassigned, max_output_tokens: 10, ..CreditRequest::default() };
    let before = placer.handle_credit_request("c", &request, NOW_MS);

    placer.set_view(view(&["a", "b"], 2), NOW_MS);
    let after = placer.handle_credit_request("c", &request, NOW_MS);

    assert!(before.is_some_and(|reply| reply.granted));
    assert!(after.is_none());
}
