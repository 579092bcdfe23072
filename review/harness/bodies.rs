//! LOST: clients send large bodies in chunks, within the limits of the configuration, and
//! the gateway uses more memory than its machine has.
//!
//! The stand-in platform kills a process that uses more than `MemoryMb`, and starts it
//! again. Other clients send reservations on kept connections meanwhile.

use std::io::Result;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::announcer::Announcer;
use crate::client::{self, API_KEY};
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::world::{self, HOST, World};

/// `MemoryMb` of the `front` machines of `sites/stride-hq.toml`.
const MEMORY_KB: u64 = 110 << 10;
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const SERVERS: u8 = 3;
const WORK: Duration = Duration::from_millis(120);
/// Clients that send reservations on a kept connection.
const BOOKERS: u32 = 12;
/// Clients that send a large body each, and its size: just within `MaxBodyBytes`.
const UPLOADS: u32 = 32;
const BODY_BYTES: usize = 4 << 20;
const CHUNK_BYTES: usize = 64 << 10;
/// Time between two chunks: a body takes some 3 s.
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);
/// The rule: more than three connections are closed without an answer.
const ALLOWED_LOSSES: u32 = 3;

struct Server {
    announcer: Arc<Announcer>,
    ran: Arc<Mutex<Vec<String>>>,
}

impl Server {
    fn handle(&self, connection: &mut Connection, message: &Message) -> Result<()> {
        let header = |name: &str| message.header(name).unwrap_or_default().to_string();
        let (id, expected) = (header("X-Request-Id"), header("X-Expect-Instance"));
        let head = format!("X-Request-Id: {id}\r\n");
        if expected != self.announcer.id {
            let headers = format!("{head}X-Not-Executed: 1\r\n");
            return connection.respond("421 Misdirected Request", &headers, "");
        }
        self.ran.lock().unwrap().push(id.clone());
        sleep(WORK);
        connection.respond("200 OK", &format!("{head}X-Server-Stamp: s-{id}\r\n"), &id)
    }
}

/// Sends a body of the largest size, in chunks or with its length; returns the status.
fn upload(gateway: SocketAddr, id: &str, in_chunks: bool) -> Result<u16> {
    let mut connection = Connection::open(gateway, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let framing = if in_chunks {
        "Transfer-Encoding: chunked".to_string()
    } else {
        format!("Content-Length: {BODY_BYTES}")
    };
    connection.send(&format!(
        "POST /dossier/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 3000,80\r\nX-Prompt-Prefix: 5c1e07a2:79,{id}:2921\r\n\
         X-Request-Deadline: 39000\r\nX-Api-Key: {API_KEY}\r\n{framing}\r\n\r\n"
    ))?;
    let chunk = "x".repeat(CHUNK_BYTES);
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        let sent = if in_chunks { connection.send_chunk(&chunk) } else { connection.send(&chunk) };
        if sent.is_err() {
            break;
        }
        sleep(CHUNK_INTERVAL);
    }
    if in_chunks {
        let _ = connection.send("0\r\n\r\n");
    }
    Ok(connection.read_head()?.status())
}

/// Sends reservations on a kept connection; returns those whose connection was closed
/// without an answer.
fn book(gateway: SocketAddr, number: u32, stop: &AtomicBool, record: &Record) -> Vec<String> {
    let mut unanswered = Vec::new();
    let mut kept: Option<Connection> = None;
    let mut turn = 0_u32;
    while !stop.load(Ordering::SeqCst) {
        turn += 1;
        let id = format!("{number:08x}{turn:08x}");
        let headers =
            format!("X-Request-Id: {id}\r\nX-Request-Deadline: 2500\r\nX-Api-Key: {API_KEY}\r\n");
        let opened = kept.take().or_else(|| Connection::open(gateway, Duration::from_secs(1)).ok());
        let Some(mut connection) = opened else {
            sleep(Duration::from_millis(100));
            continue;
        };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_millis(2500)));
        let sent = connection.send(&http::request("POST", "/reserve/2f", HOST, &headers, "lids"));
        match sent.and_then(|()| connection.read()) {
            Ok(reply) => {
                record.line(&format!("client: reservation {id} gets {}", reply.status()));
                kept = (reply.header("connection") != Some("close")).then_some(connection);
            }
            Err(error) => {
                record.line(&format!("client: reservation {id} gets no answer: {error}"));
                unanswered.push(id);
            }
        }
        sleep(Duration::from_millis(30));
    }
    unanswered
}

