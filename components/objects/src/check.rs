//! Validation of a complete object set.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use schema::service::Backend;
use schema::{Generation, ObjectSet, Plain, Priority, Route, Service, Weights, Workspace};
use units::Name;

const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
const SHA256_HEX_CHARS: usize = 64;
/// Maximum sum of the shares of an engine's KV cache that are reserved for single
/// priorities; the rest stays available to all.
const MAX_RESERVED_SHARE: f64 = 0.9;
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;
const MAX_TOKENS: u64 = 10_000_000;

/// One problem in an object set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// JSON pointer to the field in the set.
    pub pointer: String,
    /// Kind and name of the object, such as `model m`, or `weights`.
    pub object: String,
    /// Path of the field in the object, such as `generation.version`.
    pub field: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.field, self.message)
    }
}

/// Validates a set and returns all problems found; a set without problems may be
/// published.
///
/// ```
/// let version = schema::Version { name: "v1".into(), model: "m".into(), ..Default::default() };
/// let set = schema::ObjectSet { versions: vec![version], ..Default::default() };
/// let problems = objects::check(&set);
/// assert_eq!(problems[0].to_string(), "version v1: model: there is no model `m` in the set");
/// ```
pub fn check(set: &ObjectSet) -> Vec<Problem> {
    let mut validator = Validator { set, problems: Vec::new() };
    validator.check_names();
    validator.check_priorities();
    validator.check_models();
    validator.check_versions();
    validator.check_adapters();
    validator.check_services();
    validator.check_workspaces();
    validator.check_weights();
    validator.problems
}

/// Object whose fields are being validated.
#[derive(Clone, Copy)]
struct ObjectRef<'a> {
    list: &'static str,
    index: usize,
    kind: &'static str,
    name: &'a str,
}

