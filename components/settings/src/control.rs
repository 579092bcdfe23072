//! Settings of `shallottray-control`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use schema::{ControlLimits, ControlSettings, ControlTimers, TelemetrySettings};
use units::{DataCentre, Name, VmName};

use crate::checker::{Checker, load};
use crate::{PeerTls, SettingsError};

const HOUR_MS: u64 = 60 * 60 * 1_000;
const MIB: u64 = 1 << 20;
/// Announcement interval of the stand-in upstreams of entries: a quarter of the
/// default `upstream_lease_ms`, which is 4 s.
const DEFAULT_ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// Validated settings of one control process.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlConfig {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Name,
    /// Listen address for the system's own processes.
    pub peer_address: SocketAddr,
    /// Peer address advertised to the system's own processes.
    pub advertised_peer_address: SocketAddr,
    /// Listen address for metrics and health checks.
    pub http_address: SocketAddr,
    /// Data folder.
    pub data_path: PathBuf,
    /// Peer addresses of all control processes, or of the seeds if `seed_addresses`
    /// is set.
    pub control_addresses: Vec<SocketAddr>,
    /// How peers are authenticated.
    pub tls: PeerTls,
    /// Settings of logs and traces.
    pub telemetry: TelemetrySettings,
    /// Target number of voters in the control group.
    pub target_voters: u32,
    /// Timeouts, intervals, lease duration and record retention.
    pub timers: ControlTimers,
    /// Limits on the replicated state, the log, snapshots and queued proposals.
    pub limits: ControlLimits,
    /// Whether the system is started for the first time: the seed with the lowest
    /// address then bootstraps the control group.
    pub first_start: bool,
    /// Number of control VMs whose simultaneous loss the group tolerates. If above
    /// 0, the group replaces lost voters by itself; if 0, operators replace them.
    pub tolerated_losses: u32,
    /// Listen address for operators and for the upstreams of gateways; disabled if
    /// `None`.
    pub gateway_api_address: Option<SocketAddr>,
    /// Listen address on which callers look up gateways; disabled if `None`.
    pub directory_address: Option<SocketAddr>,
    /// Expected interval between the announcements of an upstream of the gateways.
    pub announce_interval_ms: u64,
    /// Callers are referred to gateways in proportion to what each can take.
    pub weighted_addresses: bool,
}

impl ControlConfig {
    /// Returns the names of the settings that differ from `other` and need a
    /// restart: all except `control_addresses` and `first_start`, which has no
    /// effect once the group exists.
    pub fn restart_needed(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("vm", self.vm == other.vm),
            ("data_centre", self.data_centre == other.data_centre),
            ("region", self.region == other.region),
            ("peer_address", self.peer_address == other.peer_address),
            (
                "advertised_peer_address",
                self.advertised_peer_address == other.advertised_peer_address,
            ),
            ("http_address", self.http_address == other.http_address),
            ("data_path", self.data_path == other.data_path),
            ("tls", self.tls == other.tls),
            ("telemetry", self.telemetry == other.telemetry),
            ("target_voters", self.target_voters == other.target_voters),
            ("timers", self.timers == other.timers),
            ("limits", self.limits == other.limits),
            ("tolerated_losses", self.tolerated_losses == other.tolerated_losses),
            ("gateway_api_address", self.gateway_api_address == other.gateway_api_address),
            ("directory_address", self.directory_address == other.directory_address),
            ("announce_interval_ms", self.announce_interval_ms == other.announce_interval_ms),
            ("weighted_addresses", self.weighted_addresses == other.weighted_addresses),
        ];
        fields.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }
}

/// Loads and validates the settings of a control process.
pub fn load_control(path: &Path) -> Result<ControlConfig, SettingsError> {
    load(path, check)
}

