//! How a stand-in engine registers: heartbeats, drain, withdrawal.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::world::HEARTBEAT_MS;

/// A heartbeat is acknowledged if the reply comes within this time.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);

pub struct Announcer {
    pub id: String,
    service: &'static str,
    address: SocketAddr,
    slots: u32,
    born_ms: u64,
    sequence: AtomicU64,
    controls: Vec<SocketAddr>,
    /// Control process that acknowledged last; the next one is called if it fails.
    current: AtomicUsize,
    stopped: AtomicBool,
    record: Record,
}

impl Announcer {
    pub fn new(
        (id, service, slots): (&str, &'static str, u32),
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        first: usize,
        record: &Record,
    ) -> Arc<Announcer> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Arc::new(Announcer {
            id: id.to_string(),
            service,
            address,
            slots,
            born_ms: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            current: AtomicUsize::new(first % controls.len()),
            controls,
            stopped: AtomicBool::new(false),
            record: record.clone(),
        })
    }

    /// Sends heartbeats until [`Announcer::stop`].
    pub fn start(self: &Arc<Self>) {
        let announcer = self.clone();
        spawn(move || {
            while !announcer.stopped.load(Ordering::SeqCst) {
                announcer.send("ready");
                sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns the control process that is called first.
    pub fn current(&self) -> usize {
        self.current.load(Ordering::SeqCst)
    }

    /// Makes the next control process the one that is called first.
    pub fn move_on(&self) -> usize {
        let next = (self.current() + 1) % self.controls.len();
        self.current.store(next, Ordering::SeqCst);
        next
    }

    /// Returns the next heartbeat as a request.
    pub fn heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            concat!(
                r#"{{"Service":"{}","Address":"{}","Zone":"hsinchu-a","Version":"v1","Slots":{},"#,
                r#""State":"{}","ColdRemainingMs":0,"Sequence":{},"born":{}}}"#
            ),
            self.service, self.address, self.slots, state, sequence, self.born_ms
        );
        let path = format!("/v1/instances/{}", self.id);
        http::request("PUT", &path, "control", "Content-Type: application/json\r\n", &body)
    }

    /// Sends a heartbeat to one control process after another until one acknowledges it.
    pub fn send(&self, state: &str) -> bool {
        let request = self.heartbeat(state);
        self.send_request(&request, state)
    }

    /// Sends the withdrawal in the same way.
    pub fn withdraw(&self) -> bool {
        let path = format!("/v1/instances/{}", self.id);
        self.send_request(&http::request("DELETE", &path, "control", "", ""), "withdrawal")
    }

    fn send_request(&self, request: &str, what: &str) -> bool {
        for _ in &self.controls {
            let number = self.current();
            let reply = http::call(self.controls[number], request, ACKNOWLEDGE_TIMEOUT);
            if reply.is_ok_and(|reply| reply.status() / 100 == 2) {
                if what != "ready" {
                    self.record.say(&format!("{}: {what} acknowledged by core-{number}", self.id));
                }
                return true;
            }
            self.move_on();
        }
        false
    }
}
