//! Announces an upstream to the entries, as the interface asks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use awc::Client;
use schema::{AnnounceReply, AnnounceRequest};
use tokio::time::sleep;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const RENEWALS_PER_LEASE: u32 = 4;

/// Announces one upstream until it is stopped.
#[derive(Clone, Debug)]
pub struct Announcer {
    /// Entries to start with, as host:port.
    pub entries: Vec<String>,
    /// Token that the entries know.
    pub token: String,
    /// No announcement is made while this is set.
    pub muted: Arc<AtomicBool>,
    /// Each announcement says that the upstream is leaving while this is set.
    pub leaving: Arc<AtomicBool>,
}

impl Announcer {
    /// Announces what `current` returns, over and over.
    pub async fn run(self, current: impl Fn() -> AnnounceRequest) {
        let client = Client::builder().disable_redirects().timeout(REQUEST_TIMEOUT).finish();
        let mut target = String::new();
        let mut next_entry = 0;
        loop {
            if self.muted.load(Ordering::Relaxed) {
                sleep(RETRY_DELAY).await;
                continue;
            }
            if target.is_empty() {
                target = self.entries[next_entry % self.entries.len()].clone();
                next_entry += 1;
            }
            let leaving = self.leaving.load(Ordering::Relaxed);
            let announce = AnnounceRequest { leaving, ..current() };
            match self.announce(&client, &target, &announce).await {
                Some(reply) => {
                    target = reply.owner_http_address;
                    let lease = Duration::from_millis(reply.lease_ms);
                    self.pause(lease / RENEWALS_PER_LEASE, leaving).await;
                }
                None => {
                    target.clear();
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits, but not past the moment at which leaving starts.
    async fn pause(&self, pause: Duration, leaving: bool) {
        const STEP: Duration = Duration::from_millis(20);
        let mut waited = Duration::ZERO;
        while waited < pause && self.leaving.load(Ordering::Relaxed) == leaving {
            sleep(STEP).await;
            waited += STEP;
        }
    }

    async fn announce(
        &self,
        client: &Client,
        entry: &str,
        announce: &AnnounceRequest,
    ) -> Option<AnnounceReply> {
        let request = client
            .post(format!("http://{entry}/v1/upstreams"))
            .insert_header(("authorization", format!("Bearer {}", self.token)));
        let mut response = match request.send_json(announce).await {
            Ok(response) => response,
            Err(error) => {
                log::debug!(entry, error = error.to_string().as_str(); "announcement failed");
                return None;
            }
        };
        if !response.status().is_success() {
            let status = response.status().as_u16();
            log::debug!(entry, status; "announcement refused");
            return None;
        }
        response.json().await.ok()
    }
}
