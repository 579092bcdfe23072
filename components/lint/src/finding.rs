//! Findings in a configuration.

use compact_str::CompactString;
use displaydoc::Display;
use serde::Serialize;

/// Whether a configuration with the finding can be published.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// error
    Error,
    /// warning
    Warning,
}

/// Sort of a finding.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Category {
    /// invalid
    Invalid,
    /// never-matches
    NeverMatches,
    /// duplicate
    Duplicate,
    /// contradiction
    Contradiction,
    /// outdated
    Outdated,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FindingKind {
    /// {0}
    Invalid(String),
    /// the route `{0}` takes all of its requests: hosts are compared in lower case and without their port
    ShadowedRoute(String),
    /// requests name a host, and this route's is empty
    EmptyHost,
    /// hosts are compared as they are, `*` is no pattern
    WildcardHost,
    /// no host contains `{0}`
    ImpossibleHost(char),
    /// the path of a request never contains {0:?}; a query is not part of it
    ImpossiblePath(char),
    /// needs an API key, and no workspace has one
    NoKeyAdmitted,
    /// the service `{0}` has the weight 0 and gets none of the requests
    UnusedWeight(String),
    /// no route sends requests to it
    UnusedService,
    /// it has no API key, so no request belongs to it
    WorkspaceWithoutKeys,
    /// no header has such a value as this API key
    UnusableApiKey,
    /// engines with a KV cache of 0 tokens take no prompt
    NoPromptFits,
    /// another route has the same name: they share what is learned of their answers
    RepeatedRouteName,
    /// the service `{0}` is named again: its weights add up
    RepeatedWeight(String),
    /// another workspace has the same name
    RepeatedWorkspace,
    /// the workspace has this API key twice
    RepeatedApiKey,
    /// the latency target of {target_ms} ms is beyond the timeout of {timeout_ms} ms
    LatencyTargetBeyondTimeout {
        /// Target.
        target_ms: u64,
        /// Timeout of the route.
        timeout_ms: u64,
    },
    /// the target of {target_ms} ms for gaps is beyond the timeout of {timeout_ms} ms
    GapTargetBeyondTimeout {
        /// Target.
        target_ms: u64,
        /// Timeout of the route.
        timeout_ms: u64,
    },
    /// requests of this kind run at most once, however many attempts are allowed
    AttemptsOfSingleRun,
    /// its streams may be resumed, but only one attempt is allowed, and the engines move no streams
    ResumeWithoutSecondRun,
    /// upstreams run {slots} requests at once, but accept only {connections} connections
    FewerConnectionsThanSlots {
        /// Slots of an engine.
        slots: u32,
        /// Connections that it accepts.
        connections: u32,
    },
    /// a rate has to be a finite number of at least 0; no limit holds
    InvalidRate,
    /// cold upstreams are not limited, as no rate is given for them
    ColdStartWithoutRate,
    /// a header may take {header_ms} ms, but idle connections are closed after {idle_ms} ms
    HeaderBeyondIdle {
        /// Timeout of a header.
        header_ms: u64,
        /// Timeout of an idle connection.
        idle_ms: u64,
    },
    /// number {in_force} is in force: this set would be acknowledged, but change nothing
    OutdatedNumber {
        /// Number of the set in force.
        in_force: u64,
    },
}

/// One finding.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{entry}: {kind}")]
pub struct Finding {
    /// JSON pointer to the field in the set.
    pub pointer: CompactString,
    /// Kind and name of the entry, such as `route r`.
    pub entry: CompactString,
    /// What is wrong.
    pub kind: FindingKind,
}

impl FindingKind {
    /// Returns the sort of the finding.
    ///
    /// ```
    /// use lint::{Category, FindingKind};
    /// assert_eq!(FindingKind::EmptyHost.category(), Category::NeverMatches);
    /// ```
    pub fn category(&self) -> Category {
        match self {
            FindingKind::Invalid(_) => Category::Invalid,
            FindingKind::ShadowedRoute(_)
            | FindingKind::EmptyHost
            | FindingKind::WildcardHost
            | FindingKind::ImpossibleHost(_)
            | FindingKind::ImpossiblePath(_)
            | FindingKind::NoKeyAdmitted
            | FindingKind::UnusedWeight(_)
            | FindingKind::UnusedService
            | FindingKind::WorkspaceWithoutKeys
            | FindingKind::UnusableApiKey
            | FindingKind::NoPromptFits => Category::NeverMatches,
            FindingKind::RepeatedRouteName
            | FindingKind::RepeatedWeight(_)
            | FindingKind::RepeatedWorkspace
            | FindingKind::RepeatedApiKey => Category::Duplicate,
            FindingKind::LatencyTargetBeyondTimeout { .. }
            | FindingKind::GapTargetBeyondTimeout { .. }
            | FindingKind::AttemptsOfSingleRun
            | FindingKind::ResumeWithoutSecondRun
            | FindingKind::FewerConnectionsThanSlots { .. }
            | FindingKind::InvalidRate
            | FindingKind::ColdStartWithoutRate
            | FindingKind::HeaderBeyondIdle { .. } => Category::Contradiction,
            FindingKind::OutdatedNumber { .. } => Category::Outdated,
        }
    }
}

impl Finding {
    /// Returns whether the set can be published in spite of the finding.
    pub fn severity(&self) -> Severity {
        match self.kind.category() {
            Category::Invalid => Severity::Error,
            Category::NeverMatches
            | Category::Duplicate
            | Category::Contradiction
            | Category::Outdated => Severity::Warning,
        }
    }
}
