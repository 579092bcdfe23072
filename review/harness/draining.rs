//! DRAIN: servers leave while machines are added; one heartbeat of each arrives late.
//!
//! These servers never report `draining`: they withdraw first and serve on for a while.
//! Their last heartbeats to the control processes that they used before are held up on
//! the way.

use std::collections::{BTreeMap, HashMap};
use std::io::Result;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::announcer::Announcer;
use crate::client::{self, API_KEY};
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::world::{CONNECTIVITY_WINDOW_MS, DIRECTORY_PORT, DRAIN_MS, HEARTBEAT_MS, HOST, World};

const SERVERS: u8 = 20;
/// `scale_in`: 15 in 100 of the servers leave. Each uses another control process.
const LEAVING: u8 = 3;
const GATEWAYS: u8 = 3;
const ADDED_GATEWAYS: u8 = 3;
const CLIENTS: u32 = 12;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const WORK: Duration = Duration::from_millis(10);
/// How late the heartbeat arrives.
const LATE: Duration = Duration::from_secs(3);
/// Time after which a heartbeat without an acknowledgement is sent to the next daemon.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the servers serve on after their withdrawal.
const SERVES_ON: Duration = Duration::from_secs(9);

/// Requests that reached a server: time, request.
type Arrivals = Arc<Mutex<Vec<(f64, String)>>>;
/// Answers to clients, by kind of request and status.
type Answers = Arc<Mutex<BTreeMap<(&'static str, u16), u32>>>;

struct Server {
    announcer: Arc<Announcer>,
    gone: AtomicBool,
    arrivals: Arrivals,
    record: Record,
}

impl Server {
    fn handle(&self, connection: &mut Connection, message: &Message) -> Result<()> {
        if self.gone.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let header = |name: &str| message.header(name).unwrap_or_default().to_string();
        let (id, expected) = (header("X-Request-Id"), header("X-Expect-Instance"));
        let head = format!("X-Request-Id: {id}\r\n");
        if expected != self.announcer.id {
            let headers = format!("{head}X-Not-Executed: 1\r\n");
            return connection.respond("421 Misdirected Request", &headers, "");
        }
        self.arrivals.lock().unwrap().push((self.record.now(), id.clone()));
        sleep(WORK);
        connection.respond("200 OK", &format!("{head}X-Server-Stamp: s-{id}\r\n"), &id)
    }
}

/// Asks a directory where to connect.
fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let path = format!("/v1/resolve?Name={HOST}&Region=tw-north&Zone=hsinchu-a");
    let request = http::request("GET", &path, "directory", "", "");
    let Ok(reply) = http::call(directory, &request, Duration::from_secs(1)) else {
        return Vec::new();
    };
    let body = reply.text();
    let list = body.split('[').nth(1).and_then(|rest| rest.split(']').next()).unwrap_or_default();
    list.split(',').filter_map(|text| text.trim_matches('"').parse().ok()).collect()
}

/// Sends look-ups and reservations by turns, each on a new connection, to the gateways that
/// the directory names.
fn run_client(number: u32, world: &World, stop: &AtomicBool, answers: &Answers) {
    let mut addresses = Vec::new();
    let mut turn = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        if turn % 40 == 0 || addresses.is_empty() {
            let found = resolve(world.address(10 + (number % 3) as u8, DIRECTORY_PORT));
            if !found.is_empty() {
                addresses = found;
            }
        }
        turn += 1;
        if let Some(gateway) =
            addresses.get((turn * 7 + u64::from(number)) as usize % addresses.len().max(1))
        {
            let SocketAddr::V4(at) = gateway else { return };
            let id = format!("{:02x}{:02x}{turn:012x}", at.ip().octets()[3] - 20, number);
            let headers = format!(
                "X-Request-Id: {id}\r\nX-Request-Deadline: 2500\r\nX-Api-Key: {API_KEY}\r\n"
            );
            let (kind, request) = match turn % 2 {
                0 => ("look-up", http::request("GET", "/lookup/2f", HOST, &headers, "")),
                _ => ("reservation", http::request("POST", "/reserve/2f", HOST, &headers, "lids")),
            };
            let got = http::call(*gateway, &request, Duration::from_millis(2500));
            let status = got.map_or(0, |reply| reply.status());
            if status != 200 {
                world.record.line(&format!("client: {kind} {id} gets {status}"));
            }
            *answers.lock().unwrap().entry((kind, status)).or_default() += 1;
        }
        sleep(REQUEST_INTERVAL);
    }
}

