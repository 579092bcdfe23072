//! Consistency of a whole set.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use schema::service::Backend;
use schema::{Generation, ObjectSet, Plain, Priority, Route, Service, Weights, Workspace};
use units::Name;

const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
const API_KEY_HASH_CHARS: usize = 64;
/// Share of an engine's cache that stays open to all priorities.
const MAX_RESERVED_SHARE: f64 = 0.9;
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;
const MAX_TOKENS: u64 = 10_000_000;

/// One inconsistency of a set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// JSON pointer of the field in the set.
    pub pointer: String,
    /// Kind and name of the object.
    pub object: String,
    /// Name of the field.
    pub field: String,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.field, self.message)
    }
}

/// Returns all inconsistencies of a set; an empty list means that it may be
/// published.
///
/// ```
/// let version = schema::Version { name: "v1".into(), model: "m".into(), ..Default::default() };
/// let set = schema::ObjectSet { versions: vec![version], ..Default::default() };
/// let problems = objects::check(&set);
/// assert_eq!(problems[0].to_string(), "version v1: model: there is no model `m` in the set");
/// ```
pub fn check(set: &ObjectSet) -> Vec<Problem> {
    let mut checker = Checker { set, problems: Vec::new() };
    checker.names();
    checker.priorities();
    checker.models();
    checker.versions();
    checker.adapters();
    checker.services();
    checker.workspaces();
    checker.weights();
    checker.problems
}

/// Names one object while its fields are checked.
#[derive(Clone, Copy)]
struct At<'a> {
    list: &'static str,
    index: usize,
    kind: &'static str,
    name: &'a str,
}

