//! Stand-in of a model engine that runs streams, and moves them as the pages say. As that of the
//! second review, but it may listen behind a link of the case, and counts the commands about runs
//! that it does not have.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::stage::{Error, Exchange, Heart, Instance, Record, Request, Server, Then, ms, unix_ms};

/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// How an engine behaves; the default is a sound engine.
#[derive(Clone, Debug)]
pub struct Habits {
    /// Time from a request to its first event, with which it starts to run.
    pub first_event: Duration,
    /// The same for a request that goes on from a copy.
    pub first_event_from_copy: Duration,
    /// Time that a copy takes: it is queued behind other moves on both links.
    pub copy: Duration,
    /// The same for the rest that is copied after a run was stopped.
    pub last_copy: Duration,
    /// It drops a request whose connection closes, as most engines do.
    pub drops_closed: bool,
    /// Events of a whole stream.
    pub events: u64,
    /// Event after which it breaks off its answer, although it works on.
    pub breaks_off_after: Option<u64>,
    /// Its streams have neither length nor chunks, and end with their connection.
    pub is_unframed: bool,
    /// Its answer to the first command to stop a run is lost; the copy goes on.
    pub loses_first_stop: bool,
    /// Time from the stop of a run to the end of its stream.
    pub closes_after: Duration,
}

impl Default for Habits {
    fn default() -> Self {
        Habits {
            first_event: ms(80),
            first_event_from_copy: ms(60),
            copy: ms(40),
            last_copy: ms(20),
            drops_closed: true,
            events: 100,
            breaks_off_after: None,
            is_unframed: false,
            loses_first_stop: false,
            closes_after: Duration::ZERO,
        }
    }
}

/// Work of one engine on one request.
#[derive(Clone, Debug)]
pub struct Span {
    pub engine: String,
    pub request: String,
    pub from_copy: bool,
    /// When the request arrived, and its work began and ended, in milliseconds.
    pub arrived: f64,
    pub began: Option<f64>,
    pub ended: Option<f64>,
    pub how: &'static str,
}

#[derive(Clone, Debug)]
struct Run {
    key: (String, String),
    made: u64,
    stop: bool,
    span: usize,
}

impl State {
    /// Returns the newest run of a request at an engine.
    fn run_of(&mut self, key: &(String, String)) -> Option<&mut Run> {
        self.runs.iter_mut().rev().find(|run| run.key == *key)
    }

    fn run_at(&mut self, span: usize) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.span == span)
    }
}

#[derive(Default)]
struct State {
    /// Runs of all engines, the newest last.
    runs: Vec<Run>,
    /// Runs that were stopped and whose memory their engine keeps: events made.
    kept: HashMap<(String, String), u64>,
    /// Unused copies by source address and handle, with the engine that holds them.
    copies: HashMap<String, (SocketAddr, String)>,
    /// Source addresses and handles that were used: a handle can be used once.
    used: Vec<String>,
    moving: Vec<(String, String)>,
    /// Runs of which the answer to a stop was lost.
    lost: HashSet<(String, String)>,
    spans: Vec<Span>,
    next_handle: u64,
    /// Commands about runs that an engine does not have, by engine.
    not_found: HashMap<String, u64>,
}

/// All engines of a case, which know each other's copies.
#[derive(Clone, Default)]
pub struct Engines(Arc<Mutex<State>>);

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub server: Server,
    pub heart: Heart,
}

impl Engines {
    pub fn spans(&self) -> Vec<Span> {
        self.0.lock().unwrap().spans.clone()
    }

    /// Returns how many commands about runs that it does not have an engine got.
    pub fn not_found(&self, engine: &str) -> u64 {
        self.0.lock().unwrap().not_found.get(engine).copied().unwrap_or(0)
    }

