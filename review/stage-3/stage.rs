//! Stage of the third review's scripts: starts the project's programs as processes on loopback
//! addresses, and has stand-ins for the platform, engines, clients and the operator.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

pub const HEARTBEAT_MS: u64 = 1_200;
pub const CONTROL_PORT: u16 = 8748;
pub const FRONT_PORT: u16 = 8740;
const READY_PORT: u16 = 8749;
const DIRECTORY_PORT: u16 = 8747;
const INTERNAL_PORTS: [u16; 2] = [7200, 7215];
const ENGINE_PORT: u16 = 8080;

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { started: Instant::now(), file })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns whether the disruption is to be left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// One process of the project.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.program)
            .env("SHALLOTTRAY_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: three control processes and some gateways.
pub struct World {
    pub record: Record,
    pub folder: PathBuf,
    net: [u8; 2],
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        self.controls.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl World {
    /// Starts all processes for the first time.
    pub fn start(record: &Record, gateways: u8) -> io::Result<World> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let net = free_net()?;
        let mut world = World {
            record: record.clone(),
            folder,
            net,
            controls: Vec::new(),
            gateways: Vec::new(),
        };
        for number in 1..=3u8 {
            let process =
                world.process("core", number, "target/release/shallottray-gateway-control");
            world.controls.push(process);
        }
        for number in 1..=gateways {
            let process = world.process("front", number, "target/release/shallottray-gateway");
            world.gateways.push(process);
        }
        world.write_settings(true)?;
        for process in world.controls.iter_mut().chain(&mut world.gateways) {
            process.start()?;
        }
        Ok(world)
    }

    /// Returns an address of this run; `group` tells kinds of machines apart.
    pub fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], group * 30 + number)
    }

    fn process(&self, class: &str, number: u8, program: &'static str) -> Process {
        let ip = self.ip(if class == "core" { 1 } else { 2 }, number);
        let name = format!("{class}-{number}");
        let settings = self.folder.join(format!("{name}.jsonc"));
        let log = self.folder.join(format!("{name}.log"));
        Process { name, ip, program, settings, log, child: None }
    }

    /// Renders the templates of the deploy file, as the platform does.
    pub fn write_settings(&self, bootstrap: bool) -> io::Result<()> {
        let seeds = self.controls.iter().map(|c| format!("\"{}:{CONTROL_PORT}\"", c.ip));
        let seeds = format!("[{}]", seeds.collect::<Vec<_>>().join(","));
        for process in self.controls.iter().chain(&self.gateways) {
            let is_core = process.name.starts_with("core");
            let template = if is_core { "deploy/control.jsonc" } else { "deploy/gateway.jsonc" };
            let data = self.folder.join(format!("{}-data", process.name));
            let ip = process.ip;
            let values = [
                ("Node|json", format!("\"{}\"", process.name)),
                ("Zone|json", "\"hsinchu-a\"".into()),
                ("Region|json", "\"tw-north\"".into()),
                ("IpAddress", ip.to_string()),
                ("Listen.Front|json", format!("\"{ip}:{FRONT_PORT}\"")),
                ("Listen.Ready|json", format!("\"{ip}:{READY_PORT}\"")),
                ("Listen.Control|json", format!("\"{ip}:{CONTROL_PORT}\"")),
                ("Listen.Directory|json", format!("\"{ip}:{DIRECTORY_PORT}\"")),
                ("InternalPorts.0", INTERNAL_PORTS[0].to_string()),
                ("InternalPorts.1", INTERNAL_PORTS[1].to_string()),
                ("Seeds|json", seeds.clone()),
                ("DataDirectory|json", format!("\"{}\"", data.display())),
                ("Bootstrap|json", bootstrap.to_string()),
                ("FaultTolerance.Machines", "1".into()),
                ("HeartbeatIntervalMs", HEARTBEAT_MS.to_string()),
                ("Bounds.GracePeriodS", "8".into()),
                ("Bounds.DrainMs", "2000".into()),
                ("Bounds.BudgetSlack", "58".into()),
                ("Bounds.BudgetWindowS", "10".into()),
            ];
            let mut text = fs::read_to_string(template)?;
            for (name, value) in values {
                text = text.replace(&format!("{{{{{name}}}}}"), &value);
            }
            if text.contains("{{") {
                return Err(io::Error::other(format!("{template}: unknown placeholder")));
            }
            fs::write(&process.settings, text)?;
        }
        Ok(())
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|c| SocketAddr::from((c.ip, CONTROL_PORT))).collect()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.gateways[index].ip, FRONT_PORT))
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_ready(&self, index: usize) -> bool {
        let address = SocketAddr::from((self.gateways[index].ip, READY_PORT));
        let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        wait_for(Duration::from_secs(20), || {
            exchange(address, request.as_bytes(), Duration::from_secs(1))
                .is_ok_and(|r| r.status == 200)
        })
    }

    /// Sends a configuration, to one daemon after another until one gives a clear response;
    /// returns its status.
    pub fn publish(&self, document: &str, limit: Duration) -> Option<u16> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for address in self.control_addresses() {
                let Ok(response) = put(address, "/v1/configuration", document) else { continue };
                if ![408, 429].contains(&response.status) && response.status < 500 {
                    return Some(response.status);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}

/// Returns two octets of a network in 127.0.0.0/8 whose addresses nobody uses.
fn free_net() -> io::Result<[u8; 2]> {
    let seed = std::process::id() as u64 ^ unix_ms();
    for attempt in 0..50 {
        let number = (seed + attempt * 7_919) % 25_000;
        let net = [100 + (number / 250) as u8, (number % 250) as u8];
        let is_free =
            [(31, CONTROL_PORT), (61, FRONT_PORT), (91, ENGINE_PORT)].iter().all(|(host, port)| {
                TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], *host), *port)).is_ok()
            });
        if is_free {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

pub fn wait_for(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    /// Values as bytes, by lower-case name.
    pub headers: HashMap<String, Vec<u8>>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        self.headers.get(name).map(|value| String::from_utf8_lossy(value).into_owned())
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; bytes after it stay in `buffer`.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Message> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        fill(stream, buffer)?;
    };
    let head: Vec<u8> = buffer.drain(..end).collect();
    let mut message = Message::default();
    for (index, line) in head.split(|byte| *byte == b'\n').enumerate() {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if index == 0 {
            message.start_line = String::from_utf8_lossy(line).into_owned();
        } else if let Some(colon) = line.iter().position(|byte| *byte == b':') {
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            message.headers.insert(name, line[colon + 1..].trim_ascii().to_vec());
        }
    }
    let status = message.start_line.split(' ').nth(1).unwrap_or_default();
    message.status = status.parse().unwrap_or(0);
    if let Some(length) =
        message.header("content-length").and_then(|text| text.parse::<usize>().ok())
    {
        while buffer.len() < length {
            fill(stream, buffer)?;
        }
        message.body = buffer.drain(..length).collect();
    } else if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(stream, buffer)?;
    }
    Ok(message)
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(2).position(|window| window == b"\r\n") {
                break at;
            }
            fill(stream, buffer)?;
        };
        let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(io::Error::other)?;
        buffer.drain(..end + 2);
        while buffer.len() < size + 2 {
            fill(stream, buffer)?;
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
        if size == 0 {
            return Ok(body);
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut bytes = [0; 16 << 10];
    match stream.read(&mut bytes)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            buffer.extend_from_slice(&bytes[..count]);
            Ok(())
        }
    }
}

