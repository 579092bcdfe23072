//! HTTP server of the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures::stream::{self, Stream};
use schema::{AnnounceRequest, UpstreamKind};
use serde::{Deserialize, Serialize};

use super::batch::{Batch, Faults, ReadResult, StartGeneration};

const EVENT_STREAM: &str = "text/event-stream";
const WORKSPACE_HEADER: &str = "x-shallottray-workspace";

/// Identity under which the engine announces itself.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the upstream.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Model versions and adapters that the engine serves.
    pub serves: Vec<String>,
}

impl EngineOptions {
    /// Returns the announcement with the current load.
    pub fn announcement(&self, address: SocketAddr, epoch: u64, batch: &Batch) -> AnnounceRequest {
        AnnounceRequest {
            upstream: self.name.clone(),
            kind: UpstreamKind::Engine.into(),
            address: address.to_string(),
            data_centre: self.data_centre.clone(),
            epoch,
            serves: self.serves.clone(),
            load: Some(batch.load()),
            leaving: false,
        }
    }
}

/// Event of an output stream.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Event {
    Token { index: u64, text: String },
    End { reason: &'static str, output_tokens: u64 },
}

/// Binds the HTTP server of the engine and returns it with its address.
pub fn serve(
    address: SocketAddr,
    batch: Batch,
    announcements_paused: Arc<AtomicBool>,
) -> std::io::Result<(Server, SocketAddr)> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(batch.clone()))
            .app_data(web::Data::new(announcements_paused.clone()))
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .route("/v1/generations", web::post().to(start))
            .route("/v1/generations/{id}/events", web::get().to(resume))
            .route("/v1/generations/{id}", web::delete().to(cancel))
            .route("/faults", web::post().to(set_faults))
            .route("/counters", web::get().to(counters))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(1)
    .bind(address)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((server.run(), bound))
}

async fn start(batch: web::Data<Batch>, body: web::Json<StartGeneration>) -> HttpResponse {
    if batch.faults().refuse_starts {
        return HttpResponse::ServiceUnavailable().body("refused by a fault\n");
    }
    let start = body.into_inner();
    let (id, workspace) = (start.generation.clone(), start.workspace.clone());
    batch.start(start);
    open_stream(&batch, id, &workspace, 0)
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u64,
}

async fn resume(
    http: HttpRequest,
    batch: web::Data<Batch>,
    id: web::Path<String>,
    query: web::Query<ResumeQuery>,
) -> HttpResponse {
    open_stream(&batch, id.into_inner(), workspace(&http), query.from)
}

async fn cancel(http: HttpRequest, batch: web::Data<Batch>, id: web::Path<String>) -> HttpResponse {
    if batch.cancel(&id, workspace(&http)) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::NotFound().body("no such generation\n")
    }
}

async fn set_faults(
    batch: web::Data<Batch>,
    announcements_paused: web::Data<Arc<AtomicBool>>,
    faults: web::Json<Faults>,
) -> HttpResponse {
    announcements_paused.store(faults.mute, Ordering::Relaxed);
    batch.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn counters(batch: web::Data<Batch>) -> HttpResponse {
    HttpResponse::Ok().json(batch.counters())
}

fn workspace(http: &HttpRequest) -> &str {
    let value = http.headers().get(WORKSPACE_HEADER).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Reader of an output stream; detaches when its connection ends.
struct Reader {
    batch: Batch,
    id: String,
    index: u64,
    /// Tokens until an injected fault closes the connection; `None` without one.
    tokens_left: Option<u64>,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.batch.detach(&self.id);
    }
}

fn open_stream(batch: &Batch, id: String, workspace: &str, from: u64) -> HttpResponse {
    if !batch.attach(&id, workspace) {
        return HttpResponse::NotFound().body("no such generation\n");
    }
    let tokens_left = batch.faults().drop_after_tokens;
    let reader = Reader { batch: batch.clone(), id, index: from, tokens_left, ended: false };
    HttpResponse::Ok().content_type(EVENT_STREAM).streaming(event_stream(reader))
}

fn event_stream(reader: Reader) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    stream::unfold(Some(reader), |reader| async move {
        let mut reader = reader?;
        if reader.ended {
            return None;
        }
        loop {
            if reader.tokens_left == Some(0) {
                let error = std::io::Error::other("connection ended by a fault");
                return Some((Err(error), None));
            }
            let event = match reader.batch.read(&reader.id, reader.index) {
                ReadResult::Token(index, text) => {
                    reader.index += 1;
                    reader.tokens_left = reader.tokens_left.map(|left| left - 1);
                    Event::Token { index, text }
                }
                ReadResult::End(reason, output_tokens) => {
                    reader.ended = true;
                    Event::End { reason, output_tokens }
                }
                ReadResult::Pending => {
                    reader.batch.wait_for_step().await;
                    continue;
                }
                ReadResult::NotFound => return None,
            };
            let json = serde_json::to_string(&event).unwrap_or_default();
            return Some((Ok(Bytes::from(format!("data: {json}\n\n"))), Some(reader)));
        }
    })
}
