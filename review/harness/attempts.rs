//! BUDGET: half of the engines spoil 2 in 100 of their answers; requests for streams
//! that may be resumed run on more engines than the `MaxAttempts` of their route.

use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Result};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::announcer::Announcer;
use crate::client::{self, Streamed};
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::world::World;

const ENGINES: u8 = 18;
const GATEWAYS: u8 = 3;
/// `garble`: share of the servers that spoil answers, and part of their answers.
const GARBLE_SHARE: f64 = 0.5;
const GARBLE_PART: f64 = 0.02;
const REQUESTS: u32 = 7200;
const CLIENTS: u32 = 40;
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
const EVENTS: u64 = 3;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const PREFILL: Duration = Duration::from_millis(30);
/// `MaxAttempts` of the route.
const MAX_ATTEMPTS: usize = 2;
/// The rule: more than three requests run on more engines.
const ALLOWED_REQUESTS: u32 = 3;

/// What the engines did with one request.
#[derive(Default)]
struct Runs {
    engines: Vec<String>,
    spoiled: u32,
}

struct Engine {
    announcer: Arc<Announcer>,
    /// Whether it is among those that spoil answers.
    garbles: bool,
    answers: AtomicU32,
    spoiled: AtomicU32,
    runs: Arc<Mutex<BTreeMap<String, Runs>>>,
}

impl Engine {
    fn handle(&self, connection: &mut Connection, message: &Message) -> Result<()> {
        let header = |name: &str| message.header(name).unwrap_or_default().to_string();
        let (id, expected) = (header("X-Request-Id"), header("X-Expect-Instance"));
        let name = &self.announcer.id;
        let head = format!("X-Request-Id: {id}\r\n");
        if expected != *name {
            let headers = format!("{head}X-Not-Executed: 1\r\n");
            return connection.respond("421 Misdirected Request", &headers, "");
        }
        sleep(PREFILL);
        let spoiled_before = {
            let mut runs = self.runs.lock().unwrap();
            let runs = runs.entry(id.clone()).or_default();
            runs.engines.push(name.clone());
            let before = runs.spoiled;
            if before < 2 && self.may_spoil(before) {
                runs.spoiled += 1;
                Some(before)
            } else {
                None
            }
        };
        if spoiled_before == Some(0) {
            // Bytes that are not a response.
            connection.send("7f3a91c2 garbled\r\n\r\n")?;
            return Err(ErrorKind::ConnectionAborted.into());
        }
        connection.send(&format!(
            "HTTP/1.1 200 OK\r\n{head}X-Server-Stamp: s-{id}\r\nX-Weights-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ))?;
        let from = header("Last-Event-Id").parse::<u64>().unwrap_or(0);
        for number in from + 1..=EVENTS {
            sleep(EVENT_INTERVAL);
            connection.send_chunk(&format!("id: {number}\ndata: {id}-{number}\n\n"))?;
            if spoiled_before == Some(1) {
                // A truncated response.
                return Err(ErrorKind::ConnectionAborted.into());
            }
        }
        connection.send("0\r\n\r\n")
    }

    /// Counts an answer; returns whether it may be spoiled within the part of the
    /// answers that the page allows. An engine spoils a request's first answer only if
    /// it may spoil another one after it.
    fn may_spoil(&self, spoiled_before: u32) -> bool {
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let spoiled = self.spoiled.load(Ordering::SeqCst);
        let needed = spoiled + 2 - spoiled_before.min(1);
        let allowed = self.garbles && f64::from(needed) <= GARBLE_PART * f64::from(answers);
        if allowed {
            self.spoiled.store(spoiled + 1, Ordering::SeqCst);
        }
        allowed
    }
}

pub fn run(record: &Record, trouble: bool) -> std::result::Result<u32, String> {
    let world = World::start(record, 3, GATEWAYS)?;
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let garbling = (f64::from(ENGINES) * GARBLE_SHARE) as u8;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let address = world.engine(number);
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let id = format!("i-{number}");
        let place = usize::from(number);
        let engine = Arc::new(Engine {
            announcer: Announcer::new((&id, "llm", 24), address, world.controls(), place, record),
            garbles: trouble && number < garbling,
            answers: AtomicU32::new(0),
            spoiled: AtomicU32::new(0),
            runs: runs.clone(),
        });
        engines.push(engine.clone());
        http::serve(
            listener,
            Arc::new(move |connection, message| engine.handle(connection, message)),
        );
    }
    world.publish(&client::configuration())?;
    world.wait_until_ready(0..GATEWAYS)?;
    engines.iter().for_each(|engine| engine.announcer.start());
    sleep(Duration::from_secs(4));
    let world = Arc::new(world);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let world = world.clone();
            spawn(move || {
                let mut results = HashMap::new();
                for turn in 0..REQUESTS / CLIENTS {
                    let number = turn * CLIENTS + client;
                    let id = format!("{:016x}", 0x100000 + number);
                    let gateway = world.gateway((number % u32::from(GATEWAYS)) as u8);
                    let sent = world.record.now();
                    let got = client::stream(gateway, "/query/2f", &id, (1200, 12), 6000);
                    results.insert(id, (sent, got));
                    sleep(REQUEST_INTERVAL);
                }
                results
            })
        })
        .collect();
    let mut results = HashMap::new();
    for client in clients {
        results.extend(client.join().map_err(|_| "a client failed")?);
    }
    let mut more = 0;
    for (id, runs) in runs.lock().unwrap().iter() {
        let Some((sent, got)) = results.get(id) else { continue };
        let too_many = runs.engines.len() > MAX_ATTEMPTS;
        more += u32::from(too_many);
        let note = if too_many { "; BUDGET: more engines than MaxAttempts" } else { "" };
        let (engines, spoiled) = (runs.engines.join(" "), runs.spoiled);
        record.line(&format!(
            "request {id}, sent at {sent:.3}: run by {engines}; {spoiled} answers spoiled; client: {got:?}{note}"
        ));
    }
    for engine in &engines {
        let count = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
        let (answers, spoiled) = (count(&engine.answers), count(&engine.spoiled));
        record.line(&format!("{}: {answers} answers, {spoiled} spoiled", engine.announcer.id));
    }
    let complete = results.values().filter(|(_, got)| *got == Streamed::Complete(EVENTS)).count();
    record.say(&format!("{complete} of {} streams are complete", results.len()));
    record.say(&format!("{more} requests ran on more than {MAX_ATTEMPTS} engines"));
    if !trouble && complete < results.len() {
        return Err("a stream failed without the disruption".to_string());
    }
    Ok(if more > ALLOWED_REQUESTS { more } else { 0 })
}
