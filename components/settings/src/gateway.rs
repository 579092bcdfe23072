//! Settings of `shallottray-gateway`.

use std::net::SocketAddr;
use std::path::Path;

use schema::{GatewayLimits, GatewaySettings, GatewayTimers, TelemetrySettings, VmSize};
use units::{DataCentre, Name, VmName};

use crate::checker::{Checker, load};
use crate::{PeerTls, SettingsError};

const MINUTE_MS: u64 = 60 * 1_000;
const HOUR_S: f64 = 3_600.0;
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// Validated settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address of the readiness check.
    pub ready_address: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Listen address for the system's own processes.
    pub peer_address: SocketAddr,
    /// How peers are authenticated.
    pub tls: PeerTls,
    /// Seed peer addresses of control processes.
    pub seeds: Vec<SocketAddr>,
    /// Settings of logs and traces.
    pub telemetry: TelemetrySettings,
    /// Grace period and connect timeout.
    pub timers: GatewayTimers,
    /// Connection, buffer and retry limits of the gateway.
    pub limits: GatewayLimits,
    /// Requests that wait for an engine are ordered by what they cost their callers.
    pub order_by_cost: bool,
    /// Region of the data centre.
    pub region: Option<Name>,
    /// Size of the VM; 0 stands for what is not known.
    pub vm_size: VmSize,
    /// The gateway measures what it uses of its VM.
    pub measure_load: bool,
}

impl GatewayConfig {
    /// Returns the names of the settings that differ from `other` and need a
    /// restart: all except the seed addresses.
    pub fn restart_needed(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("vm", self.vm == other.vm),
            ("data_centre", self.data_centre == other.data_centre),
            ("caller_address", self.caller_address == other.caller_address),
            ("ready_address", self.ready_address == other.ready_address),
            ("metrics_address", self.metrics_address == other.metrics_address),
            ("peer_address", self.peer_address == other.peer_address),
            ("tls", self.tls == other.tls),
            ("telemetry", self.telemetry == other.telemetry),
            ("timers", self.timers == other.timers),
            ("limits", self.limits == other.limits),
            ("order_by_cost", self.order_by_cost == other.order_by_cost),
            ("region", self.region == other.region),
            ("vm_size", self.vm_size == other.vm_size),
            ("measure_load", self.measure_load == other.measure_load),
        ];
        fields.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }
}

/// Loads and validates the settings of a gateway.
pub fn load_gateway(path: &Path) -> Result<GatewayConfig, SettingsError> {
    load(path, check)
}

fn check(settings: GatewaySettings, checker: &mut Checker<'_>) -> Option<GatewayConfig> {
    let vm = checker.parse("vm", &settings.vm);
    let data_centre = checker.parse("data_centre", &settings.data_centre);
    let caller_address = checker.address("caller_address", &settings.caller_address);
    let ready_address = checker.address("ready_address", &settings.ready_address);
    let metrics_address = checker.address("metrics_address", &settings.metrics_address);
    let peer_address = checker.address("peer_address", &settings.peer_address);
    let tls = checker.peer_tls(settings.peer_security, settings.tls);
    let seeds = checker.seed_addresses(&settings.seed_addresses, settings.seed_peer_port);
    let timers = timers(settings.timers.unwrap_or_default(), checker);
    let limits = limits(settings.limits.unwrap_or_default(), checker);
    let region = match settings.region.as_str() {
        "" => None,
        text => checker.parse("region", text),
    };
    let vm_size = vm_size(settings.vm_size.unwrap_or_default(), checker);
    Some(GatewayConfig {
        vm: vm?,
        data_centre: data_centre?,
        caller_address: caller_address?,
        ready_address: ready_address?,
        metrics_address: metrics_address?,
        peer_address: peer_address?,
        tls,
        seeds,
        telemetry: settings.telemetry.unwrap_or_default(),
        timers,
        limits,
        order_by_cost: settings.order_by_cost,
        region,
        vm_size,
        measure_load: settings.measure_load,
    })
}

fn vm_size(size: VmSize, checker: &mut Checker<'_>) -> VmSize {
    VmSize {
        cores: checker.number("vm_size.cores", size.cores, 0.0, 0.001, 10_000.0),
        link_mbit_s: checker.number(
            "vm_size.link_mbit_s",
            size.link_mbit_s,
            0.0,
            0.001,
            1_000_000.0,
        ),
        memory_mib: checker.number("vm_size.memory_mib", size.memory_mib, 0, 1, 1 << 30),
    }
}

fn timers(timers: GatewayTimers, checker: &mut Checker<'_>) -> GatewayTimers {
    GatewayTimers {
        grace_period_s: checker.number(
            "timers.grace_period_s",
            timers.grace_period_s,
            30.0,
            0.1,
            HOUR_S,
        ),
        connect_timeout_ms: checker.number(
            "timers.connect_timeout_ms",
            timers.connect_timeout_ms,
            400,
            1,
            MINUTE_MS,
        ),
        upstream_drain_ms: checker.number(
            "timers.upstream_drain_ms",
            timers.upstream_drain_ms,
            2_000,
            1,
            MINUTE_MS,
        ),
    }
}

fn limits(limits: GatewayLimits, checker: &mut Checker<'_>) -> GatewayLimits {
    GatewayLimits {
        max_connections: checker.number(
            "limits.max_connections",
            limits.max_connections,
            1_500,
            1,
            100_000,
        ),
        max_buffered_bytes: checker.number(
            "limits.max_buffered_bytes",
            limits.max_buffered_bytes,
            32 * MIB,
            MIB,
            1_024 * MIB,
        ),
        retry_ratio: checker.number("limits.retry_ratio", limits.retry_ratio, 0.1, 0.0, 1.0),
        retry_allowance: checker.number(
            "limits.retry_allowance",
            limits.retry_allowance,
            20,
            0,
            100_000,
        ),
        retry_window_s: checker.number(
            "limits.retry_window_s",
            limits.retry_window_s,
            10.0,
            0.1,
            HOUR_S,
        ),
        max_held_bytes: checker.number(
            "limits.max_held_bytes",
            limits.max_held_bytes,
            16 * MIB,
            MIB,
            1_024 * MIB,
        ),
        max_held_stream_bytes: checker.number(
            "limits.max_held_stream_bytes",
            limits.max_held_stream_bytes,
            256 * KIB,
            16 * KIB,
            1_024 * MIB,
        ),
    }
}
