//! Stage of the review cases: starts the project's own programs as processes on loopback
//! addresses, and has the stand-ins of clients, servers and the operator. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Longest run of a case; the scripts of the review have 120 seconds.
const WATCHDOG: Duration = Duration::from_secs(112);
/// `HeartbeatIntervalMs` of the small deployments.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub type Error = Box<dyn std::error::Error + Send + Sync>;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Pseudo-random number (splitmix64); the seed is drawn from the time and the process id.
pub fn random() -> u64 {
    static SEED: OnceLock<u64> = OnceLock::new();
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let seed = *SEED.get_or_init(|| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        now ^ (u64::from(std::process::id()) << 32)
    });
    let count = COUNT.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
    let mut x = seed.wrapping_add(count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn random_id() -> String {
    format!("{:016x}", random())
}

/// `record.txt`: what was sent, answered and run, in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>8.1} {text}");
        let _ = file.flush();
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }
}

#[derive(Clone, Debug)]
pub struct Ports {
    pub peer: u16,
    pub metrics: u16,
    pub control: u16,
    pub directory: u16,
    pub front: u16,
    pub ready: u16,
    pub server: u16,
}

/// Loopback network of one run: a prefix of addresses and the ports, which are free there.
#[derive(Clone, Debug)]
pub struct Net {
    pub prefix: [u8; 2],
    pub ports: Ports,
}

impl Net {
    pub fn draw() -> Result<Self, Error> {
        for _ in 0..50 {
            let prefix = [64 + (random() % 128) as u8, (random() % 250) as u8];
            let base = 20_000 + (random() % 10_000) as u16;
            let ports = Ports {
                peer: base,
                metrics: base + 1,
                control: base + 2,
                directory: base + 3,
                front: base + 4,
                ready: base + 5,
                server: base + 6,
            };
            let net = Net { prefix, ports };
            let free = |port| TcpListener::bind(net.at(11, port)).is_ok();
            if (base..base + 7).all(free) {
                return Ok(net);
            }
        }
        Err("no free ports".into())
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], host)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(host), port))
    }
}

/// One machine with the one process of its role.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub host: u8,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> Result<(), Error> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(self.program);
        command.env_clear().env("SHALLOTTRAY_NODE_FILE", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: prctl is async-signal-safe; the process ends with the one that started it.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: the process was started here and was not waited for yet.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Ends the process at once and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGCONT);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn log_lines(&self, part: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(part)).map(str::to_string).collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Deployment of control processes and gateways.