struct Validator<'a> {
    set: &'a ObjectSet,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn report(&mut self, object: ObjectRef<'_>, field: &str, message: impl Into<String>) {
        self.problems.push(Problem {
            pointer: format!("/{}/{}/{}", object.list, object.index, field.replace('.', "/")),
            object: format!("{} {}", object.kind, object.name),
            field: field.to_string(),
            message: message.into(),
        });
    }

    fn require(&mut self, valid: bool, object: ObjectRef<'_>, field: &str, message: &str) {
        if !valid {
            self.report(object, field, message);
        }
    }

    fn require_reference(
        &mut self,
        exists: bool,
        object: ObjectRef<'_>,
        field: &str,
        kind: &str,
        name: &str,
    ) {
        if !exists {
            self.report(object, field, format!("there is no {kind} `{name}` in the set"));
        }
    }

    fn check_duration(&mut self, value_ms: u64, object: ObjectRef<'_>, field: &str) {
        let valid = (1..=MAX_DURATION_MS).contains(&value_ms);
        self.require(valid, object, field, "must be from 1 to 86400000 milliseconds");
    }

    fn check_names(&mut self) {
        let set = self.set;
        self.check_unique_names("priorities", "priority", set.priorities.iter().map(|o| &o.name));
        self.check_unique_names("models", "model", set.models.iter().map(|o| &o.name));
        self.check_unique_names("versions", "version", set.versions.iter().map(|o| &o.name));
        self.check_unique_names("adapters", "adapter", set.adapters.iter().map(|o| &o.name));
        self.check_unique_names("services", "service", set.services.iter().map(|o| &o.name));
        self.check_unique_names("workspaces", "workspace", set.workspaces.iter().map(|o| &o.name));
    }

    fn check_unique_names<'n>(
        &mut self,
        list: &'static str,
        kind: &'static str,
        names: impl Iterator<Item = &'n String>,
    ) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let object = ObjectRef { list, index, kind, name };
            if let Err(error) = name.parse::<Name>() {
                self.report(object, "name", error.to_string());
            }
            if !seen.insert(name) {
                self.report(object, "name", format!("another {kind} has the same name"));
            }
        }
    }

    fn check_priorities(&mut self) {
        let set = self.set;
        let mut reserved_share = 0.0;
        for (index, priority) in set.priorities.iter().enumerate() {
            let object =
                ObjectRef { list: "priorities", index, kind: "priority", name: &priority.name };
            self.check_priority(object, priority);
            reserved_share += priority.reserved_share;
            let valid = reserved_share <= MAX_RESERVED_SHARE;
            self.require(
                valid,
                object,
                "reserved_share",
                "all shares together must not exceed 0.9",
            );
        }
    }

    fn check_priority(&mut self, object: ObjectRef<'_>, priority: &Priority) {
        let valid_share = (0.0..=1.0).contains(&priority.reserved_share);
        self.require(valid_share, object, "reserved_share", "must be from 0 to 1");
        self.check_duration(priority.first_token_ms, object, "first_token_ms");
        self.check_duration(priority.between_tokens_ms, object, "between_tokens_ms");
        self.check_duration(priority.stall_ms, object, "stall_ms");
        self.check_duration(priority.max_wait_ms, object, "max_wait_ms");
        let valid_weight = priority.goodput_weight.is_finite() && priority.goodput_weight >= 0.0;
        self.require(valid_weight, object, "goodput_weight", "must be 0 or more");
    }

    fn check_models(&mut self) {
        let set = self.set;
        for (index, model) in set.models.iter().enumerate() {
            let object = ObjectRef { list: "models", index, kind: "model", name: &model.name };
            let valid = (1..=MAX_TOKENS).contains(&model.context_tokens);
            self.require(valid, object, "context_tokens", "must be from 1 to 10000000");
        }
    }

    fn check_versions(&mut self) {
        let set = self.set;
        for (index, version) in set.versions.iter().enumerate() {
            let object =
                ObjectRef { list: "versions", index, kind: "version", name: &version.name };
            let exists = set.models.iter().any(|model| model.name == version.model);
            self.require_reference(exists, object, "model", "model", &version.model);
            self.check_weights_file(object, &version.weights_uri, version.weights_bytes);
        }
    }

    fn check_adapters(&mut self) {
        let set = self.set;
        for (index, adapter) in set.adapters.iter().enumerate() {
            let object =
                ObjectRef { list: "adapters", index, kind: "adapter", name: &adapter.name };
            let exists = set.versions.iter().any(|version| version.name == adapter.version);
            self.require_reference(exists, object, "version", "version", &adapter.version);
            self.check_weights_file(object, &adapter.weights_uri, adapter.weights_bytes);
        }
    }

    fn check_weights_file(&mut self, object: ObjectRef<'_>, uri: &str, bytes: u64) {
        self.require(!uri.is_empty(), object, "weights_uri", "must name where the weights are");
        self.require(bytes > 0, object, "weights_bytes", "must be the size of the weights");
    }

    fn check_services(&mut self) {
        let set = self.set;
        for (index, service) in set.services.iter().enumerate() {
            let object =
                ObjectRef { list: "services", index, kind: "service", name: &service.name };
            let exists = set.priorities.iter().any(|p| p.name == service.priority);
            self.require_reference(exists, object, "priority", "priority", &service.priority);
            match &service.backend {
                Some(Backend::Generation(generation)) => self.check_generation(object, generation),
                Some(Backend::Plain(plain)) => self.check_plain(object, plain),
                None => self.report(object, "generation", "one of generation and plain is needed"),
            }
        }
    }

    fn check_generation(&mut self, object: ObjectRef<'_>, generation: &Generation) {
        let set = self.set;
        let version = set.versions.iter().find(|v| v.name == generation.version);
        self.require_reference(
            version.is_some(),
            object,
            "generation.version",
            "version",
            &generation.version,
        );
        let model = version.and_then(|v| set.models.iter().find(|m| m.name == v.model));
        let max_tokens = model.map_or(MAX_TOKENS, |model| model.context_tokens);
        let valid = (1..=max_tokens).contains(&generation.max_output_tokens);
        let field = "generation.max_output_tokens";
        self.require(valid, object, field, "must be from 1 to the model's context_tokens");
        self.check_adapter(object, generation);
        self.check_fallback(object, generation);
    }

    fn check_adapter(&mut self, object: ObjectRef<'_>, generation: &Generation) {
        if generation.adapter.is_empty() {
            return;
        }
        let field = "generation.adapter";
        let adapter = self.set.adapters.iter().find(|a| a.name == generation.adapter);
        match adapter {
            None => self.require_reference(false, object, field, "adapter", &generation.adapter),
            Some(adapter) if adapter.version != generation.version => {
                let message = format!(
                    "adapter `{}` belongs to version `{}`, not to `{}`",
                    adapter.name, adapter.version, generation.version
                );
                self.report(object, field, message);
            }
            Some(_) => {}
        }
    }

    fn check_fallback(&mut self, object: ObjectRef<'_>, generation: &Generation) {
        if generation.fallback.is_empty() {
            return;
        }
        let field = "generation.fallback";
        let generations: BTreeMap<&str, &Generation> =
            self.set.services.iter().filter_map(named_generation).collect();
        if !generations.contains_key(generation.fallback.as_str()) {
            let kind = "service with a generation backend";
            self.require_reference(false, object, field, kind, &generation.fallback);
            return;
        }
        let mut visited = vec![object.name];
        let mut next = generation.fallback.as_str();
        while let Some(generation) = generations.get(next) {
            let is_cycle = visited.contains(&next);
            visited.push(next);
            if is_cycle {
                let message = format!("the fallbacks form a cycle: {}", visited.join(" -> "));
                self.report(object, field, message);
                return;
            }
            next = &generation.fallback;
        }
    }

    fn check_plain(&mut self, object: ObjectRef<'_>, plain: &Plain) {
        self.check_duration(plain.timeout_ms, object, "plain.timeout_ms");
        self.require(!plain.routes.is_empty(), object, "plain.routes", "needs at least one route");
        let mut seen = BTreeSet::new();
        for (index, route) in plain.routes.iter().enumerate() {
            let field = format!("plain.routes.{index}");
            self.check_route(object, &field, route);
            if !seen.insert((&route.method, &route.path_prefix)) {
                let message = "another route has the same method and path_prefix";
                self.report(object, &field, message);
            }
        }
    }

    fn check_route(&mut self, object: ObjectRef<'_>, field: &str, route: &Route) {
        let valid_method = METHODS.contains(&route.method.as_str());
        let methods = "must be GET, POST, PUT, PATCH or DELETE";
        self.require(valid_method, object, &format!("{field}.method"), methods);
        let valid_prefix = route.path_prefix.starts_with('/');
        self.require(valid_prefix, object, &format!("{field}.path_prefix"), "must start with '/'");
        for pointer in &route.key_fields {
            let valid = pointer.starts_with('/');
            let message = "each must be a JSON pointer, such as /booking/slot";
            self.require(valid, object, &format!("{field}.key_fields"), message);
        }
        let uses_key = route.key_required || !route.key_fields.is_empty();
        let message = "a repeatable call needs no key; drop key_required and key_fields";
        self.require(
            !(route.repeatable && uses_key),
            object,
            &format!("{field}.repeatable"),
            message,
        );
    }

    fn check_workspaces(&mut self) {
        let set = self.set;
        let services: BTreeSet<&str> = set.services.iter().map(|s| s.name.as_str()).collect();
        let mut hashes = BTreeMap::new();
        for (index, workspace) in set.workspaces.iter().enumerate() {
            let object =
                ObjectRef { list: "workspaces", index, kind: "workspace", name: &workspace.name };
            self.check_workspace(object, workspace);
            for service in &workspace.services {
                let exists = services.contains(service.as_str());
                self.require_reference(exists, object, "services", "service", service);
            }
            for hash in &workspace.api_key_sha256 {
                if let Some(other) = hashes.insert(hash, &workspace.name) {
                    let message = format!("workspace `{other}` has the same API key");
                    self.report(object, "api_key_sha256", message);
                }
            }
        }
    }

    fn check_workspace(&mut self, object: ObjectRef<'_>, workspace: &Workspace) {
        self.require(workspace.share >= 1, object, "share", "must be 1 or more");
        self.require(workspace.max_streams >= 1, object, "max_streams", "must be 1 or more");
        self.require(workspace.max_waiting >= 1, object, "max_waiting", "must be 1 or more");
        let lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        for hash in &workspace.api_key_sha256 {
            let valid = hash.len() == SHA256_HEX_CHARS && hash.bytes().all(lower_hex);
            let message = "must be a SHA-256 in lower-case hexadecimal; see `shallottray keys`";
            self.require(valid, object, "api_key_sha256", message);
        }
    }

    fn check_weights(&mut self) {
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
