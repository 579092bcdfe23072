//! HTTP client of the benchmarks.

use std::pin::Pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use awc::error::SendRequestError;
use awc::{Client, Connector};
use bytes::Bytes;
use displaydoc::Display;
use eventsource_stream::{Event, Eventsource as _};
use futures::{Stream, StreamExt as _};
use serde_json::{Value, json};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
const MAX_BODY_BYTES: usize = 64 << 20;

/// Error that ends a benchmark run.
#[derive(Clone, Debug, Display)]
pub enum BenchError {
    /// no answer from {0}: {1}
    NoResponse(String, String),
    /// {0} answered with status {1}: {2}
    UnexpectedStatus(String, u16, String),
}

impl std::error::Error for BenchError {}

/// Server-sent events of a response; `None` for an event that cannot be parsed and
/// for an error of the connection.
pub(crate) type EventStream = Pin<Box<dyn Stream<Item = Option<Event>>>>;

pub(crate) struct Response {
    pub(crate) status: u16,
    /// Value of the `x-shallottray-verdict` header; empty if absent.
    pub(crate) verdict: String,
    pub(crate) body: Bytes,
}

/// HTTP client that authenticates with one API key.
#[derive(Clone)]
pub(crate) struct BenchClient {
    client: Client,
    api_key: String,
}

impl BenchClient {
    pub(crate) fn new(api_key: &str) -> Self {
        let connector = Connector::new().limit(0).conn_keep_alive(Duration::ZERO);
        let client = Client::builder()
            .connector(connector)
            .timeout(REQUEST_TIMEOUT)
            .disable_redirects()
            .finish();
        BenchClient { client, api_key: api_key.to_string() }
    }

    /// Opens an event stream. A response with a status other than 200
    /// is returned as the inner `Err`.
    pub(crate) async fn open_stream(
        &self,
        url: &str,
        body: &Value,
    ) -> Result<Result<EventStream, Response>, BenchError> {
        let request = self
            .client
            .post(url)
            .insert_header(("authorization", format!("Bearer {}", self.api_key)));
        let request_failed = |error: SendRequestError| no_response(url, &error);
        let mut response = request.send_json(body).await.map_err(request_failed)?;
        if response.status() == 200 {
            return Ok(Ok(Box::pin(response.eventsource().map(Result::ok))));
        }
        let verdict = verdict_header(response.headers());
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        Ok(Err(Response { status, verdict, body }))
    }

    /// Sends a request and reads its complete response. `key` is the idempotency key;
    /// empty for none.
    pub(crate) async fn send(
        &self,
        method: &str,
        url: &str,
        key: &str,
        body: &Value,
    ) -> Result<Response, BenchError> {
        let method = method.parse().expect("callers pass valid HTTP methods");
        let mut request = self
            .client
            .request(method, url)
            .force_close()
            .insert_header(("authorization", format!("Bearer {}", self.api_key)));
        if !key.is_empty() {
            request = request.insert_header(("idempotency-key", key));
        }
        let mut response =
            request.send_json(body).await.map_err(|error| no_response(url, &error))?;
        let verdict = verdict_header(response.headers());
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| no_response(url, &error))?;
        Ok(Response { status, verdict, body })
    }

    /// Fetches the addresses of the entries that a caller should use.
    pub(crate) async fn list_entries(&self, entry: &str) -> Result<Vec<String>, BenchError> {
        let url = format!("http://{entry}/v1/entries");
        let response = self.send("GET", &url, "", &Value::Null).await?;
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let entries = body["entries"].as_array().cloned().unwrap_or_default();
        let addresses = entries.iter().filter_map(|e| e["address"].as_str());
        let addresses: Vec<String> = addresses.map(str::to_string).collect();
        if addresses.is_empty() {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            return Err(BenchError::UnexpectedStatus(url, response.status, text));
        }
        Ok(addresses)
    }
}

/// Returns the body of a chat request that makes the engine stand-in generate
/// `output_tokens` tokens.
pub(crate) fn chat_body(model: &str, output_tokens: u64) -> Value {
    json!({
        "model": model,
        "stream": true,
        "messages": [{"role": "user", "content": format!("length={output_tokens}")}],
    })
}

pub(crate) fn unix_time_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn verdict_header(headers: &awc::http::header::HeaderMap) -> String {
    let verdict = headers.get("x-shallottray-verdict").and_then(|value| value.to_str().ok());
    verdict.unwrap_or_default().to_string()
}

fn no_response(url: &str, error: &dyn std::fmt::Display) -> BenchError {
    BenchError::NoResponse(url.to_string(), error.to_string())
}
