//! Errors for callers, with a verdict on whether the request may have run.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// Whether an upstream ran the request, which decides whether a retry is safe.
/// Verdicts that promise less are greater.
///
/// ```
/// use verdict::Verdict;
/// assert_eq!("may-have-run".parse(), Ok(Verdict::MayHaveRun));
/// assert_eq!(Verdict::NotRun.to_string(), "not-run");
/// assert!(Verdict::NotRun < Verdict::MayHaveRun);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// No upstream ran the request: none received it, or each that did refused it
    /// without running it.
    NotRun,
    /// An upstream may have run the request; the outcome is unknown.
    MayHaveRun,
    /// An upstream ran the request, at least in part.
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

/// Returns whether a response with this status is the answer to a request: a final response as
/// RFC 9110, section 15, defines them. Any other one is no answer, and the outcome of its
/// request is unknown.
///
/// ```
/// use verdict::is_answer;
/// assert!([200, 299, 404, 599].into_iter().all(is_answer));
/// assert!(![0, 99, 101, 199, 600, 999].into_iter().any(is_answer));
/// ```
pub fn is_answer(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// Returns whether callers take a response with this status for the promise that their request has
/// not run and will not, whoever gave it: 408, 421, 429 and 503. They repeat any request after it.
///
/// ```
/// use verdict::promises_not_run;
/// assert!([408, 421, 429, 503].into_iter().all(promises_not_run));
/// assert!(![200, 404, 500, 502, 504].into_iter().any(promises_not_run));
/// ```
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Error of a request that is sent in several attempts: that of the attempt whose
/// verdict promises least, as each attempt may have run the request.
///
/// ```
/// use verdict::{RequestError, Verdict};
/// let mut error = RequestError::default();
/// error.record(Verdict::MayHaveRun, "connection lost");
/// error.record(Verdict::NotRun, "no upstream");
/// assert_eq!(error.take(), Some("connection lost"));
/// ```
#[derive(Clone, Debug)]
pub struct RequestError<E>(Option<(Verdict, E)>);

impl<E> Default for RequestError<E> {
    fn default() -> Self {
        RequestError(None)
    }
}

impl<E> RequestError<E> {
    /// Records the error of one attempt; among those of equal verdicts the last one is
    /// kept.
    pub fn record(&mut self, verdict: Verdict, error: E) {
        if self.0.as_ref().is_none_or(|(kept, _)| *kept <= verdict) {
            self.0 = Some((verdict, error));
        }
    }

    /// Returns the error of the request; `None` if no attempt failed.
    pub fn take(self) -> Option<E> {
        self.0.map(|(_, error)| error)
    }
}

/// Machine-readable reason of an error.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Code {
    /// The request is malformed.
    InvalidRequest,
    /// A body or header exceeds its size limit.
    TooLarge,
    /// The API key or the upstream token is missing or unknown.
    Unauthenticated,
    /// The service, model or path does not exist in this workspace.
    NotFound,
    /// The idempotency key was already used with a different request.
    KeyConflict,
    /// The request requires an idempotency key.
    KeyRequired,
    /// The response of the first run was too large to be stored.
    AnswerNotKept,
    /// A limit of the workspace is reached.
    WorkspaceLimit,
    /// There is no capacity to process the request in time.
    Overloaded,
    /// No upstream of the service is available.
    NoUpstream,
    /// The entry does not accept requests at the moment, for example during
    /// shutdown.
    Unavailable,
    /// The control processes did not confirm the operation in time.
    ControlUnavailable,
    /// The upstream could not be reached, refused the request, or failed while it
    /// ran.
    UpstreamFailed,
    /// The stream made no progress within its time limit.
    Stalled,
    /// The generation to resume no longer exists.
    ResumeGone,
    /// The first run under the idempotency key has not ended, or its outcome is
    /// unknown.
    OutcomeUnknown,
    /// An internal error occurred.
    Internal,
}

impl Code {
    /// Returns the code as it appears in error responses.
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
    /// Human-readable description.
    pub message: String,
    /// Delay after which a retry may succeed, if there is one.
    pub retry_after_ms: Option<u64>,
}

impl std::error::Error for Failure {}

impl Failure {
    /// Creates a failure of a request that no upstream ran.
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

    /// Sets the delay after which a retry may succeed.
    pub fn retry_after_ms(self, retry_after_ms: u64) -> Self {
        Failure { retry_after_ms: Some(retry_after_ms), ..self }
    }
}
