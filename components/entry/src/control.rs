//! Requests to the control processes, with latency metrics.

use std::net::SocketAddr;
use std::time::Duration;

use schema::{reply, request};
use wire::Endpoint;

pub(crate) use client::ControlError;

use crate::metrics::Metrics;

/// Client of the control processes that records the latency of each call,
/// including its retries.
#[derive(Clone, Debug)]
pub(crate) struct ControlClient {
    client: client::ControlClient,
    metrics: Metrics,
}

impl ControlClient {
    pub(crate) fn new(endpoint: &Endpoint, addresses: &[SocketAddr], metrics: Metrics) -> Self {
        ControlClient { client: client::ControlClient::new(endpoint, addresses), metrics }
    }

    /// Sends a request and retries it until it gets a reply or a permanent error,
    /// or until `limit` has elapsed.
    pub(crate) async fn call(
        &self,
        body: request::Body,
        traceparent: String,
        limit: Duration,
    ) -> Result<reply::Body, ControlError> {
        let _timer = self.metrics.control_seconds.start_timer();
        self.client.call(body, traceparent, limit).await
    }
}
