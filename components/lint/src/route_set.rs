//! Findings in a set of routes, and its differences from another one.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use balance::RequestRate;
use compact_str::{CompactString, format_compact};
use routing::{RouteTable, host_key};
use schema::{RepeatKind, RouteRule, RouteSet, RoutedService, RoutedWorkspace};

use crate::changes::{Change, Effect, compare};
use crate::entries::Entry;
use crate::finding::{Finding, FindingKind};
use crate::hosts::{check_host, check_path_prefix, is_header_value};

/// Returns the findings in a set of routes: first the errors, for which control processes
/// refuse it, then the warnings.
///
/// ```
/// use lint::{Severity, check_route_set};
/// let service = schema::RoutedService { name: "desk".into(), ..Default::default() };
/// let set = schema::RouteSet { number: 1, services: vec![service], ..Default::default() };
/// let findings = check_route_set(&set);
/// assert_eq!(findings[0].to_string(), "service desk: no route sends requests to it");
/// assert_eq!(findings[0].severity(), Severity::Warning);
/// ```
pub fn check_route_set(set: &RouteSet) -> Vec<Finding> {
    let mut checker = Checker { set, findings: Vec::new() };
    checker.report_errors();
    checker.check_routes();
    checker.check_services();
    checker.check_limits();
    checker.check_workspaces();
    checker.findings
}

/// Returns a finding if the set would not replace the one in force.
pub fn find_outdated_number(set: &RouteSet, in_force: u64) -> Option<Finding> {
    (set.number > 0 && set.number <= in_force).then(|| Finding {
        pointer: "/number".into(),
        entry: "set".into(),
        kind: FindingKind::OutdatedNumber { in_force },
    })
}

struct Checker<'a> {
    set: &'a RouteSet,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn report(&mut self, pointer: CompactString, kind: FindingKind) {
        let entry = entry_at(self.set, &pointer);
        self.findings.push(Finding { pointer, entry, kind });
    }

    fn report_errors(&mut self) {
        for problem in routing::check_route_set(self.set) {
            self.report(problem.pointer, FindingKind::Invalid(problem.error.to_string()));
        }
    }

    fn check_routes(&mut self) {
        let set = self.set;
        let mut first_by_address: BTreeMap<_, &RouteRule> = BTreeMap::new();
        let mut names = BTreeSet::new();
        let has_keys = set.workspaces.iter().any(|workspace| !workspace.api_keys.is_empty());
        for (index, route) in set.routes.iter().enumerate() {
            let at = |field: &str| format_compact!("/routes/{index}/{field}");
            let address = (host_key(&route.host), route.path_prefix.as_str());
            match first_by_address.get(&address) {
                // Routes with the very same host are errors.
                Some(first) if first.host != route.host => {
                    let kind = FindingKind::ShadowedRoute(first.name.clone());
                    self.report(at("host"), kind);
                }
                Some(_) => {}
                None => {
                    first_by_address.insert(address, route);
                }
            }
            if !names.insert(route.name.as_str()) {
                self.report(at("name"), FindingKind::RepeatedRouteName);
            }
            if let Some(kind) = check_host(&route.host) {
                self.report(at("host"), kind);
            }
            if let Some(kind) = check_path_prefix(&route.path_prefix) {
                self.report(at("path_prefix"), kind);
            }
            if !route.anonymous && !set.workspaces.is_empty() && !has_keys {
                self.report(at("anonymous"), FindingKind::NoKeyAdmitted);
            }
            self.check_weights(index, route);
            for (field, kind) in route_contradictions(set, route) {
                self.report(at(field), kind);
            }
        }
    }

    fn check_weights(&mut self, index: usize, route: &RouteRule) {
        let is_routed = route.services.iter().any(|weighted| weighted.weight > 0);
        let mut seen = BTreeSet::new();
        for (service_index, weighted) in route.services.iter().enumerate() {
            let at = |field| format_compact!("/routes/{index}/services/{service_index}/{field}");
            if weighted.weight == 0 && is_routed {
                self.report(at("weight"), FindingKind::UnusedWeight(weighted.service.clone()));
            }
            if !seen.insert(weighted.service.as_str()) {
                self.report(at("service"), FindingKind::RepeatedWeight(weighted.service.clone()));
            }
        }
    }

    fn check_services(&mut self) {
        let set = self.set;
        let routed = routed_services(set);
        for (index, service) in set.services.iter().enumerate() {
            let at = |field: &str| format_compact!("/services/{index}/{field}");
            if !routed.contains(service.name.as_str()) {
                self.report(at("name"), FindingKind::UnusedService);
            }
            for (field, kind) in service_contradictions(service) {
                self.report(at(field), kind);
            }
        }
    }

    fn check_limits(&mut self) {
        let limits = self.set.limits.unwrap_or_default();
        let (header_ms, idle_ms) = (limits.header_timeout_ms, limits.idle_timeout_ms);
        if idle_ms > 0 && header_ms > idle_ms {
            let kind = FindingKind::HeaderBeyondIdle { header_ms, idle_ms };
            self.report("/limits/header_timeout_ms".into(), kind);
        }
    }

    fn check_workspaces(&mut self) {
        let mut names = BTreeSet::new();
        for (index, workspace) in self.set.workspaces.iter().enumerate() {
            let at = |field: &str| format_compact!("/workspaces/{index}/{field}");
            if !names.insert(workspace.name.as_str()) {
                self.report(at("name"), FindingKind::RepeatedWorkspace);
            }
            if workspace.api_keys.is_empty() {
                self.report(at("name"), FindingKind::WorkspaceWithoutKeys);
            }
            let mut keys = HashSet::new();
            for (key_index, key) in workspace.api_keys.iter().enumerate() {
                let pointer = || at(&format_compact!("api_keys/{key_index}"));
                if !is_header_value(key) {
                    self.report(pointer(), FindingKind::UnusableApiKey);
                }
                if !keys.insert(key) {
                    self.report(pointer(), FindingKind::RepeatedApiKey);
                }
            }
        }
    }
}

