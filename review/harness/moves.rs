//! An engine leaves while streams run there that may run once at most, and the gateways
//! move them to other engines.
//!
//! TWICE: the engine that leaves is one that does not drop a request when its connection
//! closes. It stops a run when it is told so with a call of `/v1/kv-move` with `Last`.
//!
//! MIXED: the engine that leaves sends a second copy of a response, late.

use std::collections::HashMap;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::announcer::Announcer;
use crate::client::{self, Streamed};
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::world::{DRAIN_MS, World};

/// What differs between the two cases.
#[derive(Clone, Copy)]
struct Setup {
    engines: u8,
    gateways: u8,
    /// Streams at an engine, in the mean; each holds its prompt of 3,000 tokens.
    streams_per_engine: u32,
    /// Short streams before, which are answers as well.
    queries: u32,
    /// Whether the engine that leaves goes on with a run whose connection is closed.
    outlives_connection: bool,
    /// Whether the engine that leaves sends late copies of responses.
    sends_late_copies: bool,
    /// Whether the engine leaves.
    leaves: bool,
}

/// `garble`, `how = "extra late"`: part of the answers of an engine.
const GARBLE_PART: f64 = 0.03;
const PROMPT_TOKENS: u64 = 3000;
const EVENTS: u64 = 234;
const QUERY_EVENTS: u64 = 3;
const EVENT_INTERVAL: Duration = Duration::from_millis(45);
const PREFILL: Duration = Duration::from_millis(215);
const TOKEN_BYTES: f64 = 163840.0;
const LINK_BITS_PER_S: f64 = 24000.0e6;
const TOKENS_PER_EVENT: u64 = 4;
/// The rule: the engine before still works on the request this long after.
const OVERLAP_MS: u64 = 400;
/// How much longer an engine serves after `DrainMs`.
const LINGER_MS: u64 = 1500;

#[derive(Default)]
struct Run {
    events: u64,
    copied_events: u64,
    stop: bool,
    ended: bool,
}

struct Engine {
    announcer: Arc<Announcer>,
    address: SocketAddr,
    runs: Mutex<HashMap<String, Arc<Mutex<Run>>>>,
    /// Copies kept here, by handle: request and events.
    copies: Mutex<HashMap<String, (String, u64)>>,
    link: Mutex<()>,
    engines: Arc<Mutex<HashMap<String, Arc<Engine>>>>,
    breaks: Arc<AtomicU32>,
    outlives_connection: bool,
    sends_late_copies: bool,
    answers: AtomicU32,
    late_copies: AtomicU32,
    record: Record,
}

impl Engine {
    fn handle(self: &Arc<Self>, connection: &mut Connection, message: &Message) -> Result<()> {
        self.answers.fetch_add(1, Ordering::SeqCst);
        if let Some(copy) = connection.late_copy.take() {
            self.record.line(&format!(
                "{}: a late copy of an earlier response goes before the response to {}",
                self.announcer.id, message.start
            ));
            connection.send(&copy)?;
        }
        match (message.method(), message.path()) {
            ("POST", "/v1/kv-move") => self.copy(connection, message),
            ("DELETE", path) if path.starts_with("/v1/kv-handle/") => {
                let handle = path.rsplit('/').next().unwrap_or_default().to_string();
                for engine in self.engines.lock().unwrap().values() {
                    engine.copies.lock().unwrap().remove(&handle);
                }
                connection.respond("200 OK", "", "{}")
            }
            _ => self.run(connection, message),
        }
    }

