//! Validation of sets of routes.

use std::collections::{BTreeSet, HashMap};

use compact_str::{CompactString, format_compact};
use displaydoc::Display;
use schema::{RepeatKind, RouteRule, RouteSet, RoutedWorkspace};

/// Reason why a set of routes cannot be published.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RouteSetError {
    /// the number of the set must be greater than 0
    ZeroNumber,
    /// two services are named `{0}`
    DuplicateService(String),
    /// the path prefix `{0}` does not begin and end with a slash
    InvalidPathPrefix(String),
    /// two routes share the host `{0}` and the path prefix `{1}`
    DuplicateRoute(String, String),
    /// the route `{0}` has no kind
    MissingKind(String),
    /// the route `{0}` has a timeout of 0
    ZeroTimeout(String),
    /// the weights of the route `{0}` add up to 0
    ZeroWeight(String),
    /// the route `{0}` names the unknown service `{1}`
    UnknownService(String, String),
    /// the workspaces `{0}` and `{1}` share an API key
    SharedApiKey(String, String),
}

impl std::error::Error for RouteSetError {}

/// Error and the field that has it.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{error}")]
pub struct RouteSetProblem {
    /// JSON pointer to the field in the set.
    pub pointer: CompactString,
    /// What is wrong.
    pub error: RouteSetError,
}

/// Validates a set of routes before publication; returns the first problem.
///
/// ```
/// let set = schema::RouteSet { number: 1, ..Default::default() };
/// assert_eq!(routing::validate_route_set(&set), Ok(()));
/// ```
pub fn validate_route_set(set: &RouteSet) -> Result<(), RouteSetError> {
    check_route_set(set).into_iter().next().map_or(Ok(()), |problem| Err(problem.error))
}

/// Returns all problems that keep a set of routes from being published.
///
/// ```
/// let problems = routing::check_route_set(&schema::RouteSet::default());
/// assert_eq!(problems[0].pointer, "/number");
/// ```
pub fn check_route_set(set: &RouteSet) -> Vec<RouteSetProblem> {
    let mut problems = Vec::new();
    let mut report = |pointer, error| problems.push(RouteSetProblem { pointer, error });
    if set.number == 0 {
        report("/number".into(), RouteSetError::ZeroNumber);
    }
    let mut services = BTreeSet::new();
    for (index, service) in set.services.iter().enumerate() {
        if !services.insert(service.name.as_str()) {
            let pointer = format_compact!("/services/{index}/name");
            report(pointer, RouteSetError::DuplicateService(service.name.clone()));
        }
    }
    let mut prefixes = BTreeSet::new();
    for (index, route) in set.routes.iter().enumerate() {
        check_route(route, &services, |field, error| {
            report(format_compact!("/routes/{index}/{field}"), error);
        });
        if !prefixes.insert((route.host.as_str(), route.path_prefix.as_str())) {
            let (host, prefix) = (route.host.clone(), route.path_prefix.clone());
            let pointer = format_compact!("/routes/{index}/path_prefix");
            report(pointer, RouteSetError::DuplicateRoute(host, prefix));
        }
    }
    check_api_keys(&set.workspaces, report);
    problems
}

fn check_route(
    route: &RouteRule,
    services: &BTreeSet<&str>,
    mut report: impl FnMut(CompactString, RouteSetError),
) {
    let name = || route.name.clone();
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        let error = RouteSetError::InvalidPathPrefix(route.path_prefix.clone());
        report("path_prefix".into(), error);
    }
    if route.kind() == RepeatKind::Unspecified {
        report("kind".into(), RouteSetError::MissingKind(name()));
    }
    if route.timeout_ms == 0 {
        report("timeout_ms".into(), RouteSetError::ZeroTimeout(name()));
    }
    if route.services.iter().all(|weighted| weighted.weight == 0) {
        report("services".into(), RouteSetError::ZeroWeight(name()));
    }
    for (index, weighted) in route.services.iter().enumerate() {
        if !services.contains(weighted.service.as_str()) {
            let error = RouteSetError::UnknownService(name(), weighted.service.clone());
            report(format_compact!("services/{index}/service"), error);
        }
    }
}

fn check_api_keys(
    workspaces: &[RoutedWorkspace],
    mut report: impl FnMut(CompactString, RouteSetError),
) {
    let mut workspace_by_key: HashMap<&str, &str> = HashMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        for (key_index, key) in workspace.api_keys.iter().enumerate() {
            if let Some(other) = workspace_by_key.insert(key, &workspace.name)
                && other != workspace.name
            {
                let pointer = format_compact!("/workspaces/{index}/api_keys/{key_index}");
                let error = RouteSetError::SharedApiKey(other.to_string(), workspace.name.clone());
                report(pointer, error);
            }
        }
    }
}
