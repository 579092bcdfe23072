//! Export of spans to an OTLP collector and to the span file.

use std::sync::{Arc, Mutex};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use schema::TelemetrySettings;
use telemetry::Spans;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

type ReceivedRequests = Arc<Mutex<Vec<(String, web::Bytes)>>>;

async fn store_request(
    http: HttpRequest,
    body: web::Bytes,
    received: web::Data<ReceivedRequests>,
) -> HttpResponse {
    let path = http.path().to_string();
    received.lock().expect("no panic has poisoned the lock").push((path, body));
    HttpResponse::Ok().finish()
}

/// Starts an HTTP server that stores the requests sent to it, in place of an OTLP
/// collector.
fn start_collector() -> (ReceivedRequests, String) {
    let received = ReceivedRequests::default();
    let shared = received.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(shared.clone()))
            .default_service(web::route().to(store_request))
    })
    .workers(1)
    .disable_signals()
    .bind("127.0.0.1:0")
    .expect("a free port");
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    (received, format!("http://{address}"))
}

fn record_spans(settings: &TelemetrySettings) {
    let spans = Spans::start("entry/test", settings).expect("exporters start");
    let parent =
        spans.start_server_span("entry.chat", &format!("00-{TRACE_ID}-b7ad6b7169203331-01"));
    let child = spans.start_client_span("upstream.generation", &parent);
    child.set_attribute("engine", "engine-1");
    drop(child);
    drop(parent);
    spans.shutdown();
}

#[actix_web::test]
async fn spans_are_exported_to_the_otlp_collector_over_http() {
    let (received, otlp_endpoint) = start_collector();
    let settings = TelemetrySettings { otlp_endpoint, ..TelemetrySettings::default() };

    web::block(move || record_spans(&settings)).await.expect("the thread ends");

    let received = received.lock().expect("no panic has poisoned the lock");
    let (path, body) = received.first().expect("one export");
    let contains = |text: &[u8]| body.windows(text.len()).any(|window| window == text);
    assert_eq!(path, "/v1/traces");
    assert!(contains(b"entry.chat") && contains(b"upstream.generation") && contains(b"engine-1"));
}

#[test]
fn span_file_contains_one_line_per_span() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("spans.jsonl");
    let span_path = path.display().to_string();
    let settings = TelemetrySettings { span_path, ..TelemetrySettings::default() };

    record_spans(&settings);

    let text = std::fs::read_to_string(path).expect("the file exists");
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("one JSON line")).collect();
    let names: Vec<&str> = lines.iter().filter_map(|line| line["name"].as_str()).collect();
    assert_eq!(names, ["upstream.generation", "entry.chat"]);
    assert!(lines.iter().all(|line| line["trace_id"] == TRACE_ID));
    assert_eq!(lines[0]["parent_span_id"], lines[1]["span_id"]);
}