    /// Copies the memory of a run to another engine; with `Last`, stops it first.
    fn copy(&self, connection: &mut Connection, message: &Message) -> Result<()> {
        let body = message.text();
        let id = http::json_text(&body, "Identifier").unwrap_or_default().to_string();
        let to = http::json_text(&body, "To").unwrap_or_default().to_string();
        let last = body.contains("\"Last\":true");
        let (name, stop) = (&self.announcer.id, if last { ", Last" } else { "" });
        self.record.line(&format!("{name}: kv-move of {id} to {to}{stop}"));
        // Echoes the id of the call, if it has one.
        let echo = message.header("X-Request-Id");
        let echo = echo.map_or(String::new(), |id| format!("X-Request-Id: {id}\r\n"));
        let run = self.runs.lock().unwrap().get(&id).cloned();
        let Some(run) = run.filter(|run| !run.lock().unwrap().ended) else {
            return connection.respond("404 Not Found", &echo, "{}");
        };
        let Some(target) = self.engines.lock().unwrap().get(&to).cloned() else {
            return connection.respond("503 Service Unavailable", &echo, "{}");
        };
        if last {
            run.lock().unwrap().stop = true;
            while !run.lock().unwrap().ended {
                sleep(Duration::from_millis(5));
            }
        }
        let link = self.link.lock().unwrap();
        let (events, copied) = {
            let run = run.lock().unwrap();
            (run.events, run.copied_events)
        };
        let prompt = if copied == 0 { PROMPT_TOKENS } else { 0 };
        let tokens = (events - copied) * TOKENS_PER_EVENT + prompt;
        sleep(Duration::from_secs_f64(tokens as f64 * TOKEN_BYTES * 8.0 / LINK_BITS_PER_S));
        drop(link);
        run.lock().unwrap().copied_events = events.max(1);
        let handle = format!("h-{id}");
        target.copies.lock().unwrap().insert(handle.clone(), (id.clone(), events));
        self.record.line(&format!("{name}: memory of {id} copied up to event {events}"));
        let body = format!(r#"{{"Handle":"{handle}","made":{events}}}"#);
        let answer = http::response("200 OK", &echo, &body);
        if !last && self.may_copy_late() {
            connection.late_copy = Some(answer.clone());
        }
        connection.send(&answer)
    }

    /// Returns whether another answer may come twice within the part that the page allows.
    fn may_copy_late(&self) -> bool {
        let answers = f64::from(self.answers.load(Ordering::SeqCst));
        let copies = self.late_copies.load(Ordering::SeqCst) + 1;
        let allowed = self.sends_late_copies && f64::from(copies) <= answers * GARBLE_PART;
        if allowed {
            self.late_copies.store(copies, Ordering::SeqCst);
        }
        allowed
    }

    fn run(self: &Arc<Self>, connection: &mut Connection, message: &Message) -> Result<()> {
        let header = |name: &str| message.header(name).unwrap_or_default().to_string();
        let (id, expected) = (header("X-Request-Id"), header("X-Expect-Instance"));
        let name = &self.announcer.id;
        let head = format!("X-Request-Id: {id}\r\n");
        let not_run = format!("{head}X-Not-Executed: 1\r\n");
        if !expected.is_empty() && expected != *name {
            return connection.respond("421 Misdirected Request", &not_run, "");
        }
        let mut from = header("Last-Event-Id").parse::<u64>().unwrap_or(0);
        let kv_from = header("Kv-From");
        // The request whose memory the run goes on from.
        let mut memory = id.clone();
        let events = if message.path().starts_with("/query/") { QUERY_EVENTS } else { EVENTS };
        if let Some(handle) = kv_from.rsplit('/').next().filter(|handle| !handle.is_empty()) {
            let copy = self.copies.lock().unwrap().remove(handle);
            let Some((owner, copied)) = copy else {
                self.record.line(&format!("{name}: no copy {handle} for {id}"));
                return connection.respond("503 Service Unavailable", &not_run, "");
            };
            self.record.line(&format!(
                "{name}: goes on with {id} after event {from}, from {handle}, which has {copied}"
            ));
            if owner != id {
                self.breaks.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!("MIXED: {id} goes on from the memory of {owner}"));
            }
            memory = owner;
            self.watch_other_engines(&id);
        } else {
            from = 0;
            self.record.line(&format!("{name}: begins {id}"));
            sleep(PREFILL);
        }
        let run = Arc::new(Mutex::new(Run { events: from, ..Run::default() }));
        self.runs.lock().unwrap().insert(id.clone(), run.clone());
        let mut connected = connection
            .send(&format!(
                "HTTP/1.1 200 OK\r\n{head}X-Server-Stamp: s-{id}\r\nX-Weights-Versions: 1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            ))
            .is_ok();
        for number in from + 1..=events {
            sleep(EVENT_INTERVAL);
            if run.lock().unwrap().stop {
                break;
            }
            let sent = connection.send_chunk(&format!("id: {number}\ndata: {memory}-{number}\n\n"));
            if connected && sent.is_err() {
                connected = false;
                if !self.outlives_connection {
                    run.lock().unwrap().ended = true;
                    self.record.line(&format!("{name}: connection of {id} is closed; run dropped"));
                    return sent;
                }
                self.record.line(&format!("{name}: connection of {id} is closed; the run goes on"));
            }
            run.lock().unwrap().events = number;
        }
        let stopped = run.lock().unwrap().stop;
        run.lock().unwrap().ended = true;
        let how = if stopped { "stopped as ordered" } else { "made all events" };
        self.record.line(&format!("{name}: run of {id} ends: {how}"));
        if stopped {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        connection.send("0\r\n\r\n")
    }

    /// Checks, after the time that the rule allows, that no other engine still works on
    /// the request.
    fn watch_other_engines(self: &Arc<Self>, id: &str) {
        let (engine, id) = (self.clone(), id.to_string());
        spawn(move || {
            sleep(Duration::from_millis(OVERLAP_MS));
            let engines: Vec<Arc<Engine>> =
                engine.engines.lock().unwrap().values().cloned().collect();
            for other in engines.iter().filter(|other| other.address != engine.address) {
                let run = other.runs.lock().unwrap().get(&id).cloned();
                if run.is_some_and(|run| !run.lock().unwrap().ended) {
                    engine.breaks.fetch_add(1, Ordering::SeqCst);
                    engine.record.line(&format!(
                        "TWICE: {} still works on {id}, {OVERLAP_MS} ms after {} went on with it",
                        other.announcer.id, engine.announcer.id
                    ));
                }
            }
        });
    }
}

/// TWICE: the engine that leaves does not drop requests when their connections close.
pub fn run_twice(record: &Record, trouble: bool) -> std::result::Result<u32, String> {
    let setup = Setup {
        engines: 4,
        gateways: 3,
        streams_per_engine: 6,
        queries: 0,
        outlives_connection: true,
        sends_late_copies: false,
        leaves: trouble,
    };
    run(record, setup)
}

/// MIXED: the engine that leaves sends late copies of responses.
pub fn run_mixed(record: &Record, trouble: bool) -> std::result::Result<u32, String> {
    let setup = Setup {
        engines: 2,
        gateways: 1,
        streams_per_engine: 4,
        queries: 420,
        outlives_connection: false,
        sends_late_copies: trouble,
        leaves: true,
    };
    run(record, setup)
}

fn run(record: &Record, setup: Setup) -> std::result::Result<u32, String> {
    let world = World::start(record, 3, setup.gateways)?;
    let engines = Arc::new(Mutex::new(HashMap::new()));
    let breaks = Arc::new(AtomicU32::new(0));
    for number in 0..setup.engines {
        let address = world.engine(number);
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let id = format!("i-{number}");
        let place = usize::from(number);
        let announcer = Announcer::new((&id, "llm", 24), address, world.controls(), place, record);
        let engine = Arc::new(Engine {
            announcer,
            address,
            runs: Mutex::default(),
            copies: Mutex::default(),
            link: Mutex::default(),
            engines: engines.clone(),
            breaks: breaks.clone(),
            outlives_connection: setup.outlives_connection && number == 0,
            sends_late_copies: setup.sends_late_copies && number == 0,
            answers: AtomicU32::new(0),
            late_copies: AtomicU32::new(0),
            record: record.clone(),
        });
        engines.lock().unwrap().insert(address.to_string(), engine.clone());
        http::serve(
            listener,
            Arc::new(move |connection, message| engine.handle(connection, message)),
        );
    }
    world.publish(&client::configuration())?;
    world.wait_until_ready(0..setup.gateways)?;
    for engine in engines.lock().unwrap().values() {
        engine.announcer.start();
    }
    sleep(Duration::from_secs(4));
    let mut queries = Vec::new();
    for number in 0..setup.queries {
        sleep(Duration::from_millis(15));
        let gateway = world.gateway((number % u32::from(setup.gateways)) as u8);
        let id = format!("{:016x}", 0x9000 + number);
        let record = record.clone();
        queries.push(spawn(move || {
            record.line(&format!("client sends {id}"));
            let got = client::stream(gateway, "/query/2f", &id, (600, 12), 6000);
            record.line(&format!("client of {id}: {got:?}"));
        }));
    }
    queries.into_iter().for_each(|query| drop(query.join()));
    let begin = Instant::now();
    let streams: Vec<_> = (0..setup.streams_per_engine * u32::from(setup.engines))
        .map(|number| {
            sleep(Duration::from_millis(80));
            let (record, id) = (record.clone(), format!("{:016x}", 0x1000 + number));
            let gateway = world.gateway((number % u32::from(setup.gateways)) as u8);
            spawn(move || {
                record.line(&format!("client sends {id}"));
                let tokens = (PROMPT_TOKENS, EVENTS * TOKENS_PER_EVENT);
                let got = client::stream(gateway, "/dossier/2f", &id, tokens, 39000);
                record.line(&format!("client of {id}: {got:?}"));
                got
            })
        })
        .collect();
    sleep(Duration::from_secs(4).saturating_sub(begin.elapsed()));
    if setup.leaves {
        let engine = engines.lock().unwrap()[&world.engine(0).to_string()].clone();
        let is_running = |run: &&Arc<Mutex<Run>>| !run.lock().unwrap().ended;
        let running = engine.runs.lock().unwrap().values().filter(is_running).count();
        record.say(&format!("i-0 leaves; {running} streams run there"));
        engine.announcer.stop();
        engine.announcer.send("draining");
        sleep(Duration::from_millis(DRAIN_MS + LINGER_MS));
        engine.announcer.withdraw();
        let count = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
        let (answers, copies) = (count(&engine.answers), count(&engine.late_copies));
        record.line(&format!("i-0: {answers} answers, {copies} of them twice"));
    }
    let results: Vec<Streamed> =
        streams.into_iter().map(|stream| stream.join().unwrap_or(Streamed::Status(0))).collect();
    let complete = results.iter().filter(|got| **got == Streamed::Complete(EVENTS)).count();
    let foreign = results.iter().filter(|got| matches!(got, Streamed::Foreign(_))).count();
    record.say(&format!(
        "{complete} of {} streams are complete, {foreign} hold events of another request",
        results.len()
    ));
    let undisturbed = !setup.sends_late_copies && !(setup.leaves && setup.outlives_connection);
    if undisturbed && complete < results.len() {
        return Err("a stream failed without the disruption".to_string());
    }
    Ok(breaks.load(Ordering::SeqCst))
}
