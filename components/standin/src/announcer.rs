//! Announces an upstream to the entries, as `docs/INTERFACES.md` specifies.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use awc::Client;
use schema::{AnnounceReply, AnnounceRequest};
use tokio::time::sleep;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const ANNOUNCEMENTS_PER_LEASE: u32 = 4;

/// Announces one upstream and renews its lease until the task is dropped.
#[derive(Clone, Debug)]
pub struct Announcer {
    /// Entries that receive the first announcement and those after a failure, as
    /// host:port.
    pub entries: Vec<String>,
    /// Upstream token that the entries accept.
    pub token: String,
    /// No announcements are sent while this is set.
    pub announcements_paused: Arc<AtomicBool>,
    /// Announcements mark the upstream as leaving while this is set.
    pub leaving: Arc<AtomicBool>,
}

impl Announcer {
    /// Sends the announcement that `current` returns, again before each lease
    /// expires, forever. After the first reply, announcements go to the owner that
    /// the reply names.
    pub async fn run(self, current: impl Fn() -> AnnounceRequest) {
        let client = Client::builder().disable_redirects().timeout(REQUEST_TIMEOUT).finish();
        let mut target_entry = String::new();
        let mut next_entry = 0;
        loop {
            if self.announcements_paused.load(Ordering::Relaxed) {
                sleep(RETRY_DELAY).await;
                continue;
            }
            if target_entry.is_empty() {
                target_entry = self.entries[next_entry % self.entries.len()].clone();
                next_entry += 1;
            }
            let leaving = self.leaving.load(Ordering::Relaxed);
            let announce = AnnounceRequest { leaving, ..current() };
            match self.announce(&client, &target_entry, &announce).await {
                Some(reply) => {
                    target_entry = reply.owner_http_address;
                    let lease = Duration::from_millis(reply.lease_ms);
                    self.sleep_unless_leaving_changes(lease / ANNOUNCEMENTS_PER_LEASE, leaving)
                        .await;
                }
                None => {
                    target_entry.clear();
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sleeps for `duration`, or until the leaving flag differs from `leaving`, so
    /// that a change of the flag is announced at once.
    async fn sleep_unless_leaving_changes(&self, duration: Duration, leaving: bool) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let mut waited = Duration::ZERO;
        while waited < duration && self.leaving.load(Ordering::Relaxed) == leaving {
            sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
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
