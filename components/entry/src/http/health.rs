//! Metrics and health checks.

use actix_web::{HttpResponse, web};

use crate::shared::Shared;

pub(crate) async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    let to_i64 = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
    let metrics = &shared.metrics;
    metrics.streams.set(to_i64(shared.in_flight.count()));
    let traffic = wire::traffic();
    metrics.peer_bytes.with_label_values(&["sent"]).set(to_i64(traffic.sent_bytes));
    metrics.peer_bytes.with_label_values(&["received"]).set(to_i64(traffic.received_bytes));
    metrics.peer_messages.set(to_i64(traffic.messages));
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(telemetry::encode_metrics(&shared.metrics.registry))
}

pub(crate) async fn alive() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

pub(crate) async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    let mode = shared.view().mode;
    let mut response = if mode.accepts_new_requests() {
        HttpResponse::Ok()
    } else {
        HttpResponse::ServiceUnavailable()
    };
    response.body(format!("{mode}\n"))
}