    /// Starts an engine of the service `llm`, which announces `address` at once, and listens at
    /// `listen`.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        &self,
        id: &str,
        address: SocketAddr,
        listen: SocketAddr,
        zone: &str,
        daemons: Vec<SocketAddr>,
        habits: Habits,
        record: &Record,
    ) -> Result<Engine, Error> {
        let (engines, name, log) = (self.clone(), id.to_string(), record.clone());
        let server = Server::listen(listen, move |exchange| {
            let request = exchange.request.clone();
            match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/v1/kv-move") => {
                    engines.move_run(&name, address, &habits, exchange, &log)
                }
                ("DELETE", path) if path.starts_with("/v1/kv-handle/") => {
                    let handle = format!("{address}/{}", &path["/v1/kv-handle/".len()..]);
                    engines.0.lock().unwrap().copies.remove(&handle);
                    exchange.answer("200 OK", &[], b"{}")?;
                    Ok(Then::Keep)
                }
                ("GET", "/health") => {
                    exchange.answer("200 OK", &[("X-Instance-Id", &name)], b"")?;
                    Ok(Then::Keep)
                }
                _ => engines.run(&name, address, &habits, exchange, &log),
            }
        })?;
        let instance = Instance {
            id: id.to_string(),
            service: "llm".to_string(),
            address,
            zone: zone.to_string(),
            slots: 24,
            born_ms: unix_ms(),
        };
        let heart = Heart::start(instance, daemons);
        Ok(Engine { id: id.to_string(), address, server, heart })
    }

    fn refuse(exchange: &mut Exchange, id: &str, why: &str) -> io::Result<Then> {
        let headers = [("X-Request-Id", id), ("X-Not-Executed", "1")];
        exchange.answer("503 Service Unavailable", &headers, why.as_bytes())?;
        Ok(Then::Keep)
    }

    fn run(
        &self,
        engine: &str,
        address: SocketAddr,
        habits: &Habits,
        exchange: &mut Exchange,
        record: &Record,
    ) -> io::Result<Then> {
        let Request { path, .. } = exchange.request.clone();
        let id = exchange.request.get("X-Request-Id").unwrap_or_default().to_string();
        let last: u64 =
            exchange.request.get("Last-Event-Id").and_then(|t| t.parse().ok()).unwrap_or(0);
        let from = exchange.request.get("Kv-From").map(str::to_string);
        record.line(&format!(
            "{engine}: request {id} {path} Kv-From={from:?} Last-Event-Id={last} arrives"
        ));
        if exchange.request.get("X-Expect-Instance") != Some(engine) {
            let headers = [("X-Instance-Id", engine), ("X-Request-Id", id.as_str())];
            exchange.answer("421 Misdirected Request", &headers, b"")?;
            return Ok(Then::Keep);
        }
        let key = (engine.to_string(), id.clone());
        let span = {
            let mut state = self.0.lock().unwrap();
            if let Some(from) = &from {
                // A handle can be used once: at the holder of the copy or at a source that stopped.
                let at_holder = state
                    .copies
                    .get(from)
                    .is_some_and(|(holder, r)| *holder == address && *r == id);
                let at_source =
                    from.starts_with(&format!("{address}/")) && state.kept.contains_key(&key);
                if state.used.contains(from) || !at_holder && !at_source {
                    drop(state);
                    record.line(&format!("{engine}: no copy {from}, {id} is not run"));
                    return Self::refuse(exchange, &id, "no copy");
                }
                state.used.push(from.clone());
                state.copies.remove(from);
                state.kept.remove(&key);
            }
            state.spans.push(Span {
                engine: engine.to_string(),
                request: id.clone(),
                from_copy: from.is_some(),
                arrived: record.now_ms(),
                began: None,
                ended: None,
                how: "",
            });
            state.spans.len() - 1
        };
        let wait = if from.is_some() { habits.first_event_from_copy } else { habits.first_event };
        thread::sleep(wait);
        {
            let mut state = self.0.lock().unwrap();
            state.runs.push(Run { key: key.clone(), made: last, stop: false, span });
            state.spans[span].began = Some(record.now_ms());
        }
        record.line(&format!("{engine}: {id} starts to run after event {last}"));
        let stamp = format!("stamp.{engine}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", stamp.as_str())];
        exchange.is_unframed = habits.is_unframed;
        let mut connected = exchange.begin_stream(&headers).is_ok();
        let mut event = last;
        let how = loop {
            if event >= habits.events {
                break "complete";
            }
            event += 1;
            let data = format!("id: {event}\ndata: piece {event}\n\n");
            if connected && exchange.chunk(data.as_bytes()).is_err() {
                connected = false;
            }
            if habits.breaks_off_after == Some(event) {
                record
                    .line(&format!("{engine}: breaks off its answer to {id} after event {event}"));
                let _ = exchange.stream.shutdown(std::net::Shutdown::Both);
                connected = false;
            }
            if !connected && habits.drops_closed {
                break "dropped";
            }
            let is_stopped = {
                let mut state = self.0.lock().unwrap();
                state.run_at(span).is_none_or(|run| {
                    run.made = event;
                    run.stop
                })
            };
            if is_stopped {
                break "stopped";
            }
            thread::sleep(EVENT_INTERVAL);
        };
        {
            let mut state = self.0.lock().unwrap();
            state.runs.retain(|run| run.span != span);
            state.spans[span].ended = Some(record.now_ms());
            state.spans[span].how = how;
            if how == "stopped" {
                state.kept.insert(key, event);
            }
        }
        record.line(&format!(
            "{engine}: {id} ends at event {event}: {how}, its caller is {}",
            if connected { "there" } else { "gone" }
        ));
        if how == "complete" && connected && !habits.is_unframed {
            exchange.stream_end()?;
            return Ok(Then::Keep);
        }
        if how == "stopped" {
            thread::sleep(habits.closes_after);
            record.line(&format!("{engine}: closes the stream of {id}"));
        }
        // A stopped stream is closed without its end.
        Ok(Then::Close)
    }

    fn move_run(
        &self,
        engine: &str,
        address: SocketAddr,
        habits: &Habits,
        exchange: &mut Exchange,
        record: &Record,
    ) -> io::Result<Then> {
        let body = String::from_utf8_lossy(&exchange.request.body).into_owned();
        let id = json_text(&body, "Identifier");
        let to = json_text(&body, "To");
        let last = body.contains("\"Last\":true");
        record.line(&format!("{engine}: kv-move of {id} to {to}, Last={last}"));
        let key = (engine.to_string(), id.clone());
        let Ok(to) = to.parse::<SocketAddr>() else {
            exchange.answer("400 Bad Request", &[], b"{}")?;
            return Ok(Then::Keep);
        };
        let stopping;
        {
            let mut state = self.0.lock().unwrap();
            let is_running = state.run_of(&key).is_some();
            let is_kept = state.kept.contains_key(&key);
            if !is_running && !is_kept {
                *state.not_found.entry(engine.to_string()).or_default() += 1;
                drop(state);
                record.line(&format!("{engine}: no such run, 404"));
                exchange.answer("404 Not Found", &[], b"{}")?;
                return Ok(Then::Keep);
            }
            if state.moving.contains(&key) {
                drop(state);
                record.line(&format!("{engine}: a call is in progress, 409"));
                exchange.answer("409 Conflict", &[], b"{}")?;
                return Ok(Then::Keep);
            }
            state.moving.push(key.clone());
            stopping = state.run_of(&key).filter(|_| last).map(|run| {
                run.stop = true;
                run.span
            });
        }
        // The run stops first.
        while let Some(span) = stopping
            && self.0.lock().unwrap().run_at(span).is_some()
        {
            thread::sleep(ms(2));
        }
        if last && habits.loses_first_stop && self.0.lock().unwrap().lost.insert(key.clone()) {
            record.line(&format!("{engine}: the answer to this kv-move is lost"));
            let (engines, time) = (self.clone(), habits.last_copy);
            thread::spawn(move || {
                thread::sleep(time);
                engines.0.lock().unwrap().moving.retain(|moving| *moving != key);
            });
            return Ok(Then::Close);
        }
        thread::sleep(if last { habits.last_copy } else { habits.copy });
        let (handle, made) = {
            let mut state = self.0.lock().unwrap();
            state.moving.retain(|moving| *moving != key);
            state.next_handle += 1;
            let handle = format!("h{}", state.next_handle);
            let made = state.run_of(&key).map(|run| run.made);
            let made = made.or(state.kept.get(&key).copied()).unwrap_or(0);
            state.copies.insert(format!("{address}/{handle}"), (to, id.clone()));
            (handle, made)
        };
        record.line(&format!("{engine}: {id} is copied to {to} as {handle}, made {made}"));
        let answer = format!(r#"{{"Handle":"{handle}","made":{made}}}"#);
        exchange.answer("200 OK", &[("Content-Type", "application/json")], answer.as_bytes())?;
        Ok(Then::Keep)
    }
}

