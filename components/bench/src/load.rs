//! Open-loop load generator for a running deployment.
//!
//! Requests start at their scheduled times whether or not earlier ones have
//! ended, and latencies are measured from the scheduled time. This avoids
//! coordinated omission, which would hide the latency of a slow system.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

use crate::caller::{BenchClient, BenchError, chat_body};
use crate::latency::{LatencyHistogram, LatencySummary};

/// Options of a load test.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entry from which the addresses of the entries are fetched, as host:port.
    pub entry: String,
    /// Sends every request to `entry` instead of to all entries.
    pub pin_to_entry: bool,
    /// API key of a workspace.
    pub api_key: String,
    /// Generation service.
    pub model: String,
    /// Plain service that receives the bookings.
    pub service: String,
    /// Mean arrival rate; arrivals follow a Poisson process.
    pub rate_per_s: f64,
    /// Time during which requests are started.
    pub duration: Duration,
    /// Mean output length in tokens; lengths follow an exponential distribution.
    pub mean_tokens: f64,
    /// Fraction of requests that are bookings, from 0 to 1.
    pub booking_share: f64,
    /// Longest time to first token of a request that counts as on time.
    pub max_time_to_first_token: Duration,
    /// Longest gap between tokens of a request that counts as on time.
    pub max_time_between_tokens: Duration,
    /// Random seed of arrival times, output lengths and request types.
    pub seed: u64,
}

/// Result of a load test.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests started.
    pub started: u64,
    /// Generations whose output was received completely.
    pub whole: u64,
    /// Completed generations that met both latency limits.
    pub on_time: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received per second of the run.
    pub tokens_per_s: f64,
    /// Time to first token.
    pub first_token: LatencySummary,
    /// Time between tokens.
    pub between_tokens: LatencySummary,
    /// Longest gap between tokens of each stream.
    pub longest_gap: LatencySummary,
    /// Latency of successful bookings.
    pub booking: LatencySummary,
    /// Requests by outcome: `ok` or `booked`, or the reason of the failure, such
    /// as status, verdict and error code.
    pub outcomes: BTreeMap<String, u64>,
}

#[derive(Default)]
struct LoadStats {
    completed: u64,
    on_time: u64,
    tokens: u64,
    first_token: LatencyHistogram,
    between_tokens: LatencyHistogram,
    longest_gap: LatencyHistogram,
    booking: LatencyHistogram,
    outcomes: BTreeMap<String, u64>,
}

impl LoadStats {
    fn record_outcome(&mut self, outcome: impl Into<String>) {
        *self.outcomes.entry(outcome.into()).or_default() += 1;
    }
}