pub struct Deployment {
    pub net: Net,
    pub folder: PathBuf,
    pub core: Vec<Machine>,
    pub fronts: Vec<Machine>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.core.clear();
        self.fronts.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Deployment {
    /// Prepares three control processes, one a zone, and `fronts` gateways a zone.
    pub fn new(fronts: u8) -> Result<Self, Error> {
        let net = Net::draw()?;
        let folder = std::env::temp_dir().join(format!("review-{}", random_id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Deployment { net, folder, core: Vec::new(), fronts: Vec::new() };
        for index in 0..3u8 {
            let machine = deployment.prepare_control(11 + index, ZONES[index as usize], true)?;
            deployment.core.push(machine);
        }
        for zone in 0..3u8 {
            for index in 0..fronts {
                let host = 21 + zone * fronts + index;
                let machine = deployment.prepare_gateway(host, ZONES[zone as usize])?;
                deployment.fronts.push(machine);
            }
        }
        Ok(deployment)
    }

    fn seeds(&self) -> String {
        let seeds =
            (11..14).map(|host| format!("\"{}\"", self.net.at(host, self.net.ports.control)));
        seeds.collect::<Vec<_>>().join(",")
    }

    /// Settings as `deploy/control.jsonc` has them for a small deployment.
    pub fn control_settings(&self, host: u8, zone: &str, first_start: bool) -> String {
        let (net, ports) = (&self.net, &self.net.ports);
        let data = self.folder.join(format!("data-{host}"));
        format!(
            r#"{{"vm":"core-{host}","data_centre":"{zone}","region":"region-1",
"peer_address":"{peer}","http_address":"{metrics}","gateway_api_address":"{control}",
"directory_address":"{directory}","data_path":"{data}",
"peer_security":"PEER_SECURITY_UNVERIFIED","seed_addresses":[{seeds}],
"seed_peer_port":{peer_port},"first_start":{first_start},"tolerated_losses":1,
"announce_interval_ms":1200,"timers":{{"heartbeat_ms":100,"election_ms":500}},
"telemetry":{{"log_level":"info"}}}}"#,
            peer = net.at(host, ports.peer),
            metrics = net.at(host, ports.metrics),
            control = net.at(host, ports.control),
            directory = net.at(host, ports.directory),
            data = data.display(),
            seeds = self.seeds(),
            peer_port = ports.peer,
        )
    }

    fn prepare_control(&self, host: u8, zone: &str, first_start: bool) -> Result<Machine, Error> {
        let settings = self.folder.join(format!("core-{host}.jsonc"));
        fs::write(&settings, self.control_settings(host, zone, first_start))?;
        Ok(Machine {
            name: format!("core-{host}"),
            zone: zone.to_string(),
            host,
            program: "target/release/shallottray-gateway-control",
            settings,
            log: self.folder.join(format!("core-{host}.log")),
            child: None,
        })
    }

    fn prepare_gateway(&self, host: u8, zone: &str) -> Result<Machine, Error> {
        let (net, ports) = (&self.net, &self.net.ports);
        let settings = self.folder.join(format!("front-{host}.jsonc"));
        let text = format!(
            r#"{{"vm":"front-{host}","data_centre":"{zone}","region":"region-1",
"caller_address":"{front}","ready_address":"{ready}","metrics_address":"{metrics}",
"peer_address":"{peer}","peer_security":"PEER_SECURITY_UNVERIFIED",
"seed_addresses":[{seeds}],"seed_peer_port":{peer_port},
"telemetry":{{"log_level":"info"}},
"timers":{{"grace_period_s":8,"upstream_drain_ms":2000}},
"limits":{{"max_connections":1500,"retry_ratio":0.1,"retry_allowance":58,"retry_window_s":10}}}}"#,
            front = net.at(host, ports.front),
            ready = net.at(host, ports.ready),
            metrics = net.at(host, ports.metrics),
            peer = net.at(host, ports.peer),
            seeds = self.seeds(),
            peer_port = ports.peer,
        );
        fs::write(&settings, text)?;
        Ok(Machine {
            name: format!("front-{host}"),
            zone: zone.to_string(),
            host,
            program: "target/release/shallottray-gateway",
            settings,
            log: self.folder.join(format!("front-{host}.log")),
            child: None,
        })
    }

    /// Starts all processes. From the next start on, the settings say that it is not the first.
    pub fn start(&mut self) -> Result<(), Error> {
        for machine in self.core.iter_mut().chain(&mut self.fronts) {
            machine.start()?;
        }
        thread::sleep(ms(300));
        for index in 0..self.core.len() {
            let (host, zone) = (self.core[index].host, self.core[index].zone.clone());
            fs::write(&self.core[index].settings, self.control_settings(host, &zone, false))?;
        }
        Ok(())
    }

    pub fn control_address(&self, index: usize) -> SocketAddr {
        self.net.at(self.core[index].host, self.net.ports.control)
    }

    pub fn front_address(&self, index: usize) -> SocketAddr {
        self.net.at(self.fronts[index].host, self.net.ports.front)
    }

    /// Returns the index of the control process that leads, as its metrics say.
    pub fn leader(&self) -> Option<usize> {
        (0..self.core.len()).find(|index| {
            let address = self.net.at(self.core[*index].host, self.net.ports.metrics);
            let page = get(address, "/metrics", ms(500)).map(|r| r.text()).unwrap_or_default();
            let mut lines = page.lines().filter(|l| !l.starts_with('#') && l.contains("leader"));
            lines.any(|line| line.contains("is_leader") && line.trim_end().ends_with(" 1"))
        })
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.net.at(self.fronts[index].host, self.net.ports.ready);
        get(address, "/v1/ready", ms(500)).is_ok_and(|response| response.status == 200)
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn publish(&self, first: usize, body: &str, record: &Record) -> Result<usize, Error> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut index = first;
        while Instant::now() < until {
            let request = Request::new("PUT", "/v1/configuration")
                .header("Content-Type", "application/json")
                .body(body.as_bytes().to_vec());
            match send(self.control_address(index), &request, ms(3_000)) {
                Ok(response) if response.status == 200 => return Ok(index),
                Ok(response) if [400, 409, 412, 413, 422].contains(&response.status) => {
                    return Err(format!("configuration refused: {}", response.text()).into());
                }
                Ok(response) => record.line(&format!(
                    "configuration not acknowledged by core {index}: {}",
                    response.status
                )),
                Err(error) => {
                    record
                        .line(&format!("configuration not acknowledged by core {index}: {error}"));
                }
            }
            index = (index + 1) % self.core.len();
            thread::sleep(ms(200));
        }
        Err("no acknowledgement of a configuration within 20 s".into())
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..self.fronts.len()).all(|index| self.is_ready(index)) {
            if Instant::now() > until {
                return Err("not all gateways became ready".into());
            }
            thread::sleep(ms(100));
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &str, path: &str) -> Self {
        let (method, path) = (method.to_string(), path.to_string());
        Request { method, path, headers: Vec::new(), body: Vec::new() }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if self.get("Host").is_none() {
            text.push_str("Host: review.example\r\n");
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" || !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body has its whole length, or the end that its framing asks for.
    pub whole: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_string(), headers));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads one response; `on_data` gets the parts of its body as they arrive.