/// Sends one request on a connection of its own and reads the response.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    read_message(&mut stream, &mut Vec::new())
}

pub fn put(address: SocketAddr, path: &str, body: &str) -> io::Result<Message> {
    let request = format!(
        "PUT {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len(),
    );
    exchange(address, request.as_bytes(), Duration::from_secs(1))
}

pub fn delete(address: SocketAddr, path: &str) -> io::Result<Message> {
    let request = format!(
        "DELETE {path} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    exchange(address, request.as_bytes(), Duration::from_secs(1))
}

/// What a request of a client is made of.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub body: &'a str,
}

impl ClientRequest<'_> {
    pub fn send(&self, front: SocketAddr) -> io::Result<Message> {
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Request-Deadline: {}\r\n\
             X-Api-Key: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline_ms,
            self.key,
            self.body.len(),
            self.body,
        );
        exchange(front, text.as_bytes(), Duration::from_millis(self.deadline_ms + 500))
    }
}

/// Returns a new id, as clients draw them.
pub fn draw_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let mixed = (unix_ms() ^ (number << 44)).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ number;
    format!("{mixed:016x}")
}

/// A plain service or engine: serves requests and announces itself.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    pub sequence: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
    runs: Arc<AtomicBool>,
}

/// Answers one request that the engine runs.
pub type Answer = Arc<dyn Fn(&Message) -> String + Send + Sync>;

