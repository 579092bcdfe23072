//! HTTP endpoints for readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use schema::EntryPhase;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Time without a request after which a connection is closed: its caller may be gone.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What an address serves, on any path.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Page {
    /// 200 while callers should use this gateway, otherwise 503.
    Readiness,
    /// Metrics in the Prometheus text format.
    Metrics,
}

/// Serves a page until the task is dropped.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener, page: Page) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = shared.clone();
        actix_rt::spawn(async move {
            let service = service_fn(|_| {
                let response = render(&shared, page);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error = error.to_string().as_str(); "status connection failed");
            }
        });
    }
}

fn render(shared: &Shared, page: Page) -> Response<Full<Bytes>> {
    match page {
        Page::Readiness => {
            let ready = *shared.phase.borrow() == EntryPhase::Ready;
            let mut response = Response::new(Full::default());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
        Page::Metrics => {
            let text = telemetry::encode_metrics(&shared.metrics.registry);
            Response::new(Full::new(Bytes::from(text)))
        }
    }
}