pub fn read_response(
    reader: &mut impl BufRead,
    mut on_data: impl FnMut(&[u8]),
) -> io::Result<Response> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut response = Response { status, headers, ..Response::default() };
    let chunked = response.get("Transfer-Encoding").is_some_and(|value| value.contains("chunked"));
    let length: Option<usize> = response.get("Content-Length").and_then(|text| text.parse().ok());
    let mut take = |response: &mut Response, bytes: &[u8]| {
        on_data(bytes);
        response.body.extend_from_slice(bytes);
    };
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Ok(response);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(response) };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(response);
            }
            if size == 0 {
                response.whole = true;
                return Ok(response);
            }
            take(&mut response, &chunk[..size]);
        }
    }
    let mut buffer = [0; 16 << 10];
    loop {
        let left = length.map_or(buffer.len(), |length| length - response.body.len());
        if left == 0 {
            response.whole = true;
            return Ok(response);
        }
        let most = left.min(buffer.len());
        match reader.read(&mut buffer[..most]) {
            Ok(0) => {
                response.whole = length.is_none();
                return Ok(response);
            }
            Ok(count) => take(&mut response, &buffer[..count]),
            Err(_) => return Ok(response),
        }
    }
}

/// Sends one request on a connection of its own and waits for the response.
pub fn send(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut reader = BufReader::new(stream);
    let request = request.clone().header("Connection", "close");
    reader.get_mut().write_all(&request.encode())?;
    read_response(&mut reader, |_| {})
}

pub fn get(address: SocketAddr, path: &str, limit: Duration) -> io::Result<Response> {
    send(address, &Request::new("GET", path), limit)
}

/// Kept connection of a client.
pub struct Client {
    address: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Client { address, reader: None }
    }

    pub fn send(&mut self, request: &Request, limit: Duration) -> io::Result<Response> {
        if self.reader.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, ms(1_000))?;
            stream.set_nodelay(true)?;
            self.reader = Some(BufReader::new(stream));
        }
        let mut reader = self.reader.take().unwrap();
        reader.get_ref().set_read_timeout(Some(limit))?;
        reader.get_mut().write_all(&request.encode())?;
        let response = read_response(&mut reader, |_| {})?;
        let closes = response.get("Connection").is_some_and(|value| value.contains("close"));
        if response.whole && !closes {
            self.reader = Some(reader);
        }
        Ok(response)
    }
}

/// Connection of a caller at a stand-in server.
pub struct Exchange {
    pub stream: TcpStream,
    pub request: Request,
    /// The stream that it answers with has neither length nor chunks.
    pub is_unframed: bool,
}

impl Exchange {
    /// Answers with a body of a stated length and keeps the connection.
    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Begins a stream, in chunks unless it is unframed.
    pub fn begin_stream(&mut self, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_string();
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(if self.is_unframed { "\r\n" } else { "Transfer-Encoding: chunked\r\n\r\n" });
        self.stream.write_all(text.as_bytes())
    }

    pub fn chunk(&mut self, data: &[u8]) -> io::Result<()> {
        if self.is_unframed {
            return self.stream.write_all(data);
        }
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
        self.stream.write_all(&bytes)
    }
}

/// What becomes of a connection after a request.
pub enum Then {
    Keep,
    Close,
}

