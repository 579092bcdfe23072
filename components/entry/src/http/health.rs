//! Metrics and health checks.

use actix_web::{HttpResponse, web};

use crate::shared::Shared;

pub(crate) async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    shared.metrics.streams.set(i64::try_from(shared.in_flight.count()).unwrap_or(i64::MAX));
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(telemetry::encode_metrics(&shared.metrics.registry))
}

pub(crate) async fn alive() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

pub(crate) async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    let mode = shared.view().mode;
    let mut reply =
        if mode.takes_work() { HttpResponse::Ok() } else { HttpResponse::ServiceUnavailable() };
    reply.body(format!("{mode}\n"))
}
