//! Names of the kinds of messages, for metrics.

use schema::Request;
use schema::request::Body;

/// Returns the name of the kind of a request, or `none` without a body.
pub(crate) fn kind_of(request: &Request) -> &'static str {
    request.body.as_ref().map_or("none", request_kind)
}

/// Returns the name of a kind of request.
///
/// ```
/// use schema::{StatusRequest, request::Body};
/// assert_eq!(wire::request_kind(&Body::Status(StatusRequest {})), "status");
/// ```
pub fn request_kind(body: &Body) -> &'static str {
    match body {
        Body::Consensus(_) => "consensus",
        Body::Join(_) => "join",
        Body::Bootstrap(_) => "bootstrap",
        Body::Publish(_) => "publish",
        Body::GetSet(_) => "get_set",
        Body::Heartbeat(_) => "heartbeat",
        Body::BeginRecord(_) => "begin_record",
        Body::FinishRecord(_) => "finish_record",
        Body::ReleaseRecord(_) => "release_record",
        Body::AwaitRecord(_) => "await_record",
        Body::Status(_) => "status",
        Body::Leave(_) => "leave",
        Body::Replace(_) => "replace",
        Body::Announce(_) => "announce",
        Body::Credit(_) => "credit",
        Body::CreditRelease(_) => "credit_release",
        Body::CreditRenew(_) => "credit_renew",
        Body::Digest(_) => "digest",
        Body::Confirm(_) => "confirm",
        Body::Locate(_) => "locate",
        Body::Sync(_) => "sync",
        Body::Place(_) => "place",
        Body::Crash(_) => "crash",
        Body::FindOrigin(_) => "find_origin",
        Body::FetchRoutes(_) => "fetch_routes",
        Body::FindGateways(_) => "find_gateways",
        Body::Forward(_) => "forward",
        Body::QuarantineParts(_) => "quarantine_parts",
        Body::LiftQuarantine(_) => "lift_quarantine",
        Body::GetQuarantine(_) => "get_quarantine",
        Body::PublishRoutes(_) => "publish_routes",
        Body::GetRoutes(_) => "get_routes",
        Body::Evacuations(_) => "evacuations",
        Body::EndUpstream(_) => "end_upstream",
    }
}
