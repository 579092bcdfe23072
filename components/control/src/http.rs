//! Metrics and health checks.

use actix::Addr;
use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};

use crate::metrics::Metrics;
use crate::replica::{Readiness, Replica};

const WORKERS: usize = 1;

/// Serves metrics and health checks.
pub(crate) fn serve(
    address: std::net::SocketAddr,
    replica: Addr<Replica>,
    metrics: Metrics,
) -> std::io::Result<(Server, std::net::SocketAddr)> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(replica.clone()))
            .app_data(web::Data::new(metrics.clone()))
            .route("/metrics", web::get().to(serve_metrics))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/readyz", web::get().to(serve_readiness))
    })
    .workers(WORKERS)
    .disable_signals()
    .bind(address)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((server.run(), bound))
}

async fn serve_metrics(metrics: web::Data<Metrics>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(telemetry::encode_metrics(&metrics.registry))
}

async fn serve_readiness(replica: web::Data<Addr<Replica>>) -> HttpResponse {
    match replica.send(Readiness).await {
        Ok(true) => HttpResponse::Ok().body("ready\n"),
        Ok(false) | Err(_) => HttpResponse::ServiceUnavailable().body("no leader is known\n"),
    }
}
