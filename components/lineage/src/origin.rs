//! Where a stream began.

use std::fmt;

use compact_str::CompactString;

/// Service and software version of the engine that began a stream.
///
/// Versions are compared as text, within one service only. Engines that name no version
/// belong to the version with the empty name.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Name of the service.
    pub service: CompactString,
    /// Software version of the engine.
    pub version: CompactString,
}

impl Origin {
    /// Returns whether an engine of this service and version may go on with a stream of
    /// this origin.
    ///
    /// ```
    /// use lineage::Origin;
    /// let origin = Origin { service: "llm".into(), version: "v1".into() };
    /// assert!(origin.may_continue_at("llm", "v1"));
    /// assert!(!origin.may_continue_at("llm", "v2"));
    /// ```
    pub fn may_continue_at(&self, service: &str, version: &str) -> bool {
        self.service == service && self.version == version
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.service, self.version)
    }
}

/// What is recorded about the origin of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RecordedOrigin {
    /// Nothing: the stream must not go on anywhere.
    #[default]
    Unknown,
    /// A slot was granted there; the stream may have begun there.
    Granted(Origin),
    /// The stream began there.
    Begun(Origin),
    /// Records contradict each other: the stream must not go on anywhere.
    Conflicting,
}

impl RecordedOrigin {
    /// Returns the origin at which the stream may go on.
    pub fn origin(&self) -> Option<&Origin> {
        match self {
            RecordedOrigin::Granted(origin) | RecordedOrigin::Begun(origin) => Some(origin),
            RecordedOrigin::Unknown | RecordedOrigin::Conflicting => None,
        }
    }

    /// Combines the records of two processes. Where a stream began is certain, whatever
    /// was granted before; grants that differ contradict each other, since the order of
    /// two processes is not known.
    pub fn merge(self, other: RecordedOrigin) -> RecordedOrigin {
        use RecordedOrigin::{Begun, Conflicting, Granted, Unknown};
        match (self, other) {
            (Unknown, record) | (record, Unknown) => record,
            (Conflicting, _) | (_, Conflicting) => Conflicting,
            (Begun(one), Begun(other)) | (Granted(one), Granted(other)) if one != other => {
                Conflicting
            }
            (Begun(origin), _) | (_, Begun(origin)) => Begun(origin),
            (Granted(origin), Granted(_)) => Granted(origin),
        }
    }
}

/// Answers of the processes that were asked where a stream began.
///
/// ```
/// use lineage::{Origin, OriginSearch, RecordedOrigin};
/// let granted = Origin { service: "llm".into(), version: "v1".into() };
/// let mut search = OriginSearch::default();
/// search.add(Some(RecordedOrigin::Granted(granted.clone())));
/// assert_eq!(search.conclude(true), RecordedOrigin::Granted(granted.clone()));
///
/// // The process that did not answer may know that the stream began elsewhere.
/// search.add(None);
/// assert_eq!(search.conclude(true), RecordedOrigin::Unknown);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OriginSearch {
    recorded: RecordedOrigin,
    is_partial: bool,
}

impl OriginSearch {
    /// Adds the answer of one process; `None` if it did not answer.
    pub fn add(&mut self, answer: Option<RecordedOrigin>) {
        match answer {
            Some(answer) => self.recorded = std::mem::take(&mut self.recorded).merge(answer),
            None => self.is_partial = true,
        }
    }

    /// Returns what is certain. A grant alone does not tell where a stream began unless all
    /// processes were asked and answered.
    pub fn conclude(&self, all_asked: bool) -> RecordedOrigin {
        match &self.recorded {
            RecordedOrigin::Granted(_) if self.is_partial || !all_asked => RecordedOrigin::Unknown,
            recorded => recorded.clone(),
        }
    }
}
