//! Changes between arbitrary sets, and chunks that are damaged.

use distribution::{
    ChangeError, Fingerprint, Received, RouteReceiver, RouteSource, apply_change, compute_change,
};
use proptest::prelude::*;
use schema::{CallerLimits, FetchRoutesReply, RouteRule, RouteSet, RoutedService, RoutedWorkspace};

fn set(number: u64, routes: &[u8], services: &[u8], workspaces: &[u8], idle_ms: u64) -> RouteSet {
    let route = |id: &u8| RouteRule { name: format!("r{id}"), ..RouteRule::default() };
    let service = |id: &u8| RoutedService { name: format!("s{id}"), ..RoutedService::default() };
    let workspace =
        |id: &u8| RoutedWorkspace { name: format!("w{id}"), ..RoutedWorkspace::default() };
    RouteSet {
        number,
        routes: routes.iter().map(route).collect(),
        services: services.iter().map(service).collect(),
        limits: Some(CallerLimits { idle_timeout_ms: idle_ms, ..CallerLimits::default() }),
        workspaces: workspaces.iter().map(workspace).collect(),
        ..RouteSet::default()
    }
}

fn any_set(number: u64) -> impl Strategy<Value = RouteSet> {
    let items = || prop::collection::vec(0..20u8, 0..30);
    (items(), items(), items(), 0..3u64).prop_map(move |(routes, services, workspaces, idle_ms)| {
        set(number, &routes, &services, &workspaces, idle_ms)
    })
}

proptest! {
    /// Items may be moved, repeated, added and removed.
    #[test]
    fn change_turns_any_set_into_any_other(old in any_set(3), new in any_set(9)) {
        let base = Fingerprint::of(&old);
        let change = compute_change(&base, &new, &Fingerprint::of(&new));

        let (result, fingerprint) = apply_change(&old, &base, change).expect("it applies");

        prop_assert_eq!(fingerprint, Fingerprint::of(&new));
        prop_assert_eq!(result, new);
    }

    /// A change that meets another base gives an error or the right result, never another set.
    #[test]
    fn change_on_another_base_is_noticed(
        old in any_set(3),
        other in any_set(4),
        new in any_set(9),
    ) {
        let change = compute_change(&Fingerprint::of(&old), &new, &Fingerprint::of(&new));

        if let Ok((result, _)) = apply_change(&other, &Fingerprint::of(&other), change) {
            prop_assert_eq!(result, new);
        }
    }
}

#[test]
fn damaged_chunk_is_refused_and_the_transfer_starts_again() {
    let current = set(2, &[1, 2, 3], &[1], &[1], 5);
    let mut source = RouteSource::default();
    source.record(&current);
    let mut receiver = RouteReceiver::default();
    let sound = source.next_chunk(&receiver.next_request(), &current);
    let mut damaged = sound.chunk.to_vec();
    damaged[3] ^= 1;

    let damaged = FetchRoutesReply { chunk: damaged.into(), ..sound };
    let refused = receiver.receive(damaged, &RouteSet::default());

    assert_eq!(refused, Err(ChangeError::Corrupted));
    assert_eq!(receiver.next_request().offset, 0);
}

#[test]
fn gateway_with_the_set_in_force_gets_no_change() {
    let current = set(2, &[1], &[1], &[1], 5);
    let mut source = RouteSource::default();
    source.record(&current);

    let mut receiver = RouteReceiver::of(&current);
    let reply = source.next_chunk(&receiver.next_request(), &current);

    assert_eq!(reply, FetchRoutesReply::default());
    assert_eq!(receiver.receive(reply, &current), Ok(Received::NothingNewer));
}