impl Engine {
    /// Starts an engine at the address `number` of the engines.
    pub fn start(world: &World, number: u8, service: &str, answer: Answer) -> io::Result<Engine> {
        let id = format!("i-{:08x}", 0x3df7_fc00_u32 + u32::from(number));
        let address = SocketAddr::V4(SocketAddrV4::new(world.ip(3, number), ENGINE_PORT));
        let listener = TcpListener::bind(address)?;
        let runs = Arc::new(AtomicBool::new(true));
        let (own, is_running, record) = (id.clone(), runs.clone(), world.record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !is_running.load(Ordering::Relaxed) {
                    return;
                }
                let (own, answer, record) = (own.clone(), answer.clone(), record.clone());
                thread::spawn(move || serve(stream, &own, &answer, &record));
            }
        });
        let engine = Engine {
            id,
            service: service.to_string(),
            address,
            born_ms: unix_ms(),
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            runs,
        };
        engine.spawn_beats(world.control_addresses());
        Ok(engine)
    }

    /// Body of the next heartbeat.
    pub fn next_beat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        beat_text(&self.service, self.address, self.born_ms, sequence)
    }

    fn spawn_beats(&self, controls: Vec<SocketAddr>) {
        let path = format!("/v1/instances/{}", self.id);
        let (service, address, born_ms) = (self.service.clone(), self.address, self.born_ms);
        let (sequence, beats) = (self.sequence.clone(), self.beats.clone());
        thread::spawn(move || {
            let mut at = 0;
            while beats.load(Ordering::Relaxed) {
                let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
                let text = beat_text(&service, address, born_ms, number);
                let mut acknowledged = false;
                for _ in 0..controls.len() {
                    if put(controls[at], &path, &text).is_ok_and(|response| response.status == 200)
                    {
                        acknowledged = true;
                        break;
                    }
                    at = (at + 1) % controls.len();
                }
                thread::sleep(Duration::from_millis(if acknowledged { HEARTBEAT_MS } else { 200 }));
            }
        });
    }

    /// Sends no more heartbeats.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::Relaxed);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop_beats();
        self.runs.store(false, Ordering::Relaxed);
    }
}

fn beat_text(service: &str, address: SocketAddr, born_ms: u64, sequence: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"hsinchu-a\",\"Version\":\"v1\",\
         \"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{born_ms}}}"
    )
}

/// Serves the requests of one connection.
fn serve(mut stream: TcpStream, own: &str, answer: &Answer, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(request) = read_message(&mut stream, &mut buffer) {
        let id = request.id();
        let expected = request.header("x-expect-instance");
        let response = if id.is_empty() {
            record.line(format!("engine {own} rejects {}: no id", request.start_line));
            response_text("400 Bad Request", "", "X-Not-Executed: 1\r\n", "no id")
        } else if expected.is_some_and(|expected| expected != own) {
            record.line(format!("engine {own} answers 421 to {id}"));
            response_text("421 Misdirected Request", &id, "X-Not-Executed: 1\r\n", "")
        } else {
            answer(&request)
        };
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns a response with the id of its request; `headers` are further lines.
pub fn response_text(status: &str, id: &str, headers: &str, body: &str) -> String {
    let id = if id.is_empty() { String::new() } else { format!("X-Request-Id: {id}\r\n") };
    format!(
        "HTTP/1.1 {status}\r\n{id}{headers}Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len(),
    )
}

/// Runs a script and ends the process with its result.
pub fn run(folder: &str, script: impl FnOnce(&Record) -> Result<bool, String>) -> ! {
    if !Path::new("deploy/system.toml").exists() {
        eprintln!("start it in the root of the repository");
        std::process::exit(CANNOT_RUN);
    }
    let record = Record::create(&format!("{folder}/record.txt")).unwrap_or_else(|error| {
        eprintln!("cannot write the record: {error}");
        std::process::exit(CANNOT_RUN);
    });
    record.line(format!("disruption: {}", if is_calm() { "left out" } else { "yes" }));
    let code = match script(&record) {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(error) => {
            record.line(format!("cannot run: {error}"));
            eprintln!("cannot run: {error}");
            CANNOT_RUN
        }
    };
    record.line(format!("exit {code}"));
    std::process::exit(code);
}
