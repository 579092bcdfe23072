//! Metrics and health checks.

use actix_web::{HttpResponse, web};

use crate::shared::Shared;

pub(crate) async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    let number = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
    let metrics = &shared.metrics;
    metrics.streams.set(number(shared.in_flight.count()));
    let traffic = wire::traffic();
    metrics.peer_bytes.with_label_values(&["sent"]).set(number(traffic.sent_bytes));
    metrics.peer_bytes.with_label_values(&["received"]).set(number(traffic.received_bytes));
    metrics.peer_messages.set(number(traffic.messages));
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
