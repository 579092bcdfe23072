//! The project's programs as processes, with settings from the deploy file's templates.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const FRONT_PORT: u16 = 8740;
pub const READY_PORT: u16 = 8749;
pub const CONTROL_PORT: u16 = 8748;
pub const DIRECTORY_PORT: u16 = 8746;
pub const ENGINE_PORT: u16 = 8080;
const INTERNAL_PORTS: (u16, u16) = (7200, 7215);
/// Bounds of `sites/lidworks-tw.toml`.
pub const HEARTBEAT_MS: u64 = 1200;
pub const DRAIN_MS: u64 = 2000;
pub const CONNECTIVITY_WINDOW_MS: u64 = 3000;
const GRACE_PERIOD_S: u64 = 8;
const BUDGET_SLACK: u64 = 58;
const BUDGET_WINDOW_S: u64 = 10;
pub const HOST: &str = "ficu95.example";

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that were started, and removes their folder.
pub fn end_all() {
    for mut child in CHILDREN.lock().unwrap_or_else(|error| error.into_inner()).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    let folder = FOLDER.lock().unwrap_or_else(|error| error.into_inner()).take();
    if let Some(folder) = folder.filter(|_| std::env::var("KEEP_LOGS").is_err()) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ends one process that was started.
pub fn end(pid: u32) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(child) = children.iter_mut().find(|child| child.id() == pid) {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.retain(|child| child.id() != pid);
}

/// Returns the memory that a process uses, without the pages of its program file.
pub fn memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = |key| status.lines().find_map(|line| line.strip_prefix(key));
    let line = value("RssAnon:").or_else(|| value("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

pub struct World {
    pub record: Record,
    network: [u8; 2],
    folder: PathBuf,
    controls: u8,
}

impl World {
    /// Starts control processes and gateways within a moment, as at the first start of
    /// the whole system.
    pub fn start(record: &Record, controls: u8, gateways: u8) -> Result<World, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let world = World { record: record.clone(), network: free_network()?, folder, controls };
        for number in 0..controls {
            world.start_control(number)?;
        }
        for number in 0..gateways {
            world.start_gateway(number)?;
        }
        Ok(world)
    }

    pub fn address(&self, octet: u8, port: u16) -> SocketAddr {
        let [b, c] = self.network;
        SocketAddr::from((Ipv4Addr::new(127, b, c, octet), port))
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.address(10 + number, CONTROL_PORT)
    }

    pub fn gateway(&self, number: u8) -> SocketAddr {
        self.address(20 + number, FRONT_PORT)
    }

    pub fn engine(&self, number: u8) -> SocketAddr {
        self.address(60 + number, ENGINE_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.controls).map(|number| self.control(number)).collect()
    }

    pub fn start_control(&self, number: u8) -> Result<u32, String> {
        self.start_process("control", &format!("core-{number}"), 10 + number)
    }

    /// Starts a gateway; returns its process id.
    pub fn start_gateway(&self, number: u8) -> Result<u32, String> {
        self.start_process("gateway", &format!("front-{number}"), 20 + number)
    }

    /// Renders the template of a role and starts its command.
    fn start_process(&self, role: &str, name: &str, octet: u8) -> Result<u32, String> {
        let read =
            |path: &str| fs::read_to_string(path).map_err(|error| format!("{path}: {error}"));
        let deploy = read("deploy/system.toml")?;
        let section = deploy.split(&format!("[roles.{role}]")).nth(1).ok_or("no such role")?;
        let value = |key: &str| {
            let line = section.lines().find(|line| line.starts_with(&format!("{key} =")));
            line.and_then(|line| line.split('"').nth(1)).map(str::to_string)
        };
        let template = read(&value("template").ok_or("no template")?)?;
        let seeds: Vec<String> =
            self.controls().iter().map(|address| format!("\"{address}\"")).collect();
        let data = self.folder.join(format!("data-{name}"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let quoted = |text: String| format!("\"{text}\"");
        let at = |port| self.address(octet, port).to_string();
        let fields = [
            ("Node|json", quoted(name.to_string())),
            ("Zone|json", quoted("hsinchu-a".into())),
            ("Region|json", quoted("tw-north".into())),
            ("IpAddress", self.address(octet, 0).ip().to_string()),
            ("InternalPorts.0", INTERNAL_PORTS.0.to_string()),
            ("InternalPorts.1", INTERNAL_PORTS.1.to_string()),
            ("Listen.Front|json", quoted(at(FRONT_PORT))),
            ("Listen.Ready|json", quoted(at(READY_PORT))),
            ("Listen.Control|json", quoted(at(CONTROL_PORT))),
            ("Listen.Directory|json", quoted(at(DIRECTORY_PORT))),
            ("DataDirectory|json", quoted(data.display().to_string())),
            ("Seeds|json", format!("[{}]", seeds.join(","))),
            ("Bootstrap|json", "true".to_string()),
            ("FaultTolerance.Machines", "1".to_string()),
            ("HeartbeatIntervalMs", HEARTBEAT_MS.to_string()),
            ("Bounds.GracePeriodS", GRACE_PERIOD_S.to_string()),
            ("Bounds.BudgetSlack", BUDGET_SLACK.to_string()),
            ("Bounds.BudgetWindowS", BUDGET_WINDOW_S.to_string()),
        ];
        let mut settings = template;
        for (field, value) in &fields {
            settings = settings.replace(&format!("{{{{{field}}}}}"), value);
        }
        if settings.contains("{{") {
            return Err(format!("a field of the template of {role} is not known"));
        }
        let path = self.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let command = value("run").ok_or("no command")?;
        let mut words = command.split(' ');
        let program = words.next().unwrap_or_default();
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("SHALLOTTRAY_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        let pid = child.id();
        self.record.say(&format!("started {name}, process {pid}"));
        CHILDREN.lock().unwrap().push(child);
        Ok(pid)
    }

    /// Sends the configuration until it is acknowledged, as the operator does.
    pub fn publish(&self, configuration: &str) -> Result<(), String> {
        let request = http::request("PUT", "/v1/configuration", "control", "", configuration);
        let since = Instant::now();
        while since.elapsed() < Duration::from_secs(20) {
            for control in self.controls() {
                match http::call(control, &request, Duration::from_secs(1)) {
                    Ok(reply) if reply.status() == 200 => {
                        self.record.say("the configuration is acknowledged");
                        return Ok(());
                    }
                    Ok(reply) if reply.status() < 500 => {
                        return Err(format!("the configuration is refused: {}", reply.text()));
                    }
                    _ => sleep(Duration::from_millis(100)),
                }
            }
        }
        Err("the configuration is not acknowledged".to_string())
    }

    /// Waits until gateways answer their readiness checks with 200.
    pub fn wait_until_ready(&self, gateways: std::ops::Range<u8>) -> Result<(), String> {
        let request = http::request("GET", "/v1/ready", "ready", "", "");
        let since = Instant::now();
        for number in gateways {
            let address = self.address(20 + number, READY_PORT);
            loop {
                let reply = http::call(address, &request, Duration::from_secs(1));
                if reply.is_ok_and(|reply| reply.status() == 200) {
                    break;
                }
                if since.elapsed() > Duration::from_secs(20) {
                    return Err(format!("front-{number} does not become ready"));
                }
                sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

/// Returns the second and third octet of a loopback network in which nothing listens
/// at the ports used here.
fn free_network() -> Result<[u8; 2], String> {
    let id = std::process::id();
    for attempt in 0..200 {
        let [b, c] = [(id / 200 % 200 + 20) as u8, ((id + attempt) % 200 + 20) as u8];
        let free = |octet: u8, port: u16| {
            TcpListener::bind(SocketAddr::from((Ipv4Addr::new(127, b, c, octet), port))).is_ok()
        };
        let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, ENGINE_PORT];
        let mut octets = (10..13).chain(20..30).chain(60..82);
        if octets.all(|octet| ports.iter().all(|port| free(octet, *port))) {
            return Ok([b, c]);
        }
    }
    Err("no free loopback network".to_string())
}
