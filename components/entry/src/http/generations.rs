//! `DELETE /v1/generations/{id}`: cancels a generation.

use actix_web::{HttpRequest, HttpResponse, web};
use units::GenerationId;
use verdict::{Code, Failure, Verdict};

use super::auth::authenticate_unless_starting;
use super::failure::{CallerError, invalid};
use super::{VERDICT_HEADER, verdict_value};
use crate::broker::LocateUpstream;
use crate::engine::EngineClient;
use crate::shared::Shared;

/// Cancels a generation of the caller's workspace at once.
pub(crate) async fn cancel(
    http: HttpRequest,
    id: web::Path<String>,
    shared: web::Data<Shared>,
    engine: web::Data<EngineClient>,
) -> Result<HttpResponse, CallerError> {
    let caller = authenticate_unless_starting(&shared, &http)?;
    let generation: GenerationId =
        id.parse().map_err(|error| invalid(format!("generation `{id}`: {error}")))?;
    let name = generation.engine.as_str().into();
    let address = shared.broker.send(LocateUpstream(name)).await.unwrap_or_default();
    let gone = || Failure::ran(Code::ResumeGone, "the generation is gone");
    let address = address.ok_or_else(gone)?;
    engine
        .cancel(&address, &generation, &caller.workspace.name)
        .await
        .map_err(|error| Failure::ran(Code::ResumeGone, error.to_string()))?;
    Ok(HttpResponse::NoContent()
        .insert_header((VERDICT_HEADER, verdict_value(Verdict::Ran)))
        .finish())
}
