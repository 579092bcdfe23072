//! `GET /v1/models`: generation services of a workspace.

use actix_web::{HttpRequest, HttpResponse, web};
use objects::Catalog;
use serde::Serialize;

use super::auth::authenticate_unless_starting;
use super::failure::CallerError;
use crate::shared::Shared;

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelItem<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the generation services that the caller's workspace may use.
pub(crate) async fn list(
    http: HttpRequest,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, CallerError> {
    let caller = authenticate_unless_starting(&shared, &http)?;
    let services = caller.workspace.services.iter();
    let services = services.filter_map(|name| caller.catalog.service(name));
    let data = services
        .filter(|service| Catalog::generation(service).is_some())
        .map(|service| ModelItem { id: &service.name, object: "model", owned_by: "shallottray" })
        .collect();
    Ok(HttpResponse::Ok().json(ModelList { object: "list", data }))
}
