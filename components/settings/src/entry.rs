//! Settings of `shallottray-entry`.

use std::net::SocketAddr;
use std::path::Path;

use schema::{EntryLimits, EntrySettings, EntryTimers, TelemetrySettings, TlsSettings};
use units::{DataCentre, Name, VmName};

use crate::SettingsError;
use crate::checker::{Checker, load};

const MIB: u64 = 1 << 20;
const HOUR_MS: u64 = 60 * 60 * 1_000;
const SHA256_HEX_CHARS: usize = 64;

/// Validated settings of one entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Name,
    /// Listen address for callers and upstreams.
    pub http_address: SocketAddr,
    /// HTTP address advertised to callers.
    pub advertised_http_address: SocketAddr,
    /// Listen address for the system's own processes.
    pub peer_address: SocketAddr,
    /// Peer address advertised to the system's own processes.
    pub advertised_peer_address: SocketAddr,
    /// Peer addresses of the control processes.
    pub control_addresses: Vec<SocketAddr>,
    /// Certificate and key files.
    pub tls: TlsSettings,
    /// Settings of logs and traces.
    pub telemetry: TelemetrySettings,
    /// SHA-256 of each token with which upstreams may authenticate.
    pub upstream_token_sha256: Vec<String>,
    /// Resource limits of the entry.
    pub limits: EntryLimits,
    /// Timeouts, intervals and lease durations.
    pub timers: EntryTimers,
}

/// Loads and validates the settings of an entry.
pub fn load_entry(path: &Path) -> Result<EntryConfig, SettingsError> {
    load(path, check)
}

fn check(settings: EntrySettings, checker: &mut Checker<'_>) -> Option<EntryConfig> {
    let vm = checker.parse("vm", &settings.vm);
    let data_centre = checker.parse("data_centre", &settings.data_centre);
    let region = checker.parse("region", &settings.region);
    let http_address = checker.address("http_address", &settings.http_address);
    let advertised = match settings.advertised_http_address.as_str() {
        "" => http_address,
        text => checker.address("advertised_http_address", text),
    };
    let peer_address = checker.address("peer_address", &settings.peer_address);
    let advertised_peer = match settings.advertised_peer_address.as_str() {
        "" => peer_address,
        text => checker.address("advertised_peer_address", text),
    };
    let control_addresses = checker.addresses("control_addresses", &settings.control_addresses);
    let tls = checker.tls_files(settings.tls);
    for (index, hash) in settings.upstream_token_sha256.iter().enumerate() {
        if hash.len() != SHA256_HEX_CHARS || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
            let field = format!("upstream_token_sha256.{index}");
            checker.report(&field, "must be a SHA-256 in hexadecimal");
        }
    }
    let limits = limits(settings.limits.unwrap_or_default(), checker);
    let timers = timers(settings.timers.unwrap_or_default(), checker);
    Some(EntryConfig {
        vm: vm?,
        data_centre: data_centre?,
        region: region?,
        http_address: http_address?,
        advertised_http_address: advertised?,
        peer_address: peer_address?,
        advertised_peer_address: advertised_peer?,
        control_addresses,
        tls,
        telemetry: settings.telemetry.unwrap_or_default(),
        upstream_token_sha256: settings.upstream_token_sha256,
        limits,
        timers,
    })
}

fn limits(limits: EntryLimits, checker: &mut Checker<'_>) -> EntryLimits {
    let max_body = limits.max_body_bytes;
    let max_answer = limits.max_answer_bytes;
    EntryLimits {
        max_body_bytes: checker.number(
            "limits.max_body_bytes",
            max_body,
            2 * MIB,
            1_024,
            256 * MIB,
        ),
        max_answer_bytes: checker.number("limits.max_answer_bytes", max_answer, MIB, 1, 64 * MIB),
        max_connections: checker.number(
            "limits.max_connections",
            limits.max_connections,
            20_000,
            1,
            1_000_000,
        ),
        max_waiting: checker.number("limits.max_waiting", limits.max_waiting, 10_000, 1, 1_000_000),
        max_streams: checker.number("limits.max_streams", limits.max_streams, 20_000, 1, 1_000_000),
        max_upstreams: checker.number(
            "limits.max_upstreams",
            limits.max_upstreams,
            10_000,
            1,
            1_000_000,
        ),
    }
}

fn timers(timers: EntryTimers, checker: &mut Checker<'_>) -> EntryTimers {
    let mut number = |name: &str, value, default, min| {
        checker.number(&format!("timers.{name}"), value, default, min, HOUR_MS)
    };
    let timers = EntryTimers {
        heartbeat_ms: number("heartbeat_ms", timers.heartbeat_ms, 500, 10),
        revision_lease_ms: number("revision_lease_ms", timers.revision_lease_ms, 4_000, 100),
        address_max_age_ms: number("address_max_age_ms", timers.address_max_age_ms, 5_000, 100),
        upstream_lease_ms: number("upstream_lease_ms", timers.upstream_lease_ms, 4_000, 100),
        credit_lease_ms: number("credit_lease_ms", timers.credit_lease_ms, 3_000, 100),
        control_timeout_ms: number("control_timeout_ms", timers.control_timeout_ms, 5_000, 100),
        connect_timeout_ms: number("connect_timeout_ms", timers.connect_timeout_ms, 1_000, 10),
        resume_window_ms: number("resume_window_ms", timers.resume_window_ms, 5_000, 1),
    };
    if timers.revision_lease_ms < 3 * timers.heartbeat_ms {
        checker.report("timers.revision_lease_ms", "must be at least three times heartbeat_ms");
    }
    timers
}
