//! Route lookup by host and path prefix, API keys, and validation of sets of
//! routes.

use routing::{RouteError, RouteSetError, RouteTable, pick_weighted_service, validate_route_set};
use schema::{RepeatKind, RouteRule, RouteSet, RoutedService, RoutedWorkspace, WeightedService};

fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        kind: RepeatKind::Once.into(),
        timeout_ms: 1_000,
        services: vec![WeightedService { service: "desk".into(), weight: 1 }],
        ..RouteRule::default()
    }
}

fn workspace(name: &str, key: &str) -> RoutedWorkspace {
    RoutedWorkspace { name: name.into(), api_keys: vec![key.into()], rank: None }
}

fn set() -> RouteSet {
    RouteSet {
        number: 1,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        services: vec![RoutedService { name: "desk".into(), ..RoutedService::default() }],
        workspaces: vec![workspace("w1", "k1"), workspace("w2", "k2")],
        ..RouteSet::default()
    }
}

#[test]
fn longest_prefix_wins() {
    let table = RouteTable::new(set());

    let routed = table.route("A.example:80", "/a/b/c", Some("k2")).unwrap();

    assert_eq!(routed.route.name, "long");
    assert_eq!(routed.workspace.unwrap().name, "w2");
}

#[test]
fn prefix_matches_only_whole_path_segments() {
    let table = RouteTable::new(set());

    assert_eq!(table.route("a.example", "/ab", Some("k1")).unwrap_err(), RouteError::NotFound);
    assert_eq!(table.route("b.example", "/a/", Some("k1")).unwrap_err(), RouteError::NotFound);
}

#[test]
fn unknown_key_is_rejected_unless_the_route_is_anonymous() {
    let mut open = set();
    open.routes[0].anonymous = true;
    let table = RouteTable::new(open);

    assert_eq!(table.route("a.example", "/a/b/", None).unwrap_err(), RouteError::UnknownKey);
    assert_eq!(table.route("a.example", "/a/b/", Some("x")).unwrap_err(), RouteError::UnknownKey);
    assert!(table.route("a.example", "/a/x", Some("x")).unwrap().workspace.is_none());
}

#[test]
fn workspace_rank_takes_precedence_over_route_rank() {
    let mut ranked = set();
    ranked.routes[1].rank = 1;
    ranked.workspaces[1].rank = Some(1);
    let table = RouteTable::new(ranked);
    let rank = |path, key| table.route("a.example", path, Some(key)).unwrap().ranks();

    let ranks = [rank("/a/x", "k1"), rank("/a/b/", "k1"), rank("/a/x", "k2"), rank("/a/b/", "k2")];

    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
}

#[test]
fn service_with_zero_weight_is_never_picked() {
    let mut split = route("split", "/s/");
    split.services = vec![
        WeightedService { service: "never".into(), weight: 0 },
        WeightedService { service: "always".into(), weight: 3 },
    ];

    let picked: Vec<_> = (0..50).map(|_| pick_weighted_service(&split, &mut rand::rng())).collect();

    assert!(picked.iter().all(|service| *service == Some("always")));
}

#[test]
fn invalid_route_sets_are_rejected_with_the_reason() {
    type Case = (fn(&mut RouteSet), RouteSetError);
    let cases: [Case; 8] = [
        (|s| s.number = 0, RouteSetError::ZeroNumber),
        (
            |s| s.routes[0].services[0].service = "gone".into(),
            RouteSetError::UnknownService("short".into(), "gone".into()),
        ),
        (
            |s| s.routes[1].path_prefix = "/a/".into(),
            RouteSetError::DuplicateRoute("a.example".into(), "/a/".into()),
        ),
        (|s| s.routes[1].services[0].weight = 0, RouteSetError::ZeroWeight("long".into())),
        (|s| s.routes[1].timeout_ms = 0, RouteSetError::ZeroTimeout("long".into())),
        (|s| s.routes[0].path_prefix = "/a".into(), RouteSetError::InvalidPathPrefix("/a".into())),
        (|s| s.routes[0].kind = 0, RouteSetError::MissingKind("short".into())),
        (
            |s| s.workspaces[1].api_keys = vec!["k1".into()],
            RouteSetError::SharedApiKey("w1".into(), "w2".into()),
        ),
    ];
    for (change, expected) in cases {
        let mut set = set();
        change(&mut set);
        assert_eq!(validate_route_set(&set), Err(expected));
    }
}
