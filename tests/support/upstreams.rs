//! Stand-ins of upstreams in a deployment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use schema::{AnnounceRequest, UpstreamKind};
use standin::announcer::Announcer;
use standin::engine::{Batch, BatchOptions, EngineOptions};
use standin::service::Runs;

use super::deployment::{DATA_CENTRES, Deployment, TOKEN};
use super::{at, eventually};

const ENGINE_PORT: u16 = 17_460;
const SERVICE_PORT: u16 = 17_470;

/// Engine stand-in.
pub struct Engine {
    pub name: String,
    pub batch: Batch,
    pub leaving: Arc<AtomicBool>,
    pub muted: Arc<AtomicBool>,
    pub(super) server: actix_web::dev::ServerHandle,
}

impl Engine {
    /// Stops the engine at once.
    pub async fn kill(&self) {
        self.muted.store(true, Ordering::Relaxed);
        self.server.stop(false).await;
    }
}

/// Plain service stand-in.
pub struct Service {
    pub runs: Runs,
    pub leaving: Arc<AtomicBool>,
    pub muted: Arc<AtomicBool>,
    pub(super) server: actix_web::dev::ServerHandle,
}

impl Service {
    /// Stops the service at once.
    pub async fn kill(&self) {
        self.muted.store(true, Ordering::Relaxed);
        self.server.stop(false).await;
    }
}

impl Deployment {
    /// Starts an engine that serves the example's generation services.
    pub async fn start_engine(&mut self, index: usize) {
        let batch = Batch::new(BatchOptions {
            cache_tokens: self.tune.cache_tokens,
            max_running: 64,
            step: self.tune.step,
            prefill_tokens: 2_000,
            stamp: false,
        });
        let announcer = self.announcer();
        let address = at(self.address, ENGINE_PORT + index as u16);
        let (server, address) =
            standin::engine::serve(address, batch.clone(), announcer.muted.clone())
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
            muted: announcer.muted.clone(),
            server: handle,
        };
        let epoch = rand::random();
        let current = move || options.announcement(address, epoch, &batch);
        actix_rt::spawn(announcer.run(current));
        self.engines.push(engine);
        self.wait_for_upstream(&format!("engine-{}", index + 1)).await;
    }

    /// Starts an upstream of the example's plain service.
    pub async fn start_service(&mut self, index: usize) {
        let runs = Runs::default();
        let address = at(self.address, SERVICE_PORT + index as u16);
        let (server, address) =
            standin::service::serve(address, runs.clone()).expect("a free address");
        let handle = server.handle();
        actix_rt::spawn(server);
        let announcer = self.announcer();
        let service = Service {
            runs,
            leaving: announcer.leaving.clone(),
            muted: announcer.muted.clone(),
            server: handle,
        };
        let upstream = format!("booking-{}", index + 1);
        let epoch = rand::random();
        let announced = upstream.clone();
        let current = move || AnnounceRequest {
            upstream: announced.clone(),
            kind: UpstreamKind::Plain.into(),
            address: address.to_string(),
            data_centre: DATA_CENTRES[index % 3].to_string(),
            epoch,
            serves: vec!["booking-app".to_string()],
            ..AnnounceRequest::default()
        };
        actix_rt::spawn(announcer.run(current));
        self.services.push(service);
        self.wait_for_upstream(&upstream).await;
    }

    fn announcer(&self) -> Announcer {
        let entries = (0..self.entries.len()).map(|i| self.entry_address(i).to_string());
        Announcer {
            entries: entries.collect(),
            token: TOKEN.to_string(),
            muted: Arc::default(),
            leaving: Arc::default(),
        }
    }

    /// Waits until every running entry knows of the upstreams started so far.
    async fn wait_for_upstream(&self, upstream: &str) {
        let count = self.engines.len() + self.services.len();
        eventually(&format!("{upstream} known at every entry"), || async {
            let running = self.entries.iter().filter(|entry| entry.is_some()).count();
            let mut known = 0;
            for (index, entry) in self.entries.iter().enumerate() {
                if entry.is_some() && self.known_upstreams(index).await >= count {
                    known += 1;
                }
            }
            known == running
        })
        .await;
    }
}