/// Returns the entry that a pointer into a set leads to.
fn entry_at(set: &RouteSet, pointer: &str) -> CompactString {
    let mut segments = pointer.split('/').skip(1);
    let list = segments.next().unwrap_or_default();
    let index = segments.next().and_then(|index| index.parse::<usize>().ok()).unwrap_or_default();
    match list {
        "routes" => set.routes.get(index).map(route_label),
        "services" => set.services.get(index).map(service_label),
        "workspaces" => set.workspaces.get(index).map(workspace_label),
        "limits" => Some("limits".into()),
        _ => None,
    }
    .unwrap_or("set".into())
}

fn route_label(route: &RouteRule) -> CompactString {
    format_compact!("route {}", route.name)
}

fn service_label(service: &RoutedService) -> CompactString {
    format_compact!("service {}", service.name)
}

fn workspace_label(workspace: &RoutedWorkspace) -> CompactString {
    format_compact!("workspace {}", workspace.name)
}

/// Returns the services that routes send requests to.
fn routed_services(set: &RouteSet) -> BTreeSet<&str> {
    let weighted = set.routes.iter().flat_map(|route| &route.services);
    weighted.filter(|weighted| weighted.weight > 0).map(|w| w.service.as_str()).collect()
}

/// Returns the limits of a route that contradict each other, by their fields.
fn route_contradictions(set: &RouteSet, route: &RouteRule) -> Vec<(&'static str, FindingKind)> {
    let mut found = Vec::new();
    let timeout_ms = route.timeout_ms;
    // A timeout of 0 is an error itself.
    let is_beyond = |target_ms: u64| timeout_ms > 0 && target_ms > timeout_ms;
    if is_beyond(route.target_latency_ms) {
        let target_ms = route.target_latency_ms;
        let kind = FindingKind::LatencyTargetBeyondTimeout { target_ms, timeout_ms };
        found.push(("target_latency_ms", kind));
    }
    if is_beyond(route.target_gap_ms) {
        let target_ms = route.target_gap_ms;
        let kind = FindingKind::GapTargetBeyondTimeout { target_ms, timeout_ms };
        found.push(("target_gap_ms", kind));
    }
    match route.kind() {
        RepeatKind::Once | RepeatKind::Stream if route.max_attempts > 1 => {
            found.push(("max_attempts", FindingKind::AttemptsOfSingleRun));
        }
        RepeatKind::ResumableStream if route.max_attempts <= 1 && !moves_streams(set, route) => {
            found.push(("max_attempts", FindingKind::ResumeWithoutSecondRun));
        }
        RepeatKind::Once
        | RepeatKind::Stream
        | RepeatKind::ResumableStream
        | RepeatKind::Repeatable
        | RepeatKind::Unspecified => {}
    }
    found
}

/// Returns whether engines of the route's services move streams between each other.
fn moves_streams(set: &RouteSet, route: &RouteRule) -> bool {
    let mut routed = route.services.iter().filter(|weighted| weighted.weight > 0);
    routed.any(|weighted| {
        let service = set.services.iter().find(|service| service.name == weighted.service);
        service.and_then(|service| service.engine).is_some_and(|engine| engine.moves)
    })
}

/// Returns the limits of a service that contradict each other, by their fields.
fn service_contradictions(service: &RoutedService) -> Vec<(&'static str, FindingKind)> {
    let mut found = Vec::new();
    if let Some(engine) = &service.engine {
        let (slots, connections) = (engine.slots, service.max_connections);
        if connections > 0 && connections < slots {
            let kind = FindingKind::FewerConnectionsThanSlots { slots, connections };
            found.push(("max_connections", kind));
        }
        if engine.cache_tokens == 0 {
            found.push(("engine/cache_tokens", FindingKind::NoPromptFits));
        }
    }
    match RequestRate::new(service.cold_requests_per_s) {
        Err(_) => found.push(("cold_requests_per_s", FindingKind::InvalidRate)),
        Ok(rate) if rate.per_second() == 0.0 && service.cold_start_ms > 0 => {
            found.push(("cold_start_ms", FindingKind::ColdStartWithoutRate));
        }
        Ok(_) => {}
    }
    found
}

