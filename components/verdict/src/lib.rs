//! Errors for callers that say whether a request may have run.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// Whether a request ran at an upstream.
///
/// ```
/// use verdict::Verdict;
/// assert_eq!("may-have-run".parse(), Ok(Verdict::MayHaveRun));
/// assert_eq!(Verdict::NotRun.to_string(), "not-run");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No upstream received any part of the request.
    NotRun,
    /// An upstream may have received the request; its outcome is unknown.
    MayHaveRun,
    /// An upstream ran the request.
    Ran,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        })
    }
}

/// the text is none of not-run, may-have-run and ran
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct InvalidVerdict;

impl std::error::Error for InvalidVerdict {}

impl FromStr for Verdict {
    type Err = InvalidVerdict;

    fn from_str(text: &str) -> Result<Self, InvalidVerdict> {
        match text {
            "not-run" => Ok(Verdict::NotRun),
            "may-have-run" => Ok(Verdict::MayHaveRun),
            "ran" => Ok(Verdict::Ran),
            _ => Err(InvalidVerdict),
        }
    }
}

/// Machine-readable reason of an error.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Code {
    /// The request is malformed.
    InvalidRequest,
    /// A body or header is larger than its bound.
    TooLarge,
    /// The API key is missing or unknown.
    Unauthenticated,
    /// There is no such service, model or path for this workspace.
    NotFound,
    /// The key was used with another request.
    KeyConflict,
    /// The call must carry an idempotency key.
    KeyRequired,
    /// The answer of the first run is no longer available.
    AnswerNotKept,
    /// A bound of the workspace is reached.
    WorkspaceLimit,
    /// No engine can take the request in time.
    Overloaded,
    /// No upstream serves the service now.
    NoUpstream,
    /// The entry takes no new work now.
    Unavailable,
    /// The control processes did not confirm the request in time.
    ControlUnavailable,
    /// The upstream failed.
    UpstreamFailed,
    /// The stream stopped making progress.
    Stalled,
    /// The generation to resume is gone.
    ResumeGone,
    /// The outcome of the first run is unknown.
    OutcomeUnknown,
    /// The system failed.
    Internal,
}

impl Code {
    /// Returns the code as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Code::InvalidRequest => "invalid_request",
            Code::TooLarge => "too_large",
            Code::Unauthenticated => "unauthenticated",
            Code::NotFound => "not_found",
            Code::KeyConflict => "key_conflict",
            Code::KeyRequired => "key_required",
            Code::AnswerNotKept => "answer_not_kept",
            Code::WorkspaceLimit => "workspace_limit",
            Code::Overloaded => "overloaded",
            Code::NoUpstream => "no_upstream",
            Code::Unavailable => "unavailable",
            Code::ControlUnavailable => "control_unavailable",
            Code::UpstreamFailed => "upstream_failed",
            Code::Stalled => "stalled",
            Code::ResumeGone => "resume_gone",
            Code::OutcomeUnknown => "outcome_unknown",
            Code::Internal => "internal",
        }
    }

    /// Returns the HTTP status of the code.
    ///
    /// ```
    /// assert_eq!(verdict::Code::KeyConflict.http_status(), 409);
    /// ```
    pub fn http_status(self) -> u16 {
        match self {
            Code::InvalidRequest | Code::KeyRequired => 400,
            Code::Unauthenticated => 401,
            Code::NotFound => 404,
            Code::KeyConflict => 409,
            Code::AnswerNotKept | Code::ResumeGone => 410,
            Code::TooLarge => 413,
            Code::WorkspaceLimit => 429,
            Code::Internal => 500,
            Code::UpstreamFailed | Code::OutcomeUnknown => 502,
            Code::Overloaded | Code::NoUpstream | Code::Unavailable | Code::ControlUnavailable => {
                503
            }
            Code::Stalled => 504,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// {code}: {message} ({verdict})
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub code: Code,
    /// Explanation for people.
    pub message: String,
    /// When a retry may succeed, if it may.
    pub retry_after_ms: Option<u64>,
}

impl std::error::Error for Failure {}

impl Failure {
    /// Creates a failure of a request that reached no upstream.
    ///
    /// ```
    /// use verdict::{Code, Failure};
    /// let failure = Failure::not_run(Code::NotFound, "there is no service `x`");
    /// assert_eq!(failure.to_string(), "not_found: there is no service `x` (not-run)");
    /// ```
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Failure { verdict: Verdict::NotRun, code, message: message.into(), retry_after_ms: None }
    }

    /// Creates a failure of a request whose outcome is unknown.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Failure { verdict: Verdict::MayHaveRun, ..Failure::not_run(code, message) }
    }

    /// Creates a failure of a request that ran.
    pub fn ran(code: Code, message: impl Into<String>) -> Self {
        Failure { verdict: Verdict::Ran, ..Failure::not_run(code, message) }
    }

    /// Adds when a retry may succeed.
    pub fn retry_after_ms(self, retry_after_ms: u64) -> Self {
        Failure { retry_after_ms: Some(retry_after_ms), ..self }
    }
}
