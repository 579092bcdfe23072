//! Error responses to callers.

use std::fmt;

use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpRequest, HttpResponse, Responder, ResponseError};
use serde::Serialize;
use verdict::{Code, Failure};

use super::{VERDICT_HEADER, verdict_value};

const MS_PER_S: u64 = 1_000;

/// Body of an error response.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Serialize)]
struct ErrorFields {
    code: &'static str,
    message: String,
    verdict: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl From<&Failure> for ErrorBody {
    fn from(failure: &Failure) -> Self {
        ErrorBody {
            error: ErrorFields {
                code: failure.code.as_str(),
                message: failure.message.clone(),
                verdict: failure.verdict.to_string(),
                retry_after_ms: failure.retry_after_ms,
            },
        }
    }
}

/// Failure that becomes an HTTP error response.
#[derive(Debug)]
pub(crate) struct CallerError(pub(crate) Failure);

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl From<Failure> for CallerError {
    fn from(failure: Failure) -> Self {
        CallerError(failure)
    }
}

impl ResponseError for CallerError {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.0.code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((VERDICT_HEADER, verdict_value(self.0.verdict)));
        if let Some(retry_after_ms) = self.0.retry_after_ms {
            response.insert_header((RETRY_AFTER, retry_after_ms.div_ceil(MS_PER_S).to_string()));
        }
        response.json(ErrorBody::from(&self.0))
    }
}

impl Responder for CallerError {
    type Body = actix_web::body::BoxBody;

    fn respond_to(self, _: &HttpRequest) -> HttpResponse {
        self.error_response()
    }
}

/// Creates the error for a malformed request.
pub(crate) fn invalid(message: impl Into<String>) -> CallerError {
    CallerError(Failure::not_run(Code::InvalidRequest, message))
}
