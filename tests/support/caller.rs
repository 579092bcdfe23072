//! HTTP client for the entries.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource as _};
use futures::{Stream, StreamExt as _};
use serde_json::Value;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP response of an entry.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub verdict: String,
    pub body: Bytes,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_string()
    }
}

/// HTTP client with the API key of one workspace.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    api_key: String,
}

impl Caller {
    pub fn new(workspace: &str) -> Self {
        let connector = awc::Connector::new().conn_keep_alive(Duration::ZERO);
        let client = Client::builder().connector(connector).timeout(REQUEST_TIMEOUT).finish();
        Caller { client, api_key: format!("{workspace}-demo-key") }
    }

    /// Sends a request and reads the complete response. Returns `None` if no complete
    /// response of at most `MAX_RESPONSE_BYTES` arrives in time.
    pub async fn send(
        &self,
        method: &str,
        entry: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Response> {
        let method = method.parse().expect("an HTTP method");
        let mut request = self
            .client
            .request(method, format!("http://{entry}{path}"))
            .force_close()
            .insert_header(("authorization", format!("Bearer {}", self.api_key)));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request.send_body(body.into()).await.ok()?;
        let verdict = response.headers().get("x-shallottray-verdict");
        let verdict = verdict.and_then(|value| value.to_str().ok()).unwrap_or_default().to_string();
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
        Some(Response { status, verdict, body })
    }

    /// Requests a booking with an idempotency key.
    pub async fn book(&self, entry: SocketAddr, key: &str, body: &str) -> Option<Response> {
        let headers = [("idempotency-key", key), ("content-type", "application/json")];
        let path = "/services/booking-app/bookings";
        self.send("POST", entry, path, &headers, body.to_string()).await
    }

    /// Starts a streamed generation of `length` tokens, or resumes one after
    /// `last_event_id`. A stream item is `None` after a read error. Fails with the
    /// response if its status is not 200; the status is 0 if the request failed
    /// without a response.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        length: u64,
        last_event_id: Option<&str>,
    ) -> Result<impl Stream<Item = Option<Event>> + Unpin + use<>, Response> {
        let body = chat_body(length, true);
        let mut request = self
            .client
            .post(format!("http://{entry}/v1/chat/completions"))
            .insert_header(("authorization", format!("Bearer {}", self.api_key)));
        if let Some(id) = last_event_id {
            request = request.insert_header(("last-event-id", id));
        }
        let without_response = |error: SendRequestError| Response {
            status: 0,
            verdict: String::new(),
            body: Bytes::from(error.to_string()),
        };
        let mut response = request.send_body(body).await.map_err(without_response)?;
        if response.status() != 200 {
            let verdict = response.headers().get("x-shallottray-verdict");
            let verdict = verdict.and_then(|v| v.to_str().ok()).unwrap_or_default().to_string();
            let status = response.status().as_u16();
            let body = response.body().await.unwrap_or_default();
            return Err(Response { status, verdict, body });
        }
        Ok(Box::pin(response.eventsource().map(Result::ok)))
    }
}

pub fn chat_body(length: u64, stream: bool) -> String {
    serde_json::json!({
        "model": "coach-llm",
        "stream": stream,
        "messages": [{"role": "user", "content": format!("length={length}")}],
    })
    .to_string()
}

/// Token of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    pub generation: String,
    pub index: u64,
    pub text: String,
}

/// Parses the token of an event; `None` if the event carries none.
pub fn parse_token(event: &Event) -> Option<Token> {
    let (generation, index) = event.id.rsplit_once(':')?;
    let json: Value = serde_json::from_str(&event.data).ok()?;
    let text = json["choices"][0]["delta"]["content"].as_str()?.to_string();
    Some(Token { generation: generation.to_string(), index: index.parse().ok()?, text })
}

/// Asserts that tokens 0 to `length` - 1 arrived exactly once, in order and from
/// one generation.
pub fn assert_complete(tokens: &[Token], length: u64) {
    let indices: Vec<u64> = tokens.iter().map(|token| token.index).collect();
    assert_eq!(indices, (0..length).collect::<Vec<u64>>());
    let one_generation = tokens.iter().all(|token| token.generation == tokens[0].generation);
    assert!(one_generation, "tokens of several generations: {tokens:?}");
    let text_prefix = tokens[0].text.split('.').next().unwrap_or_default().to_string();
    let one_text = tokens.iter().all(|token| token.text.starts_with(&format!("{text_prefix}.")));
    assert!(one_text, "texts of several generations: {tokens:?}");
}