struct Checker<'a> {
    set: &'a ObjectSet,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn report(&mut self, at: At<'_>, field: &str, message: impl Into<String>) {
        self.problems.push(Problem {
            pointer: format!("/{}/{}/{}", at.list, at.index, field.replace('.', "/")),
            object: format!("{} {}", at.kind, at.name),
            field: field.to_string(),
            message: message.into(),
        });
    }

    fn require(&mut self, holds: bool, at: At<'_>, field: &str, message: &str) {
        if !holds {
            self.report(at, field, message);
        }
    }

    fn refer(&mut self, exists: bool, at: At<'_>, field: &str, kind: &str, name: &str) {
        if !exists {
            self.report(at, field, format!("there is no {kind} `{name}` in the set"));
        }
    }

    fn duration(&mut self, value_ms: u64, at: At<'_>, field: &str) {
        let holds = (1..=MAX_DURATION_MS).contains(&value_ms);
        self.require(holds, at, field, "must be from 1 to 86400000 milliseconds");
    }

    fn names(&mut self) {
        let set = self.set;
        self.unique("priorities", "priority", set.priorities.iter().map(|o| &o.name));
        self.unique("models", "model", set.models.iter().map(|o| &o.name));
        self.unique("versions", "version", set.versions.iter().map(|o| &o.name));
        self.unique("adapters", "adapter", set.adapters.iter().map(|o| &o.name));
        self.unique("services", "service", set.services.iter().map(|o| &o.name));
        self.unique("workspaces", "workspace", set.workspaces.iter().map(|o| &o.name));
    }

    fn unique<'n>(
        &mut self,
        list: &'static str,
        kind: &'static str,
        names: impl Iterator<Item = &'n String>,
    ) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let at = At { list, index, kind, name };
            if let Err(error) = name.parse::<Name>() {
                self.report(at, "name", error.to_string());
            }
            if !seen.insert(name) {
                self.report(at, "name", format!("another {kind} has the same name"));
            }
        }
    }

    fn priorities(&mut self) {
        let set = self.set;
        let mut reserved_share = 0.0;
        for (index, priority) in set.priorities.iter().enumerate() {
            let at = At { list: "priorities", index, kind: "priority", name: &priority.name };
            self.priority(at, priority);
            reserved_share += priority.reserved_share;
            let holds = reserved_share <= MAX_RESERVED_SHARE;
            self.require(holds, at, "reserved_share", "all shares together must not exceed 0.9");
        }
    }

    fn priority(&mut self, at: At<'_>, priority: &Priority) {
        let share = (0.0..=1.0).contains(&priority.reserved_share);
        self.require(share, at, "reserved_share", "must be from 0 to 1");
        self.duration(priority.first_token_ms, at, "first_token_ms");
        self.duration(priority.between_tokens_ms, at, "between_tokens_ms");
        self.duration(priority.stall_ms, at, "stall_ms");
        self.duration(priority.max_wait_ms, at, "max_wait_ms");
        let weight = priority.goodput_weight.is_finite() && priority.goodput_weight >= 0.0;
        self.require(weight, at, "goodput_weight", "must be 0 or more");
    }

    fn models(&mut self) {
        let set = self.set;
        for (index, model) in set.models.iter().enumerate() {
            let at = At { list: "models", index, kind: "model", name: &model.name };
            let holds = (1..=MAX_TOKENS).contains(&model.context_tokens);
            self.require(holds, at, "context_tokens", "must be from 1 to 10000000");
        }
    }

    fn versions(&mut self) {
        let set = self.set;
        for (index, version) in set.versions.iter().enumerate() {
            let at = At { list: "versions", index, kind: "version", name: &version.name };
            let exists = set.models.iter().any(|model| model.name == version.model);
            self.refer(exists, at, "model", "model", &version.model);
            self.weights_file(at, &version.weights_uri, version.weights_bytes);
        }
    }

    fn adapters(&mut self) {
        let set = self.set;
        for (index, adapter) in set.adapters.iter().enumerate() {
            let at = At { list: "adapters", index, kind: "adapter", name: &adapter.name };
            let exists = set.versions.iter().any(|version| version.name == adapter.version);
            self.refer(exists, at, "version", "version", &adapter.version);
            self.weights_file(at, &adapter.weights_uri, adapter.weights_bytes);
        }
    }

    fn weights_file(&mut self, at: At<'_>, uri: &str, bytes: u64) {
        self.require(!uri.is_empty(), at, "weights_uri", "must name where the weights are");
        self.require(bytes > 0, at, "weights_bytes", "must be the size of the weights");
    }

    fn services(&mut self) {
        let set = self.set;
        for (index, service) in set.services.iter().enumerate() {
            let at = At { list: "services", index, kind: "service", name: &service.name };
            let exists = set.priorities.iter().any(|p| p.name == service.priority);
            self.refer(exists, at, "priority", "priority", &service.priority);
            match &service.backend {
                Some(Backend::Generation(generation)) => self.generation(at, generation),
                Some(Backend::Plain(plain)) => self.plain(at, plain),
                None => self.report(at, "generation", "one of generation and plain is needed"),
            }
        }
    }

    fn generation(&mut self, at: At<'_>, generation: &Generation) {
        let set = self.set;
        let version = set.versions.iter().find(|v| v.name == generation.version);
        self.refer(version.is_some(), at, "generation.version", "version", &generation.version);
        let model = version.and_then(|v| set.models.iter().find(|m| m.name == v.model));
        let most_tokens = model.map_or(MAX_TOKENS, |model| model.context_tokens);
        let holds = (1..=most_tokens).contains(&generation.max_output_tokens);
        let field = "generation.max_output_tokens";
        self.require(holds, at, field, "must be from 1 to the model's context_tokens");
        self.adapter_of(at, generation);
        self.fallback_of(at, generation);
    }

    fn adapter_of(&mut self, at: At<'_>, generation: &Generation) {
        if generation.adapter.is_empty() {
            return;
        }
        let field = "generation.adapter";
        let adapter = self.set.adapters.iter().find(|a| a.name == generation.adapter);
        match adapter {
            None => self.refer(false, at, field, "adapter", &generation.adapter),
            Some(adapter) if adapter.version != generation.version => {
                let message = format!(
                    "adapter `{}` belongs to version `{}`, not to `{}`",
                    adapter.name, adapter.version, generation.version
                );
                self.report(at, field, message);
            }
            Some(_) => {}
        }
    }

    fn fallback_of(&mut self, at: At<'_>, generation: &Generation) {
        if generation.fallback.is_empty() {
            return;
        }
        let field = "generation.fallback";
        let generations: BTreeMap<&str, &Generation> =
            self.set.services.iter().filter_map(named_generation).collect();
        if !generations.contains_key(generation.fallback.as_str()) {
            let kind = "service with a generation backend";
            self.refer(false, at, field, kind, &generation.fallback);
            return;
        }
        let mut visited = vec![at.name];
        let mut next = generation.fallback.as_str();
        while let Some(generation) = generations.get(next) {
            let closes_cycle = visited.contains(&next);
            visited.push(next);
            if closes_cycle {
                let message = format!("the fallbacks form a cycle: {}", visited.join(" -> "));
                self.report(at, field, message);
                return;
            }
            next = &generation.fallback;
        }
    }

    fn plain(&mut self, at: At<'_>, plain: &Plain) {
        self.duration(plain.timeout_ms, at, "plain.timeout_ms");
        self.require(!plain.routes.is_empty(), at, "plain.routes", "needs at least one route");
        let mut seen = BTreeSet::new();
        for (index, route) in plain.routes.iter().enumerate() {
            let field = format!("plain.routes.{index}");
            self.route(at, &field, route);
            if !seen.insert((&route.method, &route.path_prefix)) {
                let message = "another route has the same method and path_prefix";
                self.report(at, &field, message);
            }
        }
    }

    fn route(&mut self, at: At<'_>, field: &str, route: &Route) {
        let method = METHODS.contains(&route.method.as_str());
        let methods = "must be GET, POST, PUT, PATCH or DELETE";
        self.require(method, at, &format!("{field}.method"), methods);
        let prefix = route.path_prefix.starts_with('/');
        self.require(prefix, at, &format!("{field}.path_prefix"), "must start with '/'");
        for pointer in &route.key_fields {
            let holds = pointer.starts_with('/');
            let message = "each must be a JSON pointer, such as /booking/slot";
            self.require(holds, at, &format!("{field}.key_fields"), message);
        }
        let keyed = route.key_required || !route.key_fields.is_empty();
        let message = "a repeatable call needs no key; drop key_required and key_fields";
        self.require(!(route.repeatable && keyed), at, &format!("{field}.repeatable"), message);
    }

    fn workspaces(&mut self) {
        let set = self.set;
        let services: BTreeSet<&str> = set.services.iter().map(|s| s.name.as_str()).collect();
        let mut hashes = BTreeMap::new();
        for (index, workspace) in set.workspaces.iter().enumerate() {
            let at = At { list: "workspaces", index, kind: "workspace", name: &workspace.name };
            self.workspace(at, workspace);
            for service in &workspace.services {
                let exists = services.contains(service.as_str());
                self.refer(exists, at, "services", "service", service);
            }
            for hash in &workspace.api_key_sha256 {
                if let Some(other) = hashes.insert(hash, &workspace.name) {
                    let message = format!("workspace `{other}` has the same API key");
                    self.report(at, "api_key_sha256", message);
                }
            }
        }
    }

    fn workspace(&mut self, at: At<'_>, workspace: &Workspace) {
        self.require(workspace.share >= 1, at, "share", "must be 1 or more");
        self.require(workspace.max_streams >= 1, at, "max_streams", "must be 1 or more");
        self.require(workspace.max_waiting >= 1, at, "max_waiting", "must be 1 or more");
        let lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        for hash in &workspace.api_key_sha256 {
            let holds = hash.len() == API_KEY_HASH_CHARS && hash.bytes().all(lower_hex);
            let message = "must be a SHA-256 in lower-case hexadecimal; see `shallottray keys`";
            self.require(holds, at, "api_key_sha256", message);
        }
    }

    fn weights(&mut self) {
        let Some(weights) = self.set.weights else { return };
        let Weights { stall, preemption, token_tail, goodput } = weights;
        let fields = [
            ("stall", stall),
            ("preemption", preemption),
            ("token_tail", token_tail),
            ("goodput", goodput),
        ];
        for (field, value) in fields {
            if !(value.is_finite() && value >= 0.0) {
                self.problems.push(Problem {
                    pointer: format!("/weights/{field}"),
                    object: "weights".to_string(),
                    field: field.to_string(),
                    message: "must be 0 or more".to_string(),
                });
            }
        }
    }
}

fn named_generation(service: &Service) -> Option<(&str, &Generation)> {
    match &service.backend {
        Some(Backend::Generation(generation)) => Some((service.name.as_str(), generation)),
        Some(Backend::Plain(_)) | None => None,
    }
}
