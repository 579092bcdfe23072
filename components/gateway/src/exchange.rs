//! One request to one upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use displaydoc::Display;
use http::{Request, response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use telemetry::Span;
use tokio::time::{Instant, timeout_at};

use crate::pool::Connection;
use crate::shared::Shared;

/// Incarnation of an upstream that a request is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    pub(crate) id: CompactString,
    pub(crate) service: CompactString,
    pub(crate) address: SocketAddr,
    pub(crate) born_ms: u64,
}

/// Answer whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// Why an exchange gave no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum Failure {
    /// nothing was sent: {0}
    NotSent(String),
    /// the request may have arrived: {0}
    Lost(String),
    /// no answer in time
    TimedOut,
}

/// Sends a request to an upstream and returns the head of its answer.
pub(crate) async fn exchange(
    shared: &Shared,
    parent: &Span,
    target: &Target,
    request: Request<Full<Bytes>>,
    until: Instant,
) -> Result<Reply, Failure> {
    let span = shared.spans.client("upstream", parent);
    span.set("upstream", target.id.to_string());
    let result = timeout_at(until, send(shared, target, request)).await;
    let result = result.unwrap_or(Err(Failure::TimedOut));
    if let Err(failure) = &result {
        span.fail(failure.to_string());
    }
    result
}

async fn send(
    shared: &Shared,
    target: &Target,
    mut request: Request<Full<Bytes>>,
) -> Result<Reply, Failure> {
    if let Some(mut connection) = shared.pool.take(&target.id) {
        match connection.sender.try_send_request(request).await {
            Ok(answer) => return Ok(to_reply(answer, connection)),
            Err(mut error) => match error.take_message() {
                // The upstream closed the kept connection; nothing was sent.
                Some(unsent) => request = unsent,
                None => return Err(Failure::Lost(error.into_error().to_string())),
            },
        }
    }
    let limit = Duration::from_millis(shared.config.timers.connect_timeout_ms);
    let connecting = Connection::open(target.address, limit).await;
    let mut connection = connecting.map_err(|error| Failure::NotSent(error.to_string()))?;
    shared.metrics.connections.with_label_values(&[&target.service]).inc();
    match connection.sender.try_send_request(request).await {
        Ok(answer) => Ok(to_reply(answer, connection)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(Failure::NotSent(error.into_error().to_string())),
            None => Err(Failure::Lost(error.into_error().to_string())),
        },
    }
}

fn to_reply(answer: http::Response<Incoming>, mut connection: Connection) -> Reply {
    let (head, body) = answer.into_parts();
    connection.note_answer(&head.headers);
    Reply { head, body, connection }
}

/// Sends an order to an upstream and returns the status and body of its answer.
pub(crate) async fn order(
    shared: &Shared,
    parent: &Span,
    target: &Target,
    request: Request<Bytes>,
    until: Instant,
    max_bytes: usize,
) -> Result<(http::StatusCode, Bytes), Failure> {
    let Reply { head, body, connection } =
        exchange(shared, parent, target, request.map(Full::new), until).await?;
    let collecting = Limited::new(body, max_bytes).collect();
    let body = timeout_at(until, collecting).await.map_err(|_| Failure::TimedOut)?;
    let body = body.map_err(|error| Failure::Lost(error.to_string()))?.to_bytes();
    shared.keep_connection(target, connection);
    Ok((head.status, body))
}
