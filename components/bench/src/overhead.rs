//! Latency that an entry adds, compared with direct access to the stand-ins.
//!
//! The engine puts the send time into each token, so that the transit time of
//! tokens is measured in the same way on both paths. The paths alternate.

use std::time::Duration;

use futures::StreamExt as _;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::caller::{BenchClient, BenchError, chat_body, unix_time_us};
use crate::latency::{LatencyHistogram, LatencySummary};

/// `detach_ms` of the generations that are started directly on the engine.
const DETACH_MS: u64 = 5_000;

/// Options of an overhead benchmark.
#[derive(Clone, Debug)]
pub struct OverheadOptions {
    /// Entry, as host:port.
    pub entry: String,
    /// Engine stand-in, as host:port; must run with `--stamp`.
    pub engine: String,
    /// Stand-in of a plain service, as host:port.
    pub upstream: String,
    /// API key of a workspace.
    pub api_key: String,
    /// Generation service.
    pub model: String,
    /// Version that the engine serves.
    pub version: String,
    /// Plain service.
    pub service: String,
    /// Number of streams and of service calls on each path.
    pub rounds: u64,
    /// Output tokens of each stream.
    pub tokens: u64,
}

/// Result of an overhead benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadReport {
    /// Transit time of a token from the engine to the benchmark, directly.
    pub token_direct: LatencySummary,
    /// Transit time of a token through the entry.
    pub token_entry: LatencySummary,
    /// Time to first token, directly.
    pub first_token_direct: LatencySummary,
    /// Time to first token through the entry.
    pub first_token_entry: LatencySummary,
    /// Latency of an idempotent service call, directly.
    pub call_direct: LatencySummary,
    /// Latency of an idempotent service call through the entry.
    pub call_entry: LatencySummary,
    /// Latency of a booking with an idempotency key through the entry.
    pub booking_entry: LatencySummary,
}

/// Measures both paths alternately.
pub async fn run_overhead(options: OverheadOptions) -> Result<OverheadReport, BenchError> {
    let client = BenchClient::new(&options.api_key);
    let run_id = unix_time_us();
    // Index 0 is the direct path, index 1 the path through the entry.
    let mut token = [LatencyHistogram::default(), LatencyHistogram::default()];
    let mut first = [LatencyHistogram::default(), LatencyHistogram::default()];
    let mut call = [LatencyHistogram::default(), LatencyHistogram::default()];
    let mut booking = LatencyHistogram::default();
    for round in 0..options.rounds {
        let direct = format!("http://{}/v1/generations", options.engine);
        let body = direct_generation_body(&options, run_id, round);
        measure_stream(&client, &direct, &body, &mut token[0], &mut first[0]).await?;
        let entry = format!("http://{}/v1/chat/completions", options.entry);
        let body = chat_body(&options.model, options.tokens);
        measure_stream(&client, &entry, &body, &mut token[1], &mut first[1]).await?;
        let direct = format!("http://{}/slots", options.upstream);
        measure_call(&client, "GET", &direct, "", &mut call[0]).await?;
        let entry = format!("http://{}/services/{}/slots", options.entry, options.service);
        measure_call(&client, "GET", &entry, "", &mut call[1]).await?;
        let entry = format!("http://{}/services/{}/bookings", options.entry, options.service);
        let key = format!("overhead-{run_id}-{round}");
        measure_call(&client, "POST", &entry, &key, &mut booking).await?;
    }
    Ok(OverheadReport {
        token_direct: token[0].summary(),
        token_entry: token[1].summary(),
        first_token_direct: first[0].summary(),
        first_token_entry: first[1].summary(),
        call_direct: call[0].summary(),
        call_entry: call[1].summary(),
        booking_entry: booking.summary(),
    })
}

fn direct_generation_body(options: &OverheadOptions, run_id: u64, round: u64) -> Value {
    json!({
        "generation": format!("bench-{run_id}-{round}"),
        "version": options.version,
        "workspace": "bench",
        "prompt": format!("length={}", options.tokens),
        "max_output_tokens": options.tokens,
        "detach_ms": DETACH_MS,
    })
}

async fn measure_stream(
    client: &BenchClient,
    url: &str,
    body: &Value,
    token_latency: &mut LatencyHistogram,
    first_token_latency: &mut LatencyHistogram,
) -> Result<(), BenchError> {
    let started = Instant::now();
    let mut events = client.open_stream(url, body).await?.map_err(|response| {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        BenchError::UnexpectedStatus(url.to_string(), response.status, text)
    })?;
    let mut first_token_received = false;
    while let Some(Some(event)) = events.next().await {
        let Some(sent_us) = parse_sent_us(&event.data) else { continue };
        if !first_token_received {
            first_token_received = true;
            first_token_latency.record(started.elapsed());
        }
        token_latency.record(Duration::from_micros(unix_time_us().saturating_sub(sent_us)));
    }
    Ok(())
}

/// Returns the send time that the engine put into a token.
fn parse_sent_us(data: &str) -> Option<u64> {
    let (_, rest) = data.split_once("sent_us=")?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

async fn measure_call(
    client: &BenchClient,
    method: &str,
    url: &str,
    key: &str,
    latency: &mut LatencyHistogram,
) -> Result<(), BenchError> {
    let body = json!({"member": key, "trainer": "bench", "slot": "bench"});
    let started = Instant::now();
    let response = client.send(method, url, key, &body).await?;
    latency.record(started.elapsed());
    if response.status == 200 {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    Err(BenchError::UnexpectedStatus(url.to_string(), response.status, text))
}
