//! HTTP interface for callers and upstreams.

mod auth;
mod body;
mod chat;
mod entries;
mod failure;
mod generations;
mod health;
mod models;
mod openai;
mod services;
mod sse;
mod upstreams;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{Server, ServiceRequest, ServiceResponse};
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::middleware::{Next, from_fn};
use actix_web::{App, HttpServer, web};
use verdict::{Code, Failure, Verdict};

use crate::engine::EngineClient;
use crate::shared::Shared;
use failure::CallerError;
use services::PlainClient;

/// Header that states whether an upstream ran the request.
pub(crate) const VERDICT_HEADER: HeaderName = HeaderName::from_static("x-shallottray-verdict");

const WORKERS: usize = 2;
/// Time for callers to read their answers when the entry stops: as long as the kernel keeps
/// a connection whose peer takes nothing.
const SHUTDOWN_TIMEOUT_S: u64 = 900;
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates the server for callers and upstreams; returns it with the address on
/// which it listens.
pub(crate) fn serve(address: SocketAddr, shared: Shared) -> std::io::Result<(Server, SocketAddr)> {
    let max_connections = shared.config.limits.max_connections as usize;
    let server = HttpServer::new(move || {
        let connect_timeout = Duration::from_millis(shared.config.timers.connect_timeout_ms);
        App::new()
            .app_data(web::Data::new(shared.clone()))
            .app_data(web::Data::new(EngineClient::new(connect_timeout)))
            .app_data(web::Data::new(PlainClient::new(connect_timeout)))
            .wrap(from_fn(add_missing_verdict))
            .wrap(from_fn(withhold_after_kill))
            .route("/v1/chat/completions", web::post().to(chat::complete))
            .route("/v1/models", web::get().to(models::list))
            .route("/v1/entries", web::get().to(entries::list))
            .route("/v1/upstreams", web::post().to(upstreams::announce))
            .route("/v1/generations/{id}", web::delete().to(generations::cancel))
            .route("/services/{service}/{path:.*}", web::route().to(services::call))
            .route("/metrics", web::get().to(health::metrics))
            .route("/healthz", web::get().to(health::alive))
            .route("/readyz", web::get().to(health::ready))
            .default_service(web::route().to(not_found))
    })
    .workers(WORKERS)
    .max_connections(max_connections)
    .client_request_timeout(HEADER_TIMEOUT)
    .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
    .disable_signals()
    .bind(address)?;
    let bound_address = server.addrs().first().copied().unwrap_or(address);
    Ok((server.run(), bound_address))
}

/// Adds the verdict `not-run` to responses without one: their requests reached
/// no upstream.
async fn add_missing_verdict(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let mut response = next.call(request).await?;
    let headers = response.headers_mut();
    if !headers.contains_key(VERDICT_HEADER) {
        headers.insert(VERDICT_HEADER, verdict_value(Verdict::NotRun));
    }
    Ok(response)
}

/// Withholds responses once the entry is killed. Parts of it stop one after another, so
/// that requests fail for reasons that callers of a killed process never see.
async fn withhold_after_kill(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let shared = request.app_data::<web::Data<Shared>>().cloned();
    let response = next.call(request).await;
    if shared.is_some_and(|shared| shared.killed.load(Ordering::SeqCst)) {
        std::future::pending::<()>().await;
    }
    response
}

fn verdict_value(verdict: Verdict) -> HeaderValue {
    match verdict {
        Verdict::NotRun => HeaderValue::from_static("not-run"),
        Verdict::MayHaveRun => HeaderValue::from_static("may-have-run"),
        Verdict::Ran => HeaderValue::from_static("ran"),
    }
}

async fn not_found(request: actix_web::HttpRequest) -> CallerError {
    let message = format!("there is no {} {}", request.method(), request.path());
    CallerError(Failure::not_run(Code::NotFound, message))
}
