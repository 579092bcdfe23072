//! Requests of the measuring caller.

use std::pin::Pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use awc::error::SendRequestError;
use awc::{Client, Connector};
use bytes::Bytes;
use displaydoc::Display;
use eventsource_stream::{Event, Eventsource as _};
use futures::{Stream, StreamExt as _};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(120);
const MAX_BODY_BYTES: usize = 64 << 20;

/// Why a measurement cannot go on.
#[derive(Clone, Debug, Display)]
pub enum BenchError {
    /// no answer from {0}: {1}
    NoAnswer(String, String),
    /// {0} answered with status {1}: {2}
    Refused(String, u16, String),
}

impl std::error::Error for BenchError {}

/// Events of a stream.
pub(crate) type Events = Pin<Box<dyn Stream<Item = Option<Event>>>>;

/// Answer of a call.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) body: Bytes,
}

/// Client with one API key.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client,
    api_key: String,
}

impl Caller {
    pub(crate) fn new(api_key: &str) -> Self {
        let connector = Connector::new().limit(0).conn_keep_alive(Duration::ZERO);
        let client =
            Client::builder().connector(connector).timeout(TIMEOUT).disable_redirects().finish();
        Caller { client, api_key: api_key.to_string() }
    }

    /// Opens a stream; a refusal is an answer, not an error.
    pub(crate) async fn open(
        &self,
        url: &str,
        body: &Value,
    ) -> Result<Result<Events, Answer>, BenchError> {
        let request = self
            .client
            .post(url)
            .insert_header(("authorization", format!("Bearer {}", self.api_key)));
        let lost = |error: SendRequestError| no_answer(url, &error);
        let mut response = request.send_json(body).await.map_err(lost)?;
        if response.status() == 200 {
            return Ok(Ok(Box::pin(response.eventsource().map(Result::ok))));
        }
        let verdict = verdict_of(response.headers());
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        Ok(Err(Answer { status, verdict, body }))
    }

    /// Sends a call and reads its answer.
    pub(crate) async fn call(
        &self,
        method: &str,
        url: &str,
        key: &str,
        body: &Value,
    ) -> Result<Answer, BenchError> {
        let method = method.parse().expect("a constant method is valid");
        let mut request = self
            .client
            .request(method, url)
            .force_close()
            .insert_header(("authorization", format!("Bearer {}", self.api_key)));
        if !key.is_empty() {
            request = request.insert_header(("idempotency-key", key));
        }
        let mut response = request.send_json(body).await.map_err(|error| no_answer(url, &error))?;
        let verdict = verdict_of(response.headers());
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| no_answer(url, &error))?;
        Ok(Answer { status, verdict, body })
    }

    /// Asks an entry which addresses to use.
    pub(crate) async fn entries(&self, entry: &str) -> Result<Vec<String>, BenchError> {
        let url = format!("http://{entry}/v1/entries");
        let answer = self.call("GET", &url, "", &Value::Null).await?;
        let list: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let entries = list["entries"].as_array().cloned().unwrap_or_default();
        let addresses = entries.iter().filter_map(|e| e["address"].as_str());
        let addresses: Vec<String> = addresses.map(str::to_string).collect();
        if addresses.is_empty() {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(BenchError::Refused(url, answer.status, text));
        }
        Ok(addresses)
    }
}

/// Returns the body of a chat request whose stand-in answer has `length` tokens.
pub(crate) fn chat(model: &str, length: u64) -> Value {
    json!({
        "model": model,
        "stream": true,
        "messages": [{"role": "user", "content": format!("length={length}")}],
    })
}

/// Returns microseconds since the Unix epoch.
pub(crate) fn epoch_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn verdict_of(headers: &awc::http::header::HeaderMap) -> String {
    let verdict = headers.get("x-shallottray-verdict").and_then(|value| value.to_str().ok());
    verdict.unwrap_or_default().to_string()
}

fn no_answer(url: &str, error: &dyn std::fmt::Display) -> BenchError {
    BenchError::NoAnswer(url.to_string(), error.to_string())
}
