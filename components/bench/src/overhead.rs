//! Time that an entry adds over direct access to the stand-ins.
//!
//! Each token carries the time at which the engine sent it, so that the time
//! on its way is measured alike on both paths; paths take turns.

use std::time::Duration;

use futures::StreamExt as _;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::caller::{BenchError, Caller, chat, epoch_us};
use crate::latency::{Latency, Summary};

/// Detach time of generations that are started directly.
const DETACH_MS: u64 = 5_000;

/// Options of an overhead run.
#[derive(Clone, Debug)]
pub struct OverheadOptions {
    /// Entry.
    pub entry: String,
    /// Engine stand-in, started with `--stamp`.
    pub engine: String,
    /// Service stand-in.
    pub upstream: String,
    /// API key of a workspace.
    pub api_key: String,
    /// Generation service.
    pub model: String,
    /// Version that the engine serves.
    pub version: String,
    /// Plain service.
    pub service: String,
    /// Streams, and calls, on each path.
    pub rounds: u64,
    /// Tokens of each stream.
    pub tokens: u64,
}

/// Result of an overhead run.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadReport {
    /// Time of a token from engine to caller, directly.
    pub token_direct: Summary,
    /// The same through the entry.
    pub token_entry: Summary,
    /// Time from request to first token, directly.
    pub first_token_direct: Summary,
    /// The same through the entry.
    pub first_token_entry: Summary,
    /// Time of a repeatable call, directly.
    pub call_direct: Summary,
    /// The same through the entry.
    pub call_entry: Summary,
    /// Time of a booking with a key through the entry.
    pub booking_entry: Summary,
}

/// Measures both paths in turn.
pub async fn run_overhead(options: OverheadOptions) -> Result<OverheadReport, BenchError> {
    let caller = Caller::new(&options.api_key);
    let run = epoch_us();
    let mut token = [Latency::default(), Latency::default()];
    let mut first = [Latency::default(), Latency::default()];
    let mut call = [Latency::default(), Latency::default()];
    let mut booking = Latency::default();
    for round in 0..options.rounds {
        let direct = format!("http://{}/v1/generations", options.engine);
        let body = direct_start(&options, run, round);
        stream(&caller, &direct, &body, &mut token[0], &mut first[0]).await?;
        let entry = format!("http://{}/v1/chat/completions", options.entry);
        let body = chat(&options.model, options.tokens);
        stream(&caller, &entry, &body, &mut token[1], &mut first[1]).await?;
        let direct = format!("http://{}/slots", options.upstream);
        timed(&caller, "GET", &direct, "", &mut call[0]).await?;
        let entry = format!("http://{}/services/{}/slots", options.entry, options.service);
        timed(&caller, "GET", &entry, "", &mut call[1]).await?;
        let entry = format!("http://{}/services/{}/bookings", options.entry, options.service);
        let key = format!("overhead-{run}-{round}");
        timed(&caller, "POST", &entry, &key, &mut booking).await?;
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

fn direct_start(options: &OverheadOptions, run: u64, round: u64) -> Value {
    json!({
        "generation": format!("bench-{run}-{round}"),
        "version": options.version,
        "workspace": "bench",
        "prompt": format!("length={}", options.tokens),
        "max_output_tokens": options.tokens,
        "detach_ms": DETACH_MS,
    })
}

async fn stream(
    caller: &Caller,
    url: &str,
    body: &Value,
    tokens: &mut Latency,
    first: &mut Latency,
) -> Result<(), BenchError> {
    let started = Instant::now();
    let mut events = caller.open(url, body).await?.map_err(|answer| {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        BenchError::Refused(url.to_string(), answer.status, text)
    })?;
    let mut seen = false;
    while let Some(Some(event)) = events.next().await {
        let Some(sent_us) = sent_us(&event.data) else { continue };
        if !seen {
            seen = true;
            first.record(started.elapsed());
        }
        tokens.record(Duration::from_micros(epoch_us().saturating_sub(sent_us)));
    }
    Ok(())
}

/// Returns the stamp that the engine put into a token.
fn sent_us(data: &str) -> Option<u64> {
    let (_, rest) = data.split_once("sent_us=")?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

async fn timed(
    caller: &Caller,
    method: &str,
    url: &str,
    key: &str,
    latency: &mut Latency,
) -> Result<(), BenchError> {
    let body = json!({"member": key, "trainer": "bench", "slot": "bench"});
    let started = Instant::now();
    let answer = caller.call(method, url, key, &body).await?;
    latency.record(started.elapsed());
    if answer.status == 200 {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Err(BenchError::Refused(url.to_string(), answer.status, text))
}
