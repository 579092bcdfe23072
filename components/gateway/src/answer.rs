//! Answers to callers.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use verdict::Verdict;

/// an upstream broke its answer off
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) struct BrokenOff;

impl std::error::Error for BrokenOff {}

/// Body of an answer; an error cuts the connection, so that the caller cannot
/// take the answer for a whole one.
pub(crate) type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BrokenOff>>>;

/// Answer of the gateway itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) verdict: Verdict,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that did not run and may be sent again.
    pub(crate) fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal { status, verdict: Verdict::NotRun, reason, retry_after: Some(retry_after) }
    }

    /// Refuses a request that the caller got wrong.
    pub(crate) fn caller(status: StatusCode, reason: &'static str) -> Self {
        Refusal { status, verdict: Verdict::NotRun, reason, retry_after: None }
    }

    /// Ends a request whose outcome is not known.
    pub(crate) fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Refusal { status, verdict: Verdict::MayHaveRun, reason, retry_after: None }
    }

    pub(crate) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(full(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        headers.insert(VERDICT, verdict_value(self.verdict));
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Header that tells whether the request ran.
const VERDICT: HeaderName = HeaderName::from_static("x-shallottray-verdict");

fn verdict_value(verdict: Verdict) -> HeaderValue {
    HeaderValue::from_static(match verdict {
        Verdict::NotRun => "not-run",
        Verdict::MayHaveRun => "may-have-run",
        Verdict::Ran => "ran",
    })
}

/// Wraps a body that is whole.
pub(crate) fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

const HOP_BY_HOP: [HeaderName; 8] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::PROXY_AUTHENTICATE,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Removes headers that concern one connection only.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<HeaderName> = values
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}