impl Exchange {
    /// Ends a stream in order.
    pub fn stream_end(&mut self) -> io::Result<()> {
        use std::io::Write;
        self.stream.write_all(b"0\r\n\r\n")
    }
}

fn json_text(body: &str, name: &str) -> String {
    let start = body.find(&format!("\"{name}\":\"")).map(|at| at + name.len() + 4);
    let rest = start.map(|at| &body[at..]).unwrap_or_default();
    rest.split('"').next().unwrap_or_default().to_string()
}

/// Configuration with one streaming route to the engines, as the small deployments have it. A
/// route whose streams may be resumed has two attempts.
pub fn configuration(resumable: bool) -> String {
    let text = r#"{"Version":1,"Routes":[{"Name":"draft","Host":"review.example","PathPrefix":"/draft/","Kind":"streaming","TimeoutMs":39000,"TargetLatencyMs":1800,"Priority":1,"Service":"llm","MaxAttempts":1,"AllowAnonymous":false,"Sticky":true,"ResumeStreams":false,"TargetGapMs":180}],"Services":[{"Name":"llm","HealthPath":"/health","MaxConnections":252,"Protocol":"h1","Tls":false,"Engine":{"Slots":24,"KvCacheTokens":34240,"KvTokenBytes":163840,"LinkMbps":24000.0,"Moves":true,"Backups":true,"Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"one","ApiKeys":["key-one"]}]}"#;
    if !resumable {
        return text.to_string();
    }
    let text = text.replace(r#""ResumeStreams":false"#, r#""ResumeStreams":true"#);
    text.replace(r#""MaxAttempts":1"#, r#""MaxAttempts":2"#)
}

/// Request of a client for a stream.
pub fn stream_request(id: &str) -> Request {
    Request::new("POST", "/draft/x")
        .header("X-Request-Id", id)
        .header("X-Model", "m")
        .header("X-Token-Counts", "1460,400")
        .header("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
        .header("X-Request-Deadline", "39000")
        .header("X-Api-Key", "key-one")
        .body(b"prompt".to_vec())
}