/// Starts requests for the configured duration and waits until all have ended.
pub async fn run_load(options: LoadOptions) -> Result<LoadReport, BenchError> {
    let client = BenchClient::new(&options.api_key);
    let entries = match options.pin_to_entry {
        true => vec![options.entry.clone()],
        false => client.list_entries(&options.entry).await?,
    };
    let options = Rc::new(options);
    let stats = Rc::new(RefCell::new(LoadStats::default()));
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let started_at = Instant::now();
    let mut scheduled = started_at;
    let mut tasks = Vec::new();
    loop {
        let gap_s = -rng.random_range(f64::EPSILON..1.0_f64).ln() / options.rate_per_s;
        scheduled += Duration::from_secs_f64(gap_s);
        if scheduled >= started_at + options.duration {
            break;
        }
        sleep_until(scheduled).await;
        let entry = entries[rng.random_range(0..entries.len())].clone();
        let request = Request {
            client: client.clone(),
            options: options.clone(),
            stats: stats.clone(),
            entry,
            scheduled,
        };
        let output_tokens = -rng.random_range(f64::EPSILON..1.0_f64).ln() * options.mean_tokens;
        let is_booking = rng.random_bool(options.booking_share);
        let number = tasks.len();
        tasks.push(actix_rt::spawn(async move {
            if is_booking {
                request.book(number).await;
            } else {
                request.generate(output_tokens as u64 + 1).await;
            }
        }));
    }
    let started = tasks.len() as u64;
    for task in tasks {
        // The message of a panicked task is already on standard error.
        let _ = task.await;
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let stats = stats.borrow();
    Ok(LoadReport {
        started,
        whole: stats.completed,
        on_time: stats.on_time,
        tokens: stats.tokens,
        tokens_per_s: stats.tokens as f64 / elapsed_s,
        first_token: stats.first_token.summary(),
        between_tokens: stats.between_tokens.summary(),
        longest_gap: stats.longest_gap.summary(),
        booking: stats.booking.summary(),
        outcomes: stats.outcomes.clone(),
    })
}

struct Request {
    client: BenchClient,
    options: Rc<LoadOptions>,
    stats: Rc<RefCell<LoadStats>>,
    entry: String,
    scheduled: Instant,
}

impl Request {
    async fn generate(self, output_tokens: u64) {
        let url = format!("http://{}/v1/chat/completions", self.entry);
        let body = chat_body(&self.options.model, output_tokens);
        let opened = self.client.open_stream(&url, &body).await;
        let mut events = match opened {
            Ok(Ok(events)) => events,
            Ok(Err(response)) => {
                let code = error_code(&response.body);
                let outcome = format!("{} {} {code}", response.status, response.verdict);
                self.stats.borrow_mut().record_outcome(outcome);
                return;
            }
            Err(error) => {
                self.stats.borrow_mut().record_outcome(format!("lost: {error}"));
                return;
            }
        };
        let mut last_token_at = self.scheduled;
        let mut longest_gap = Duration::ZERO;
        let mut time_to_first_token = None;
        let mut tokens = 0;
        let mut completed = false;
        while let Some(Some(event)) = events.next().await {
            let now = Instant::now();
            if event.data == "[DONE]" {
                completed = true;
            } else if event.data.contains("\"content\"") {
                tokens += 1;
                let gap = now - last_token_at;
                last_token_at = now;
                let mut stats = self.stats.borrow_mut();
                if time_to_first_token.is_none() {
                    time_to_first_token = Some(gap);
                    stats.first_token.record(gap);
                } else {
                    longest_gap = longest_gap.max(gap);
                    stats.between_tokens.record(gap);
                }
            }
        }
        let mut stats = self.stats.borrow_mut();
        stats.tokens += tokens;
        stats.longest_gap.record(longest_gap);
        if !completed || tokens != output_tokens {
            stats.record_outcome("cut off");
            return;
        }
        stats.completed += 1;
        let on_time = time_to_first_token
            .is_some_and(|elapsed| elapsed <= self.options.max_time_to_first_token)
            && longest_gap <= self.options.max_time_between_tokens;
        stats.on_time += u64::from(on_time);
        stats.record_outcome("ok");
    }

    async fn book(self, number: usize) {
        let url = format!("http://{}/services/{}/bookings", self.entry, self.options.service);
        let key = format!("bench-{}-{number}", self.options.seed);
        let body = json!({"member": number, "trainer": "bench", "slot": number});
        match self.client.send("POST", &url, &key, &body).await {
            Ok(response) if response.status == 200 => {
                let elapsed = Instant::now() - self.scheduled;
                let mut stats = self.stats.borrow_mut();
                stats.booking.record(elapsed);
                stats.record_outcome("booked");
            }
            Ok(response) => {
                let code = error_code(&response.body);
                let outcome = format!("{} {} {code}", response.status, response.verdict);
                self.stats.borrow_mut().record_outcome(outcome);
            }
            Err(error) => self.stats.borrow_mut().record_outcome(format!("lost: {error}")),
        }
    }
}

fn error_code(body: &[u8]) -> String {
    let json: Value = serde_json::from_slice(body).unwrap_or_default();
    json["error"]["code"].as_str().unwrap_or_default().to_string()
}