/// Kills the gateway when it uses more than the memory of its machine, as the platform
/// does, and starts it again; returns how often.
fn watch_memory(world: &World, pid: u32, stop: &AtomicBool) -> u32 {
    let (mut pid, mut kills, mut peak) = (pid, 0, 0);
    while !stop.load(Ordering::SeqCst) {
        let used = world::memory_kb(pid);
        peak = peak.max(used);
        if used > MEMORY_KB {
            kills += 1;
            world.record.say(&format!("front-0 uses {used} KiB of {MEMORY_KB} KiB: killed"));
            world::end(pid);
            sleep(RESTART_DELAY);
            pid = world.start_gateway(0).unwrap_or_default();
        }
        sleep(MEMORY_INTERVAL);
    }
    world.record.say(&format!("largest memory of front-0: {peak} KiB"));
    kills
}

pub fn run(record: &Record, trouble: bool) -> std::result::Result<u32, String> {
    let world = Arc::new(World::start(record, 3, 0)?);
    let pid = world.start_gateway(0)?;
    let ran = Arc::new(Mutex::new(Vec::new()));
    for number in 0..SERVERS * 2 {
        let address = world.engine(number);
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let (id, place) = (format!("i-{number}"), usize::from(number));
        let service = if number < SERVERS { ("desk", 6) } else { ("llm", 24) };
        let names = (id.as_str(), service.0, service.1);
        let announcer = Announcer::new(names, address, world.controls(), place, record);
        let server = Server { announcer: announcer.clone(), ran: ran.clone() };
        http::serve(
            listener,
            Arc::new(move |connection, message| server.handle(connection, message)),
        );
        spawn(move || {
            sleep(Duration::from_secs(2));
            announcer.start();
        });
    }
    world.publish(&client::configuration())?;
    world.wait_until_ready(0..1)?;
    sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let watch = {
        let (world, stop) = (world.clone(), stop.clone());
        spawn(move || watch_memory(&world, pid, &stop))
    };
    let gateway = world.gateway(0);
    let bookers: Vec<_> = (1..=BOOKERS)
        .map(|number| {
            let (stop, record) = (stop.clone(), record.clone());
            spawn(move || book(gateway, number, &stop, &record))
        })
        .collect();
    sleep(Duration::from_secs(4));
    let served = Arc::new(AtomicU32::new(0));
    record.say(&format!("{UPLOADS} clients send a body of {BODY_BYTES} bytes each"));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            sleep(Duration::from_millis(20));
            let (record, served) = (record.clone(), served.clone());
            spawn(move || {
                let id = format!("{:016x}", 0xb0d1e500 + number);
                let got = upload(gateway, &id, trouble);
                record.line(&format!("client: upload {id} gets {got:?}"));
                served
                    .fetch_add(u32::from(got.is_ok_and(|status| status == 200)), Ordering::SeqCst);
            })
        })
        .collect();
    uploads.into_iter().for_each(|upload| upload.join().unwrap_or(()));
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    let unanswered: Vec<String> =
        bookers.into_iter().flat_map(|booker| booker.join().unwrap_or_default()).collect();
    let kills = watch.join().map_err(|_| "the watch failed")?;
    let ran = ran.lock().unwrap();
    let lost: Vec<&String> = unanswered.iter().filter(|id| ran.contains(id)).collect();
    for id in &lost {
        record.line(&format!(
            "LOST: reservation {id} ran, and its connection was closed without an answer"
        ));
    }
    record.say(&format!("{} of {UPLOADS} uploads were served", served.load(Ordering::SeqCst)));
    record.say(&format!("front-0 was killed {kills} times for its memory; {} reservations that ran were not answered", lost.len()));
    let lost = lost.len() as u32;
    Ok(if kills > 0 && lost > ALLOWED_LOSSES { lost } else { 0 })
}