/// Withdraws a server, after a heartbeat that is held up if there is `trouble`; returns
/// when the withdrawal was acknowledged.
fn withdraw(server: &Server, world: &World, trouble: bool) -> f64 {
    let (announcer, record) = (&server.announcer, &server.record);
    let (id, home) = (announcer.id.clone(), announcer.current());
    if trouble {
        let heartbeat = announcer.heartbeat("ready");
        record.say(&format!("{id}: heartbeat to core-{home} is held up on its way"));
        let (control, record, id) = (world.control(home as u8), record.clone(), id.clone());
        spawn(move || {
            sleep(LATE);
            let reply = http::call(control, &heartbeat, Duration::from_secs(1));
            let status = reply.map_or(0, |reply| reply.status());
            record
                .say(&format!("{id}: the late heartbeat arrives at core-{home}, status {status}"));
        });
        sleep(ACKNOWLEDGE_TIMEOUT);
        announcer.move_on();
    }
    announcer.send("ready");
    record.say(&format!("{id}: heartbeat acknowledged by core-{}", announcer.current()));
    sleep(Duration::from_millis(300));
    announcer.withdraw();
    record.now()
}

pub fn run(record: &Record, trouble: bool) -> std::result::Result<u32, String> {
    let world = Arc::new(World::start(record, 3, GATEWAYS)?);
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let address = world.engine(number);
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let id = format!("i-{number}");
        let home = usize::from(number);
        let server = Arc::new(Server {
            announcer: Announcer::new((&id, "desk", 6), address, world.controls(), home, record),
            gone: AtomicBool::new(false),
            arrivals: Arrivals::default(),
            record: record.clone(),
        });
        servers.push(server.clone());
        http::serve(
            listener,
            Arc::new(move |connection, message| server.handle(connection, message)),
        );
    }
    world.publish(&client::configuration())?;
    world.wait_until_ready(0..GATEWAYS)?;
    servers.iter().for_each(|server| server.announcer.start());
    sleep(Duration::from_secs(4));
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Answers::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (world, stop, answers) = (world.clone(), stop.clone(), answers.clone());
            spawn(move || run_client(number, &world, &stop, &answers))
        })
        .collect();
    sleep(Duration::from_secs(2));

    let leaving = &servers[..usize::from(LEAVING)];
    leaving.iter().for_each(|server| server.announcer.stop());
    sleep(Duration::from_millis(HEARTBEAT_MS));
    let withdrawals: Vec<_> = leaving
        .iter()
        .map(|server| {
            let (server, world) = (server.clone(), world.clone());
            spawn(move || withdraw(&server, &world, trouble))
        })
        .collect();
    let acknowledged: Vec<f64> =
        withdrawals.into_iter().map(|thread| thread.join().unwrap_or(f64::MAX)).collect();
    let mut started = HashMap::new();
    for number in GATEWAYS..GATEWAYS + ADDED_GATEWAYS {
        started.insert(number, record.now());
        world.start_gateway(number)?;
    }
    sleep(SERVES_ON);
    leaving.iter().for_each(|server| server.gone.store(true, Ordering::SeqCst));
    record.say("the servers that left exit");
    sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap_or(()));

    let mut breaks = 0;
    let window_s = CONNECTIVITY_WINDOW_MS as f64 / 1e3;
    for (server, acknowledged) in leaving.iter().zip(&acknowledged) {
        let name = &server.announcer.id;
        for (at, id) in server.arrivals.lock().unwrap().iter() {
            let gateway = u8::from_str_radix(&id[..2], 16).unwrap_or_default();
            let in_touch_from = started.get(&gateway).map_or(0.0, |start| start + window_s);
            let late_s = at - acknowledged;
            if late_s > DRAIN_MS as f64 / 1e3 && *at > in_touch_from {
                breaks += 1;
                record.line(&format!("DRAIN: request {id} reaches {name} at {at:.3} from front-{gateway}, in touch since {in_touch_from:.3}, {late_s:.3} s after the acknowledgement"));
            } else if late_s > 0.0 {
                record.line(&format!("request {id} reaches {name} at {at:.3} from front-{gateway}, {late_s:.3} s after the acknowledgement"));
            }
        }
    }
    for server in &servers {
        let count = server.arrivals.lock().unwrap().len();
        record.line(&format!("{}: {count} requests ran", server.announcer.id));
    }
    let counts: Vec<String> = answers
        .lock()
        .unwrap()
        .iter()
        .map(|((kind, status), count)| format!("{count} {kind}s with {status}"))
        .collect();
    record.say(&format!("answers to clients: {}", counts.join(", ")));
    record.say(&format!("{breaks} requests reached servers that had left too late"));
    Ok(breaks)
}