/// Returns what a set of routes changes in the one in force.
///
/// ```
/// let old = schema::RouteSet { number: 4, ..Default::default() };
/// let new = schema::RouteSet { number: 5, ..Default::default() };
/// assert_eq!(lint::compare_route_sets(&old, &new)[0].to_string(), "~ set\n    number: 4 -> 5");
/// ```
pub fn compare_route_sets(old: &RouteSet, new: &RouteSet) -> Vec<Change> {
    let mut effects: BTreeMap<CompactString, Vec<Effect>> = BTreeMap::new();
    let mut add = |key, effect| effects.entry(key).or_default().push(effect);
    let (old_lookup, new_lookup) = (Lookup::new(old), Lookup::new(new));
    for route in old.routes.iter().filter(|route| new_lookup.same_address(route).is_none()) {
        add(
            route_key(route),
            match new_lookup.route_for(route) {
                Some(other) => Effect::RequestsGoTo(other.name.clone()),
                None => Effect::RequestsUnrouted,
            },
        );
    }
    for route in &new.routes {
        match (old_lookup.same_address(route), old_lookup.route_for(route)) {
            (Some(before), _) => {
                for effect in route_effects((old, before), (new, route)) {
                    add(route_key(route), effect);
                }
            }
            (None, Some(other)) => {
                add(route_key(route), Effect::TakesRequestsFrom(other.name.clone()));
            }
            (None, None) => {}
        }
    }
    let (old_routed, new_routed) = (routed_services(old), routed_services(new));
    for name in old_routed.difference(&new_routed) {
        add(format_compact!("service {name}"), Effect::ServiceUnrouted);
    }
    compare(&entries(old), &entries(new), &effects)
}

/// Finds the route of a request regardless of its API key.
struct Lookup<'a> {
    table: RouteTable,
    by_key: BTreeMap<CompactString, &'a RouteRule>,
}

impl<'a> Lookup<'a> {
    fn new(set: &'a RouteSet) -> Self {
        let routes = set.routes.iter().cloned();
        let routes = routes.map(|route| RouteRule { anonymous: true, ..route }).collect();
        let table = RouteTable::new(RouteSet { routes, ..RouteSet::default() });
        let by_key = set.routes.iter().rev().map(|route| (route_key(route), route)).collect();
        Lookup { table, by_key }
    }

    /// Returns the first route for exactly the same host and prefix.
    fn same_address(&self, route: &RouteRule) -> Option<&'a RouteRule> {
        self.by_key.get(&route_key(route)).copied()
    }

    /// Returns the route that takes requests to the prefix of `route`.
    fn route_for(&self, route: &RouteRule) -> Option<&RouteRule> {
        let routed = self.table.route(&route.host, &route.path_prefix, None);
        routed.ok().map(|routed| routed.route)
    }
}

/// Returns what the difference between two routes for the same requests does.
fn route_effects(old: (&RouteSet, &RouteRule), new: (&RouteSet, &RouteRule)) -> Vec<Effect> {
    let mut effects = Vec::new();
    match (needs_key(old.0, old.1), needs_key(new.0, new.1)) {
        (false, true) => effects.push(Effect::KeyNeeded),
        (true, false) => effects.push(Effect::KeyNotNeeded),
        (true, true) | (false, false) => {}
    }
    match (may_run_again(old.1), may_run_again(new.1)) {
        (false, true) => effects.push(Effect::MayRunAgain),
        (true, false) => effects.push(Effect::RunsOnce),
        (true, true) | (false, false) => {}
    }
    effects
}

fn needs_key(set: &RouteSet, route: &RouteRule) -> bool {
    !route.anonymous && !set.workspaces.is_empty()
}

fn may_run_again(route: &RouteRule) -> bool {
    match route.kind() {
        RepeatKind::Repeatable | RepeatKind::ResumableStream => true,
        RepeatKind::Once | RepeatKind::Stream | RepeatKind::Unspecified => false,
    }
}

/// Identifies a route by the requests that it is for, whatever its name.
fn route_key(route: &RouteRule) -> CompactString {
    format_compact!("route {}{}", host_key(&route.host), route.path_prefix)
}

fn entries(set: &RouteSet) -> Vec<Entry> {
    let number = serde_json::json!({ "number": set.number });
    let mut entries = vec![Entry::new("set".into(), "", &number)];
    for (index, route) in set.routes.iter().enumerate() {
        let label = format_compact!(
            "{} ({}{})",
            route_label(route),
            host_key(&route.host),
            route.path_prefix
        );
        let entry = Entry::new(label, &format_compact!("/routes/{index}"), route);
        entries.push(entry.with_key(route_key(route)));
    }
    for (index, service) in set.services.iter().enumerate() {
        let pointer = format_compact!("/services/{index}");
        entries.push(Entry::new(service_label(service), &pointer, service));
    }
    for (index, workspace) in set.workspaces.iter().enumerate() {
        let pointer = format_compact!("/workspaces/{index}");
        entries.push(Entry::new(workspace_label(workspace), &pointer, workspace));
    }
    entries.push(Entry::new("limits".into(), "/limits", &set.limits.unwrap_or_default()));
    entries
}