/// Listens at an address until it is ended; each connection has a thread.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    pub fn listen<F>(address: SocketAddr, handle: F) -> Result<Self, Error>
    where
        F: Fn(&mut Exchange) -> io::Result<Then> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let ended = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let (handle, is_ended, connections) = (Arc::new(handle), ended.clone(), open.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if is_ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (handle, connections) = (handle.clone(), connections.clone());
                let number = number as u64;
                if let Ok(clone) = stream.try_clone() {
                    connections.lock().unwrap().insert(number, clone);
                }
                thread::spawn(move || {
                    let _ = serve_connection(stream, handle.as_ref());
                    connections.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(Server { address, ended, open })
    }

    /// Stops listening and closes all connections, as a process that exits.
    pub fn end(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        let _ = TcpStream::connect_timeout(&self.address, ms(200));
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve_connection<F>(stream: TcpStream, handle: &F) -> io::Result<()>
where
    F: Fn(&mut Exchange) -> io::Result<Then>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_string();
        let path = words.next().unwrap_or_default().to_string();
        let mut request = Request { method, path, headers, body: Vec::new() };
        let length: usize = request.get("Content-Length").and_then(|t| t.parse().ok()).unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
        let mut exchange = Exchange { stream: stream.try_clone()?, request, is_unframed: false };
        if let Then::Close = handle(&mut exchange)? {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return Ok(());
        }
    }
}

/// What a server says of itself.
#[derive(Clone, Debug)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born_ms: u64,
}

impl Instance {
    /// One heartbeat; returns whether it was acknowledged.
    pub fn announce(&self, control: SocketAddr, state: &str, sequence: u64) -> bool {
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"{state}","ColdRemainingMs":0,"Stage":"both","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, self.born_ms
        );
        let request = Request::new("PUT", &format!("/v1/instances/{}", self.id))
            .header("Content-Type", "application/json")
            .body(body.into_bytes());
        send(control, &request, ms(1_000)).is_ok_and(|response| response.status == 200)
    }

    /// `DELETE /v1/instances/ID`, as the pages and `fleetbench wire` show it: without a body.
    pub fn withdraw(&self, control: SocketAddr) -> bool {
        let request = Request::new("DELETE", &format!("/v1/instances/{}", self.id));
        send(control, &request, ms(1_000)).is_ok_and(|response| response.status == 200)
    }
}

/// Heartbeats of one instance: to one daemon, and to the next one if it does not answer.
pub struct Heart {
    stopped: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    /// When the daemons acknowledged that it drains.
    pub drain_acked: Arc<Mutex<Option<Instant>>>,
    now: Arc<AtomicBool>,
}

impl Heart {
    pub fn start(instance: Instance, daemons: Vec<SocketAddr>) -> Self {
        let heart = Heart {
            stopped: Arc::default(),
            draining: Arc::default(),
            drain_acked: Arc::default(),
            now: Arc::default(),
        };
        let (stopped, draining) = (heart.stopped.clone(), heart.draining.clone());
        let (acked, now) = (heart.drain_acked.clone(), heart.now.clone());
        thread::spawn(move || {
            let (mut sequence, mut daemon) = (0, 0);
            while !stopped.load(Ordering::SeqCst) {
                let is_draining = draining.load(Ordering::SeqCst);
                now.store(false, Ordering::SeqCst);
                let state = if is_draining { "draining" } else { "ready" };
                let mut is_acked = false;
                for _ in 0..daemons.len() {
                    sequence += 1;
                    if instance.announce(daemons[daemon], state, sequence) {
                        is_acked = true;
                        break;
                    }
                    daemon = (daemon + 1) % daemons.len();
                }
                if is_acked && is_draining {
                    acked.lock().unwrap().get_or_insert(Instant::now());
                }
                let until = Instant::now() + if is_acked { HEARTBEAT } else { ms(300) };
                while Instant::now() < until
                    && !stopped.load(Ordering::SeqCst)
                    && !now.load(Ordering::SeqCst)
                {
                    thread::sleep(ms(2));
                }
            }
        });
        heart
    }

    /// Says at once, and from now on, that the instance drains.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.now.store(true, Ordering::SeqCst);
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Runs a case: `record.txt` goes into the folder that the first argument names.
pub fn run(case: impl FnOnce(&Record, bool) -> Result<Verdict, Error>) -> ! {
    let folder = std::env::args().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::open(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write record.txt: {error}");
            std::process::exit(2);
        }
    };
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(WATCHDOG);
        watched.line("the case took too long; not judged");
        // The processes end with this one.
        std::process::exit(2);
    });
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let code = match case(&record, trouble) {
        Ok(Verdict::Held) => {
            record.line("RESULT the rule held");
            0
        }
        Ok(Verdict::Broken(reason)) => {
            record.line(&format!("RESULT the rule was broken: {reason}"));
            1
        }
        Err(error) => {
            record.line(&format!("RESULT the case could not run: {error}"));
            2
        }
    };
    println!("exit {code}");
    std::process::exit(code)
}
