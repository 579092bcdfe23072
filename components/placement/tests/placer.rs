//! Single decisions of a placer, driven step by step.

use std::sync::Arc;

use placement::{Acquire, AskId, Effect, Mechanisms, Placer, PlacerOptions, View};
use schema::{
    AnnounceRequest, CreditReply, CreditRequest, DigestRequest, EngineLoad, EntryMember,
    UpstreamDigest, UpstreamKind,
};
use smallvec::smallvec;

const NOW_MS: u64 = 1_000;

fn member(vm: &str) -> EntryMember {
    EntryMember { vm: vm.to_string(), epoch: 1, ..EntryMember::default() }
}

fn view(vms: &[&str], version: u64) -> View {
    View {
        members: vms.iter().map(|vm| member(vm)).collect::<Arc<[EntryMember]>>(),
        members_version: version,
        takes_work: true,
        ..View::default()
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

fn acquire() -> Acquire {
    Acquire {
        service: "s".into(),
        workspace: "w".into(),
        share: 1,
        max_streams: 5,
        max_waiting: 5,
        max_wait_ms: 10_000,
        due_in_ms: 10_000,
        needs: smallvec!["v1".into()],
        prompt_tokens: 10,
        max_output_tokens: 100,
        ..Acquire::default()
    }
}

/// Placer that knows of an engine of another entry.
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
    assert!(placer.take_digest(digest, NOW_MS));
    placer.take_effects();
    placer
}

fn asks(placer: &mut Placer) -> Vec<AskId> {
    let effects = placer.take_effects().into_iter();
    let ask = |effect| match effect {
        Effect::AskOwner { ask, .. } => Some(ask),
        _ => None,
    };
    effects.filter_map(ask).collect()
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
fn an_owned_engine_is_given_out_once_and_again_after_its_release() {
    let mut placer = placer("a", &["a"]);
    placer.announce(engine("e"), NOW_MS).expect("room for an upstream");

    placer.acquire(acquire(), NOW_MS).expect("queued");
    placer.acquire(acquire(), NOW_MS).expect("queued");
    let first = placed(&mut placer);
    placer.release(
        placement::Release {
            placement: first[0].clone(),
            service: "s".into(),
            workspace: "w".into(),
            share: 1,
            prompt_tokens: 10,
            output_tokens: 20,
            whole: true,
        },
        NOW_MS,
    );
    let second = placed(&mut placer);

    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].credit, second[0].credit);
}

#[test]
fn a_request_abandoned_while_it_is_tried_holds_nobody_up() {
    let mut placer = placer_with_remote_engine();
    let abandoned = placer.acquire(acquire(), NOW_MS).expect("queued");
    let ask = asks(&mut placer)[0];

    placer.abandon("s", abandoned);
    placer.credit_answered(ask, Some(CreditReply::default()), NOW_MS);
    placer.acquire(acquire(), NOW_MS).expect("queued");

    assert_eq!(asks(&mut placer).len(), 1, "the next request is tried at once");
}

#[test]
fn a_credit_for_an_abandoned_request_goes_back() {
    let mut placer = placer_with_remote_engine();
    let abandoned = placer.acquire(acquire(), NOW_MS).expect("queued");
    let ask = asks(&mut placer)[0];

    placer.abandon("s", abandoned);
    let granted = CreditReply { granted: true, credit: 7, ..CreditReply::default() };
    placer.credit_answered(ask, Some(granted), NOW_MS);

    let returned = placer.take_effects().into_iter().any(
        |effect| matches!(effect, Effect::Release(vm, release) if vm == "b" && release.credit == 7),
    );
    assert!(returned);
}

#[test]
fn an_owner_that_does_not_answer_is_left_alone_until_it_speaks_again() {
    let mut placer = placer_with_remote_engine();
    placer.acquire(acquire(), NOW_MS).expect("queued");
    let ask = asks(&mut placer)[0];

    placer.credit_answered(ask, None, NOW_MS);
    placer.tick(NOW_MS + 100);
    let while_silent = asks(&mut placer).len();
    let digest =
        DigestRequest { vm: "b".to_string(), epoch: 1, sequence: 2, ..DigestRequest::default() };
    assert!(placer.take_digest(digest, NOW_MS + 200));
    let after_it_spoke = asks(&mut placer).len();

    assert_eq!((while_silent, after_it_spoke), (0, 1));
}

#[test]
fn an_engine_that_moved_to_another_owner_is_granted_no_more() {
    let mut placer = placer("a", &["a"]);
    let moving = (0..100).map(|n| format!("e{n}")).find(|name| {
        routing::owner(&[member("a"), member("b")], name).is_some_and(|owner| owner.vm == "b")
    });
    let moving = moving.expect("some engine moves");
    placer.announce(engine(&moving), NOW_MS).expect("room for an upstream");
    let request =
        CreditRequest { upstream: moving, max_output_tokens: 10, ..CreditRequest::default() };
    let before = placer.answer_credit("c", &request, NOW_MS);

    placer.set_view(view(&["a", "b"], 2), NOW_MS);
    let after = placer.answer_credit("c", &request, NOW_MS);

    assert!(before.is_some_and(|reply| reply.granted));
    assert!(after.is_none());
}
