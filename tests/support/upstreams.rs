//! Upstream stand-ins of a deployment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use schema::{AnnounceRequest, UpstreamKind};
use standin::announcer::Announcer;
use standin::engine::{Batch, BatchOptions, EngineOptions};
use standin::service::CallCounter;

use super::deployment::{DATA_CENTRES, Deployment, UPSTREAM_TOKEN};
use super::{eventually, socket_address};

const ENGINE_PORT: u16 = 17_460;
const SERVICE_PORT: u16 = 17_470;

/// Running engine stand-in.
pub struct Engine {
    pub name: String,
    pub batch: Batch,
    pub leaving: Arc<AtomicBool>,
    pub announcements_paused: Arc<AtomicBool>,
    pub(super) server: actix_web::dev::ServerHandle,
}

impl Engine {
    /// Stops announcements and closes all connections without a drain.
    pub async fn kill(&self) {
        self.announcements_paused.store(true, Ordering::Relaxed);
        self.server.stop(false).await;
    }
}

/// Running stand-in of a plain service.
pub struct Service {
    pub call_counter: CallCounter,
    pub leaving: Arc<AtomicBool>,
    pub announcements_paused: Arc<AtomicBool>,
    pub(super) server: actix_web::dev::ServerHandle,
}

impl Service {
    /// Stops announcements and closes all connections without a drain.
    pub async fn kill(&self) {
        self.announcements_paused.store(true, Ordering::Relaxed);
        self.server.stop(false).await;
    }
}

impl Deployment {
    /// Starts an engine for the generation services of the example set and waits
    /// until every running entry knows it.
    pub async fn start_engine(&mut self, index: usize) {
        let batch = Batch::new(BatchOptions {
            cache_tokens: self.options.engine_cache_tokens,
            max_running: 64,
            step_duration: self.options.engine_step,
            prefill_tokens_per_step: 2_000,
            include_send_time: false,
        });
        let announcer = self.announcer();
        let address = socket_address(self.address, ENGINE_PORT + index as u16);
        let (server, address) =
            standin::engine::serve(address, batch.clone(), announcer.announcements_paused.clone())
                .expect("a free address");
        let handle = server.handle();
        actix_rt::spawn(server);
        actix_rt::spawn(batch.clone().run());
        let options = EngineOptions {
            name: format!("engine-{}", index + 1),
            data_centre: DATA_CENTRES[index % 3].to_string(),
            serves: vec!["coach-7".to_string(), "coach-thai".to_string()],
        };
        let engine = Engine {
            name: options.name.clone(),
            batch: batch.clone(),
            leaving: announcer.leaving.clone(),
            announcements_paused: announcer.announcements_paused.clone(),
            server: handle,
        };
        let epoch = rand::random();
        let announcement = move || options.announcement(address, epoch, &batch);
        actix_rt::spawn(announcer.run(announcement));
        self.engines.push(engine);
        self.wait_for_upstream(&format!("engine-{}", index + 1)).await;
    }

    /// Starts an upstream of the plain service of the example set and waits until
    /// every running entry knows it.
    pub async fn start_service(&mut self, index: usize) {
        let call_counter = CallCounter::default();
        let address = socket_address(self.address, SERVICE_PORT + index as u16);
        let (server, address) =
            standin::service::serve(address, call_counter.clone()).expect("a free address");
        let handle = server.handle();
        actix_rt::spawn(server);
        let announcer = self.announcer();
        let service = Service {
            call_counter,
            leaving: announcer.leaving.clone(),
            announcements_paused: announcer.announcements_paused.clone(),
            server: handle,
        };
        let upstream = format!("booking-{}", index + 1);
        let epoch = rand::random();
        let announced_name = upstream.clone();
        let announcement = move || AnnounceRequest {
            upstream: announced_name.clone(),
            kind: UpstreamKind::Plain.into(),
            address: address.to_string(),
            data_centre: DATA_CENTRES[index % 3].to_string(),
            epoch,
            serves: vec!["booking-app".to_string()],
            ..AnnounceRequest::default()
        };
        actix_rt::spawn(announcer.run(announcement));
        self.services.push(service);
        self.wait_for_upstream(&upstream).await;
    }

    fn announcer(&self) -> Announcer {
        let entries = (0..self.entries.len()).map(|i| self.entry_address(i).to_string());
        Announcer {
            entries: entries.collect(),
            token: UPSTREAM_TOKEN.to_string(),
            announcements_paused: Arc::default(),
            leaving: Arc::default(),
        }
    }

    /// Waits until every running entry knows as many upstreams as were started.
    /// `upstream` only names the new one in the panic message.
    async fn wait_for_upstream(&self, upstream: &str) {
        let count = self.engines.len() + self.services.len();
        eventually(&format!("every entry knows {upstream}"), || async {
            let running = self.entries.iter().filter(|entry| entry.is_some()).count();
            let mut up_to_date = 0;
            for (index, entry) in self.entries.iter().enumerate() {
                if entry.is_some() && self.known_upstreams(index).await >= count {
                    up_to_date += 1;
                }
            }
            up_to_date == running
        })
        .await;
    }
}
