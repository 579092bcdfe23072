//! Open-loop load on a running system.
//!
//! Requests start at their scheduled times whether or not earlier ones have
//! ended, and latencies count from the scheduled time, so that a slow system
//! cannot hide its slowness.

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

use crate::caller::{BenchError, Caller, chat};
use crate::latency::{Latency, Summary};

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entry that is asked for addresses first.
    pub entry: String,
    /// Send everything to that entry.
    pub pin: bool,
    /// API key of a workspace.
    pub api_key: String,
    /// Generation service.
    pub model: String,
    /// Plain service, for the share of bookings.
    pub service: String,
    /// Requests started in each second.
    pub rate_per_s: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Mean output length; lengths follow an exponential distribution.
    pub mean_tokens: f64,
    /// Share of requests that are bookings, from 0 to 1.
    pub bookings: f64,
    /// Bound on the first token of a request on time.
    pub first_token: Duration,
    /// Bound on each gap between tokens of a request on time.
    pub between_tokens: Duration,
    /// Seed of arrivals and lengths.
    pub seed: u64,
}

/// Result of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests started.
    pub started: u64,
    /// Generations delivered whole.
    pub whole: u64,
    /// Generations delivered whole and on time.
    pub on_time: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Tokens delivered in each second of the run.
    pub tokens_per_s: f64,
    /// Time to the first token.
    pub first_token: Summary,
    /// Time between tokens.
    pub between_tokens: Summary,
    /// Longest gap of each stream.
    pub longest_gap: Summary,
    /// Time of a booking.
    pub booking: Summary,
    /// Requests by outcome: `ok`, or status, verdict and code.
    pub outcomes: BTreeMap<String, u64>,
}

#[derive(Default)]
struct Collected {
    whole: u64,
    on_time: u64,
    tokens: u64,
    first_token: Latency,
    between_tokens: Latency,
    longest_gap: Latency,
    booking: Latency,
    outcomes: BTreeMap<String, u64>,
}

impl Collected {
    fn count(&mut self, outcome: impl Into<String>) {
        *self.outcomes.entry(outcome.into()).or_default() += 1;
    }
}

/// Runs the load and waits for all of its requests.
pub async fn run_load(options: LoadOptions) -> Result<LoadReport, BenchError> {
    let caller = Caller::new(&options.api_key);
    let entries = match options.pin {
        true => vec![options.entry.clone()],
        false => caller.entries(&options.entry).await?,
    };
    let options = Rc::new(options);
    let collected = Rc::new(RefCell::new(Collected::default()));
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let started_at = Instant::now();
    let mut scheduled = started_at;
    let mut requests = Vec::new();
    loop {
        let gap_s = -rng.random_range(f64::EPSILON..1.0_f64).ln() / options.rate_per_s;
        scheduled += Duration::from_secs_f64(gap_s);
        if scheduled >= started_at + options.duration {
            break;
        }
        sleep_until(scheduled).await;
        let entry = entries[rng.random_range(0..entries.len())].clone();
        let request = Request {
            caller: caller.clone(),
            options: options.clone(),
            collected: collected.clone(),
            entry,
            scheduled,
        };
        let length = -rng.random_range(f64::EPSILON..1.0_f64).ln() * options.mean_tokens;
        let is_booking = rng.random_bool(options.bookings);
        let number = requests.len();
        requests.push(actix_rt::spawn(async move {
            if is_booking {
                request.book(number).await;
            } else {
                request.generate(length as u64 + 1).await;
            }
        }));
    }
    let started = requests.len() as u64;
    for request in requests {
        // A task that panicked has printed why.
        let _ = request.await;
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let collected = collected.borrow();
    Ok(LoadReport {
        started,
        whole: collected.whole,
        on_time: collected.on_time,
        tokens: collected.tokens,
        tokens_per_s: collected.tokens as f64 / elapsed_s,
        first_token: collected.first_token.summary(),
        between_tokens: collected.between_tokens.summary(),
        longest_gap: collected.longest_gap.summary(),
        booking: collected.booking.summary(),
        outcomes: collected.outcomes.clone(),
    })
}

struct Request {
    caller: Caller,
    options: Rc<LoadOptions>,
    collected: Rc<RefCell<Collected>>,
    entry: String,
    scheduled: Instant,
}

impl Request {
    async fn generate(self, length: u64) {
        let url = format!("http://{}/v1/chat/completions", self.entry);
        let body = chat(&self.options.model, length);
        let opened = self.caller.open(&url, &body).await;
        let mut events = match opened {
            Ok(Ok(events)) => events,
            Ok(Err(answer)) => {
                let code = error_code(&answer.body);
                let outcome = format!("{} {} {code}", answer.status, answer.verdict);
                self.collected.borrow_mut().count(outcome);
                return;
            }
            Err(error) => {
                self.collected.borrow_mut().count(format!("lost: {error}"));
                return;
            }
        };
        let mut last = self.scheduled;
        let mut longest = Duration::ZERO;
        let mut first = None;
        let mut tokens = 0;
        let mut whole = false;
        while let Some(Some(event)) = events.next().await {
            let now = Instant::now();
            if event.data == "[DONE]" {
                whole = true;
            } else if event.data.contains("\"content\"") {
                tokens += 1;
                let gap = now - last;
                last = now;
                let mut collected = self.collected.borrow_mut();
                if first.is_none() {
                    first = Some(gap);
                    collected.first_token.record(gap);
                } else {
                    longest = longest.max(gap);
                    collected.between_tokens.record(gap);
                }
            }
        }
        let mut collected = self.collected.borrow_mut();
        collected.tokens += tokens;
        collected.longest_gap.record(longest);
        if !whole || tokens != length {
            collected.count("cut off");
            return;
        }
        collected.whole += 1;
        let on_time = first.is_some_and(|first| first <= self.options.first_token)
            && longest <= self.options.between_tokens;
        collected.on_time += u64::from(on_time);
        collected.count("ok");
    }

    async fn book(self, number: usize) {
        let url = format!("http://{}/services/{}/bookings", self.entry, self.options.service);
        let key = format!("bench-{}-{number}", self.options.seed);
        let body = json!({"member": number, "trainer": "bench", "slot": number});
        match self.caller.call("POST", &url, &key, &body).await {
            Ok(answer) if answer.status == 200 => {
                let elapsed = Instant::now() - self.scheduled;
                let mut collected = self.collected.borrow_mut();
                collected.booking.record(elapsed);
                collected.count("booked");
            }
            Ok(answer) => {
                let code = error_code(&answer.body);
                let outcome = format!("{} {} {code}", answer.status, answer.verdict);
                self.collected.borrow_mut().count(outcome);
            }
            Err(error) => self.collected.borrow_mut().count(format!("lost: {error}")),
        }
    }
}

fn error_code(body: &[u8]) -> String {
    let json: Value = serde_json::from_slice(body).unwrap_or_default();
    json["error"]["code"].as_str().unwrap_or_default().to_string()
}
