//! Authentication of callers, and refusal of requests while the mode forbids
//! them.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use objects::Catalog;
use schema::Workspace;
use verdict::{Code, Failure};

use crate::shared::Shared;
use crate::view::Mode;

const RETRY_ELSEWHERE_MS: u64 = 100;

/// Authenticated caller, and the published set that applies to its request.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: Workspace,
    pub(crate) catalog: Arc<Catalog>,
}

/// Authenticates the caller of a new request, if the mode accepts new requests.
pub(crate) fn authenticate(shared: &Shared, request: &HttpRequest) -> Result<Caller, Failure> {
    let view = shared.view();
    if !view.mode.accepts_new_requests() {
        return Err(unavailable(view.mode));
    }
    authenticate_unless_starting(shared, request)
}

/// Authenticates a caller in every mode but `Starting`, for requests that start
/// no generation or call: listing, resuming and cancelling.
pub(crate) fn authenticate_unless_starting(
    shared: &Shared,
    request: &HttpRequest,
) -> Result<Caller, Failure> {
    let view = shared.view();
    if view.mode == Mode::Starting {
        return Err(unavailable(view.mode));
    }
    let key = bearer_token(request).ok_or_else(|| {
        let message = "send the workspace's API key as `Authorization: Bearer KEY`";
        Failure::not_run(Code::Unauthenticated, message)
    })?;
    let workspace = view
        .catalog
        .workspace_by_api_key(key)
        .ok_or_else(|| Failure::not_run(Code::Unauthenticated, "no workspace has this API key"))?;
    Ok(Caller { workspace: workspace.clone(), catalog: view.catalog.clone() })
}

/// Returns the token of an `Authorization: Bearer` header.
pub(crate) fn bearer_token(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token.trim())
}

fn unavailable(mode: Mode) -> Failure {
    let message = format!("this entry is {mode} and takes no new work; ask another one");
    Failure::not_run(Code::Unavailable, message).retry_after_ms(RETRY_ELSEWHERE_MS)
}
