//! Requests of the stand-in clients.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{self, Connection};
use crate::world::HOST;

pub const API_KEY: &str = "xd9dnn2ctnfzs989anu6";

/// What a client got for a request for a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Streamed {
    /// All events, up to the end of the stream.
    Complete(u64),
    /// The stream was cut after this event.
    Cut(u64),
    /// An event is missing, or comes twice.
    Disordered(u64),
    /// The stream holds this event of another request.
    Foreign(String),
    /// Another status than 200; 0 for a closed connection.
    Status(u16),
}

/// Sends a request for a stream on a new connection and follows it to its end.
pub fn stream(
    gateway: SocketAddr,
    path: &str,
    id: &str,
    tokens: (u64, u64),
    deadline_ms: u64,
) -> Streamed {
    let headers = format!(
        "X-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: {},{}\r\n\
         X-Prompt-Prefix: 5c1e07a2:79,{id}:{}\r\nX-Request-Deadline: {deadline_ms}\r\n\
         X-Api-Key: {API_KEY}\r\n",
        tokens.0,
        tokens.1,
        tokens.0 - 79
    );
    let request = http::request("POST", path, HOST, &headers, "prompt");
    let deadline = Duration::from_millis(deadline_ms);
    let Ok(mut connection) = Connection::open(gateway, Duration::from_secs(1)) else {
        return Streamed::Status(0);
    };
    let _ = connection.stream.set_read_timeout(Some(deadline));
    if connection.send(&request).is_err() {
        return Streamed::Status(0);
    }
    let Ok(head) = connection.read_head() else { return Streamed::Status(0) };
    if head.status() != 200 {
        return Streamed::Status(head.status());
    }
    let mut text = String::new();
    let mut last = 0;
    loop {
        match connection.read_chunk() {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return Streamed::Complete(last),
            Err(_) => return Streamed::Cut(last),
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let number = event.lines().find_map(|line| line.strip_prefix("id:"));
            let number = number.and_then(|number| number.trim().parse().ok()).unwrap_or(0);
            if number != last + 1 {
                return Streamed::Disordered(number);
            }
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            let data = data.unwrap_or_default();
            if !data.starts_with(id) {
                return Streamed::Foreign(data.to_string());
            }
            last = number;
        }
    }
}

/// Returns the configuration of a small deployment: routes for streams that may be
/// resumed or not, and for look-ups.
pub fn configuration() -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout: u32,
                 attempts: u32,
                 resume: bool,
                 service: &str| {
        format!(
            concat!(
                r#"{{"Name":"{}","Host":"{}","PathPrefix":"{}","Kind":"{}","TimeoutMs":{},"#,
                r#""TargetLatencyMs":1500,"Priority":1,"Service":"{}","MaxAttempts":{},"#,
                r#""AllowAnonymous":false,"Sticky":true,"ResumeStreams":{},"TargetGapMs":180}}"#
            ),
            name, HOST, prefix, kind, timeout, service, attempts, resume
        )
    };
    let routes = [
        route("r-dossier", "/dossier/", "streaming", 39000, 1, false, "llm"),
        route("r-query", "/query/", "streaming", 6000, 2, true, "llm"),
        route("r-lookup", "/lookup/", "safe", 1200, 2, false, "desk"),
        route("r-reserve", "/reserve/", "unsafe", 1200, 1, false, "desk"),
    ];
    format!(
        concat!(
            r#"{{"Version":7,"Routes":[{}],"Services":["#,
            r#"{{"Name":"llm","HealthPath":"/health","MaxConnections":252,"Protocol":"h1","Tls":false,"#,
            r#""Engine":{{"Slots":24,"KvCacheTokens":34240,"KvTokenBytes":163840,"LinkMbps":24000.0,"#,
            r#""Moves":true,"Backups":true,"Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"#,
            r#""HandleS":5.0,"Models":[{{"Name":"m"}}]}}}},"#,
            r#"{{"Name":"desk","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}}],"#,
            r#""Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"#,
            r#""IdleTimeoutMs":15000}},"Tenants":[{{"Name":"huka270","ApiKeys":["{}"],"Priority":1}}]}}"#
        ),
        routes.join(","),
        API_KEY
    )
}
