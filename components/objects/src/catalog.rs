//! Lookups in the object set that an entry serves.

use std::collections::HashMap;

use compact_str::CompactString;
use schema::service::Backend;
use schema::{Generation, ObjectSet, Plain, Priority, Route, Service, Version, Weights, Workspace};
use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 of a secret in lower-case hexadecimal.
///
/// ```
/// assert!(objects::hash_secret("secret").starts_with("2bb80d53"));
/// ```
pub fn hash_secret(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

/// One revision of the published set, indexed by service name and API key.
#[derive(Debug, Default)]
pub struct Catalog {
    revision: u64,
    set: ObjectSet,
    services: HashMap<CompactString, usize>,
    workspaces_by_key: HashMap<CompactString, usize>,
}

impl Catalog {
    /// Indexes a set, which must have been validated before it was published.
    pub fn new(revision: u64, set: ObjectSet) -> Self {
        let services = set.services.iter().enumerate();
        let services = services.map(|(i, s)| (s.name.as_str().into(), i)).collect();
        let mut workspaces_by_key = HashMap::new();
        for (index, workspace) in set.workspaces.iter().enumerate() {
            for hash in &workspace.api_key_sha256 {
                workspaces_by_key.insert(hash.as_str().into(), index);
            }
        }
        Catalog { revision, set, services, workspaces_by_key }
    }

    /// Returns the revision of the set.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the complete set.
    pub fn set(&self) -> &ObjectSet {
        &self.set
    }

    /// Returns the workspace of an API key.
    pub fn workspace_by_api_key(&self, api_key: &str) -> Option<&Workspace> {
        let index = self.workspaces_by_key.get(hash_secret(api_key).as_str())?;
        self.set.workspaces.get(*index)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.set.services.get(*self.services.get(name)?)
    }

    /// Returns a service by its name if the workspace may use it.
    pub fn service_for(&self, workspace: &Workspace, name: &str) -> Option<&Service> {
        let allowed = workspace.services.iter().any(|service| service == name);
        self.service(name).filter(|_| allowed)
    }

    /// Returns the priority of a service.
    pub fn priority(&self, service: &Service) -> Option<&Priority> {
        self.set.priorities.iter().find(|priority| priority.name == service.priority)
    }

    /// Returns the model version of a generation backend.
    pub fn version(&self, generation: &Generation) -> Option<&Version> {
        self.set.versions.iter().find(|version| version.name == generation.version)
    }

    /// Returns the cost weights of the deployment; all are 1 by default.
    pub fn weights(&self) -> Weights {
        let equal = Weights { stall: 1.0, preemption: 1.0, token_tail: 1.0, goodput: 1.0 };
        self.set.weights.unwrap_or(equal)
    }

    /// Returns the route with the method and the longest path prefix that matches a
    /// request.
    ///
    /// ```
    /// use schema::{Plain, Route};
    /// let path_prefix = "/slots".to_string();
    /// let route = Route { method: "GET".to_string(), path_prefix, ..Default::default() };
    /// let plain = Plain { routes: vec![route], ..Default::default() };
    /// assert!(objects::Catalog::match_route(&plain, "GET", "/slots/7").is_some());
    /// assert!(objects::Catalog::match_route(&plain, "POST", "/slots/7").is_none());
    /// ```
    pub fn match_route<'p>(plain: &'p Plain, method: &str, path: &str) -> Option<&'p Route> {
        let matching = plain
            .routes
            .iter()
            .filter(|route| route.method == method && has_path_prefix(path, &route.path_prefix));
        matching.max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the generation backend of a service, if it has one.
    pub fn generation(service: &Service) -> Option<&Generation> {
        match &service.backend {
            Some(Backend::Generation(generation)) => Some(generation),
            Some(Backend::Plain(_)) | None => None,
        }
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