fn check(settings: ControlSettings, checker: &mut Checker<'_>) -> Option<ControlConfig> {
    let vm = checker.parse("vm", &settings.vm);
    let data_centre = checker.parse("data_centre", &settings.data_centre);
    let region = checker.parse("region", &settings.region);
    let peer_address = checker.address("peer_address", &settings.peer_address);
    let advertised_peer = match settings.advertised_peer_address.as_str() {
        "" => peer_address,
        text => checker.address("advertised_peer_address", text),
    };
    let http_address = checker.address("http_address", &settings.http_address);
    let control_addresses = if settings.seed_addresses.is_empty() {
        checker.addresses("control_addresses", &settings.control_addresses)
    } else {
        checker.seed_addresses(&settings.seed_addresses, settings.seed_peer_port)
    };
    let mut optional = |field: &str, text: &str| match text {
        "" => None,
        text => checker.address(field, text),
    };
    let gateway_api_address = optional("gateway_api_address", &settings.gateway_api_address);
    let directory_address = optional("directory_address", &settings.directory_address);
    if settings.data_path.is_empty() {
        checker.report("data_path", "must name the data folder");
    }
    let tls = checker.peer_tls(settings.peer_security, settings.tls);
    let announce_interval_ms = checker.number(
        "announce_interval_ms",
        settings.announce_interval_ms,
        DEFAULT_ANNOUNCE_INTERVAL_MS,
        1,
        HOUR_MS,
    );
    let voters_to_tolerate = |losses: u32| losses.saturating_mul(2).saturating_add(1);
    let default_voters = voters_to_tolerate(settings.tolerated_losses.max(1));
    let target_voters =
        checker.number("target_voters", settings.target_voters, default_voters, 1, 9);
    if target_voters.is_multiple_of(2) {
        checker.report("target_voters", "must be odd; an even number tolerates no more failures");
    }
    let timers = timers(settings.timers.unwrap_or_default(), checker);
    let limits = limits(settings.limits.unwrap_or_default(), checker);
    Some(ControlConfig {
        vm: vm?,
        data_centre: data_centre?,
        region: region?,
        peer_address: peer_address?,
        advertised_peer_address: advertised_peer?,
        http_address: http_address?,
        data_path: settings.data_path.into(),
        control_addresses,
        tls,
        telemetry: settings.telemetry.unwrap_or_default(),
        target_voters,
        timers,
        limits,
        first_start: settings.first_start,
        tolerated_losses: settings.tolerated_losses,
        gateway_api_address,
        directory_address,
        announce_interval_ms,
        weighted_addresses: settings.weighted_addresses,
    })
}

fn timers(timers: ControlTimers, checker: &mut Checker<'_>) -> ControlTimers {
    let mut number = |name: &str, value, default, max| {
        checker.number(&format!("timers.{name}"), value, default, 1, max)
    };
    let timers = ControlTimers {
        tick_ms: number("tick_ms", timers.tick_ms, 20, 1_000),
        heartbeat_ms: number("heartbeat_ms", timers.heartbeat_ms, 100, HOUR_MS),
        election_ms: number("election_ms", timers.election_ms, 800, HOUR_MS),
        entry_lease_ms: number("entry_lease_ms", timers.entry_lease_ms, 3_000, HOUR_MS),
        record_retention_ms: number(
            "record_retention_ms",
            timers.record_retention_ms,
            10 * 60 * 1_000,
            30 * 24 * HOUR_MS,
        ),
    };
    if timers.election_ms < 3 * timers.heartbeat_ms {
        checker.report("timers.election_ms", "must be at least three times heartbeat_ms");
    }
    timers
}

fn limits(limits: ControlLimits, checker: &mut Checker<'_>) -> ControlLimits {
    ControlLimits {
        max_answer_bytes: checker.number(
            "limits.max_answer_bytes",
            limits.max_answer_bytes,
            MIB,
            1,
            64 * MIB,
        ),
        max_records: checker.number(
            "limits.max_records",
            limits.max_records,
            1_000_000,
            1,
            u32::MAX,
        ),
        kept_revisions: checker.number(
            "limits.kept_revisions",
            limits.kept_revisions,
            16,
            1,
            1_000,
        ),
        snapshot_entries: checker.number(
            "limits.snapshot_entries",
            limits.snapshot_entries,
            10_000,
            10,
            10_000_000,
        ),
        snapshot_log_bytes: checker.number(
            "limits.snapshot_log_bytes",
            limits.snapshot_log_bytes,
            32 * MIB,
            64 << 10,
            64 << 30,
        ),
        max_queued_proposals: checker.number(
            "limits.max_queued_proposals",
            limits.max_queued_proposals,
            20_000,
            1,
            1_000_000,
        ),
    }
}
