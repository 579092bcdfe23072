//! Sends one request to one upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use telemetry::Span;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::health::record_failure;
use crate::notices;
use crate::pool::Connection;
use crate::shared::Shared;
use crate::target::Target;

/// Informational (1xx) responses that may precede a response.
const MAX_INFORMATIONAL_RESPONSES: u32 = 16;

/// Upstream response whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// Why a request to an upstream got no complete response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum ExchangeError {
    /// nothing was sent: {0}
    NotSent(String),
    /// the request may have arrived: {0}
    ConnectionLost(String),
    /// no answer in time
    TimedOut,
}

/// Sends a request to an upstream and waits for the response head.
pub(crate) async fn exchange(
    shared: &Shared,
    parent: &Span,
    target: &Target,
    request: Request<Full<Bytes>>,
    until: Instant,
) -> Result<UpstreamResponse, ExchangeError> {
    let span = shared.spans.start_client_span("upstream", parent);
    span.set_attribute("upstream", target.id.to_string());
    let result = timeout_at(until, send(shared, target, request)).await;
    let result = result.unwrap_or(Err(ExchangeError::TimedOut));
    if let Err(error) = &result {
        span.set_error(error.to_string());
    }
    result
}

/// Counts the informational (1xx) responses to one request.
#[derive(Debug, Default)]
struct InformationalResponses {
    count: AtomicU32,
    too_many: Notify,
}

impl InformationalResponses {
    fn watch(request: &mut Request<Full<Bytes>>) -> Arc<Self> {
        let responses = Arc::new(InformationalResponses::default());
        let counted = responses.clone();
        hyper::ext::on_informational(request, move |_| {
            if counted.count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_RESPONSES {
                counted.too_many.notify_one();
            }
        });
        responses
    }
}

async fn send(
    shared: &Shared,
    target: &Target,
    mut request: Request<Full<Bytes>>,
) -> Result<UpstreamResponse, ExchangeError> {
    let informational = InformationalResponses::watch(&mut request);
    tokio::select! {
        result = send_on_connection(shared, target, request) => result,
        () = informational.too_many.notified() => {
            Err(ExchangeError::ConnectionLost("informational responses without end".into()))
        }
    }
}

async fn send_on_connection(
    shared: &Shared,
    target: &Target,
    mut request: Request<Full<Bytes>>,
) -> Result<UpstreamResponse, ExchangeError> {
    if let Some(mut connection) = shared.pool.take(&target.id) {
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok(to_response(response, connection)),
            Err(mut error) => match error.take_message() {
                // The upstream had closed the pooled connection; nothing was sent.
                Some(unsent) => request = unsent,
                None => return Err(ExchangeError::ConnectionLost(error.into_error().to_string())),
            },
        }
    }
    let limit = Duration::from_millis(shared.config.timers.connect_timeout_ms);
    let connecting = Connection::open(target.address, limit).await;
    let mut connection = connecting.map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    shared.metrics.connections_opened.with_label_values(&[&target.origin.service]).inc();
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(to_response(response, connection)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(ExchangeError::NotSent(error.into_error().to_string())),
            None => Err(ExchangeError::ConnectionLost(error.into_error().to_string())),
        },
    }
}

fn to_response(response: http::Response<Incoming>, mut connection: Connection) -> UpstreamResponse {
    let (head, body) = response.into_parts();
    connection.apply_keep_alive(&head.headers);
    UpstreamResponse { head, body, connection }
}

/// Sends a command with its id to an upstream and returns the status and body of its
/// response. A response with the id of another command or request is an error, and its
/// connection is not used again.
pub(crate) async fn send_command(
    shared: &Shared,
    parent: &Span,
    target: &Target,
    (id, request): (&str, Request<Bytes>),
    until: Instant,
    max_bytes: usize,
) -> Result<(http::StatusCode, Bytes), ExchangeError> {
    if notices::pause_ms(shared, &target.id, target.born_ms) > 0 {
        return Err(ExchangeError::NotSent("the upstream wants no requests".to_string()));
    }
    let UpstreamResponse { head, body, connection } =
        exchange(shared, parent, target, request.map(Full::new), until).await?;
    let response = shared.dialect.parse_response(&head);
    if response.request_id.as_deref().is_some_and(|other| other != id) {
        record_failure(shared, target, "response to another command");
        return Err(ExchangeError::ConnectionLost("response to another command".to_string()));
    }
    let collecting = Limited::new(body, max_bytes).collect();
    let body = timeout_at(until, collecting).await.map_err(|_| ExchangeError::TimedOut)?;
    let body = body.map_err(|error| ExchangeError::ConnectionLost(error.to_string()))?.to_bytes();
    notices::apply_to_command(shared, target, &response);
    shared.return_connection(target, connection);
    Ok((head.status, body))
}
