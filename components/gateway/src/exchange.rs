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

use crate::evacuations;
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
    /// nothing was sent: the data centre is evacuated
    Evacuated,
    /// the request may have arrived: {0}
    ConnectionLost(String),
    /// the status {0} is no answer in the protocol
    NoAnswer(u16),
    /// no answer in time
    TimedOut,
}

/// Which connection carries a request to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionUse {
    /// An idle one from the pool, or else a new one.
    Pooled,
    /// A new one that carries no other request.
    Exclusive,
}

/// Sends a request to an upstream and waits for the response head.
pub(crate) async fn exchange(
    shared: &Shared,
    parent: &Span,
    target: &Target,
    request: Request<Full<Bytes>>,
    until: Instant,
) -> Result<UpstreamResponse, ExchangeError> {
    exchange_on(ConnectionUse::Pooled, shared, parent, target, request, until).await
}

async fn exchange_on(
    connection_use: ConnectionUse,
    shared: &Shared,
    parent: &Span,
    target: &Target,
    request: Request<Full<Bytes>>,
    until: Instant,
) -> Result<UpstreamResponse, ExchangeError> {
    let span = shared.spans.start_client_span("upstream", parent);
    span.set_attribute("upstream", target.id.to_string());
    let result = timeout_at(until, send(connection_use, shared, target, request)).await;
    let result = result.unwrap_or(Err(ExchangeError::TimedOut));
    match &result {
        Ok(_) => shared.reach.borrow_mut().record_heard(Instant::now()),
        Err(error) => span.set_error(error.to_string()),
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
    connection_use: ConnectionUse,
    shared: &Shared,
    target: &Target,
    mut request: Request<Full<Bytes>>,
) -> Result<UpstreamResponse, ExchangeError> {
    let informational = InformationalResponses::watch(&mut request);
    tokio::select! {
        result = send_on_connection(connection_use, shared, target, request) => result,
        () = informational.too_many.notified() => {
            Err(ExchangeError::ConnectionLost("informational responses without end".into()))
        }
    }
}

async fn send_on_connection(
    connection_use: ConnectionUse,
    shared: &Shared,
    target: &Target,
    mut request: Request<Full<Bytes>>,
) -> Result<UpstreamResponse, ExchangeError> {
    // Commands are about generations that the engine runs already.
    let is_evacuated =
        || connection_use == ConnectionUse::Pooled && evacuations::is_evacuated(shared, target);
    if is_evacuated() {
        return Err(ExchangeError::Evacuated);
    }
    if connection_use == ConnectionUse::Pooled
        && let Some(mut connection) = shared.pool.take(&target.id)
    {
        match connection.sender.try_send_request(request).await {
            Ok(response) => return to_response(response, connection),
            Err(mut error) => match error.take_message() {
                // The upstream had closed the pooled connection; nothing was sent.
                Some(unsent) => request = unsent,
                None => return Err(ExchangeError::ConnectionLost(error.into_error().to_string())),
            },
        }
    }
    let limit = Duration::from_millis(shared.config.timers.connect_timeout_ms);
    let connecting = Connection::open(shared.dialer.connect(target.address), limit).await;
    let mut connection = connecting.map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    shared.metrics.connections_opened.with_label_values(&[&target.origin.service]).inc();
    // The order may have come while the connection was opened.
    if is_evacuated() {
        return Err(ExchangeError::Evacuated);
    }
    match connection.sender.try_send_request(request).await {
        Ok(response) => to_response(response, connection),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(ExchangeError::NotSent(error.into_error().to_string())),
            None => Err(ExchangeError::ConnectionLost(error.into_error().to_string())),
        },
    }
}

/// Returns the response, or closes the connection if it is no answer.
fn to_response(
    response: http::Response<Incoming>,
    mut connection: Connection,
) -> Result<UpstreamResponse, ExchangeError> {
    let (head, body) = response.into_parts();
    if !verdict::is_answer(head.status.as_u16()) {
        return Err(ExchangeError::NoAnswer(head.status.as_u16()));
    }
    connection.apply_keep_alive(&head.headers);
    Ok(UpstreamResponse { head, body, connection })
}

/// Sends a command to an upstream and returns the status and body of its response. Nothing in
/// the response tells it from a late copy of an earlier one, so the command has a connection
/// of its own, on which no other response can arrive. A response to a request is an error.
pub(crate) async fn send_command(
    shared: &Shared,
    parent: &Span,
    target: &Target,
    request: Request<Bytes>,
    until: Instant,
    max_bytes: usize,
) -> Result<(http::StatusCode, Bytes), ExchangeError> {
    if notices::pause_ms(shared, &target.id, target.born_ms) > 0 {
        return Err(ExchangeError::NotSent("the upstream wants no requests".to_string()));
    }
    let request = request.map(Full::new);
    // The connection closes once the response was read.
    let exchanged =
        exchange_on(ConnectionUse::Exclusive, shared, parent, target, request, until).await;
    if let Err(ExchangeError::NoAnswer(_)) = &exchanged {
        record_failure(shared, target, "no answer in the protocol");
    }
    let UpstreamResponse { head, body, connection: _connection } = exchanged?;
    let response = shared.dialect.parse_response(&head);
    if response.request_id.is_some() {
        record_failure(shared, target, "response to a request");
        return Err(ExchangeError::ConnectionLost("response to a request".to_string()));
    }
    let collecting = Limited::new(body, max_bytes).collect();
    let body = timeout_at(until, collecting).await.map_err(|_| ExchangeError::TimedOut)?;
    let body = body.map_err(|error| ExchangeError::ConnectionLost(error.to_string()))?.to_bytes();
    notices::apply_to_command(shared, target, &response);
    Ok((head.status, body))
}
