//! Stand-in for a plain service that counts the calls it executes.

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

/// Faults that can be injected.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before a call is executed.
    pub delay_ms: u64,
    /// Delay between the execution of a call and its response.
    pub answer_delay_ms: u64,
    /// The connection is closed after the call was executed, in the middle of the
    /// response.
    pub drop_answers: bool,
    /// Length of the padding in each response, in bytes.
    pub answer_bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    calls_by_key: BTreeMap<String, u64>,
    total: u64,
    faults: Faults,
}

/// Counts of the executed calls, and the injected faults.
#[derive(Clone, Debug, Default)]
pub struct CallCounter {
    state: Arc<Mutex<State>>,
}

/// Response to a call.
#[derive(Debug, Serialize)]
struct Response {
    service: &'static str,
    method: String,
    path: String,
    key: String,
    /// Number of executed calls with this key, including this one.
    run: u64,
    #[serde(skip_serializing_if = "String::is_empty")]
    padding: String,
}

impl CallCounter {
    /// Returns the number of executed calls by idempotency key; calls without a key
    /// are counted under the empty key.
    pub fn by_key(&self) -> BTreeMap<String, u64> {
        self.lock().calls_by_key.clone()
    }

    /// Returns the number of executed calls.
    pub fn total(&self) -> u64 {
        self.lock().total
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    fn count_call(&self, key: &str) -> u64 {
        let mut state = self.lock();
        state.total += 1;
        let run = state.calls_by_key.entry(key.to_string()).or_default();
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

/// Binds the HTTP server of the service and returns it with its address.
///
/// `GET /runs` returns the number of executed calls by key and `POST /faults` sets
/// the faults; any other request is executed as a call.
pub fn serve(address: SocketAddr, counter: CallCounter) -> std::io::Result<(Server, SocketAddr)> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(counter.clone()))
            .route("/runs", web::get().to(list_runs))
            .route("/faults", web::post().to(set_faults))
            .default_service(web::route().to(execute))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .bind(address)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((server.run(), bound))
}

async fn list_runs(counter: web::Data<CallCounter>) -> HttpResponse {
    HttpResponse::Ok().json(counter.by_key())
}

async fn set_faults(counter: web::Data<CallCounter>, faults: web::Json<Faults>) -> HttpResponse {
    counter.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn execute(http: HttpRequest, counter: web::Data<CallCounter>) -> HttpResponse {
    let faults = counter.lock().faults.clone();
    delay(faults.delay_ms).await;
    let key = http.headers().get(KEY_HEADER).and_then(|value| value.to_str().ok());
    let key = key.unwrap_or_default().to_string();
    let run = counter.count_call(&key);
    delay(faults.answer_delay_ms).await;
    let response = Response {
        service: "standin",
        method: http.method().to_string(),
        path: http.uri().to_string(),
        key,
        run,
        padding: "x".repeat(faults.answer_bytes),
    };
    if faults.drop_answers {
        let chunks = [
            Ok(Bytes::from_static(b"{\"service\":")),
            Err(std::io::Error::other("connection ended by a fault")),
        ];
        return HttpResponse::Ok().content_type("application/json").streaming(stream::iter(chunks));
    }
    HttpResponse::Ok().json(response)
}

/// Sleeps for `delay_ms`. A zero delay returns at once, because a zero sleep still
/// waits for the next timer tick.
async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}
