//! Stand-in of a plain service that counts what it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures::stream;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

const KEY_HEADER: &str = "idempotency-key";

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time before a call runs.
    pub delay_ms: u64,
    /// Time after a call ran and before its answer.
    pub answer_delay_ms: u64,
    /// The connection ends after the call ran, in the middle of its answer.
    pub drop_answers: bool,
    /// Size that answers are padded to.
    pub answer_bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u64>,
    total: u64,
    faults: Faults,
}

/// Calls that the service ran.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    state: Arc<Mutex<State>>,
}

/// Answer of one call.
#[derive(Debug, Serialize)]
struct Answer {
    service: &'static str,
    method: String,
    path: String,
    key: String,
    /// How often a call with this key has run, this one included.
    run: u64,
    #[serde(skip_serializing_if = "String::is_empty")]
    padding: String,
}

impl Runs {
    /// Returns how often calls with each key ran.
    pub fn by_key(&self) -> BTreeMap<String, u64> {
        self.lock().runs.clone()
    }

    /// Returns how many calls ran.
    pub fn total(&self) -> u64 {
        self.lock().total
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    fn count(&self, key: &str) -> u64 {
        let mut state = self.lock();
        state.total += 1;
        let run = state.runs.entry(key.to_string()).or_default();
        *run += 1;
        *run
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        match self.state.lock() {
            Ok(state) => state,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

/// Serves the service's interface: any call runs, `GET /runs` tells what ran.
pub fn serve(address: SocketAddr, runs: Runs) -> std::io::Result<(Server, SocketAddr)> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(runs.clone()))
            .route("/runs", web::get().to(list_runs))
            .route("/faults", web::post().to(set_faults))
            .default_service(web::route().to(run))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .bind(address)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((server.run(), bound))
}

async fn list_runs(runs: web::Data<Runs>) -> HttpResponse {
    HttpResponse::Ok().json(runs.by_key())
}

async fn set_faults(runs: web::Data<Runs>, faults: web::Json<Faults>) -> HttpResponse {
    runs.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn run(http: HttpRequest, runs: web::Data<Runs>) -> HttpResponse {
    let faults = runs.lock().faults.clone();
    pause(faults.delay_ms).await;
    let key = http.headers().get(KEY_HEADER).and_then(|value| value.to_str().ok());
    let key = key.unwrap_or_default().to_string();
    let run = runs.count(&key);
    pause(faults.answer_delay_ms).await;
    let answer = Answer {
        service: "standin",
        method: http.method().to_string(),
        path: http.uri().to_string(),
        key,
        run,
        padding: "x".repeat(faults.answer_bytes),
    };
    if faults.drop_answers {
        let parts = [
            Ok(Bytes::from_static(b"{\"service\":")),
            Err(std::io::Error::other("connection ended by a fault")),
        ];
        return HttpResponse::Ok().content_type("application/json").streaming(stream::iter(parts));
    }
    HttpResponse::Ok().json(answer)
}

/// Sleeps unless there is no need to, which would still wait for a timer tick.
async fn pause(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}
