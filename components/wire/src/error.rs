//! Errors of requests to other processes.

use displaydoc::Display;
use schema::ErrorReply;
use verdict::Verdict;

/// Error of a request to another process.
#[derive(Clone, Debug, Display)]
pub enum CallError {
    /// cannot connect: {0}
    Connect(String),
    /// the connection was lost during the call: {0}
    Lost(String),
    /// no reply within the timeout
    Timeout,
    /// the peer refused: {0:?}
    Refused(ErrorReply),
    /// the peer sent another kind of reply than expected
    UnexpectedReply,
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the peer may have executed the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Connect(_) => Verdict::NotRun,
            CallError::Refused(refusal) => match refusal.code() {
                schema::ErrorCode::UnknownOutcome => Verdict::MayHaveRun,
                _ => Verdict::NotRun,
            },
            CallError::Lost(_) | CallError::Timeout | CallError::UnexpectedReply => {
                Verdict::MayHaveRun
            }
        }
    }
}
