//! Whether a response is one to the request that was sent.

use http::StatusCode;

use crate::dialect::ResponseHead;

/// Whether a response belongs to the request that was sent.
pub(crate) enum ResponseCheck {
    Valid,
    /// The upstream did not run the request.
    Rejected,
    /// The response is for another request or not from the upstream itself.
    Mismatched,
}

pub(crate) fn check_response(id: &str, head: &ResponseHead, status: StatusCode) -> ResponseCheck {
    if head.request_id.as_deref().is_some_and(|request_id| request_id != id) {
        return ResponseCheck::Mismatched;
    }
    if head.not_run || head.misdirected {
        // Without an id it may be an earlier refusal, written once more.
        return match head.request_id {
            Some(_) => ResponseCheck::Rejected,
            None => ResponseCheck::Mismatched,
        };
    }
    if head.signed || (head.request_id.is_some() && !status.is_success()) {
        return ResponseCheck::Valid;
    }
    ResponseCheck::Mismatched
}
