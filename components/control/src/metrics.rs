//! Metrics of a control process.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use telemetry::LATENCY_BUCKETS_SECONDS;

/// Metrics of a control process.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) term: IntGauge,
    pub(crate) is_leader: IntGauge,
    pub(crate) commit_index: IntGauge,
    pub(crate) applied_index: IntGauge,
    pub(crate) log_bytes: IntGauge,
    pub(crate) disk_available: IntGauge,
    pub(crate) revision: IntGauge,
    pub(crate) records: IntGauge,
    pub(crate) members: IntGauge,
    pub(crate) requests: IntCounterVec,
    pub(crate) leader_changes: IntCounter,
    pub(crate) crashes: IntCounter,
    pub(crate) quarantined: IntGauge,
    pub(crate) evacuated: IntGauge,
    pub(crate) limits: GaugeVec,
    pub(crate) ejected: IntGauge,
    pub(crate) ejections: IntCounter,
    pub(crate) speeds: GaugeVec,
    pub(crate) gateway_weights: GaugeVec,
    /// Shares of the callers of data centres that are referred to others.
    pub(crate) diverted_shares: GaugeVec,
    /// Requests that were delayed or rejected, by service and outcome.
    pub(crate) waits: IntCounterVec,
    pub(crate) commit_seconds: Histogram,
    pub(crate) sync_seconds: Histogram,
    pub(crate) sync_entries: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = telemetry::new_registry()?;
        wire::register_traffic_metrics(&registry)?;
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(format!("shallottray_control_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let histogram = |name: &str, help: &str, buckets: Vec<f64>| {
            let options = HistogramOpts::new(format!("shallottray_control_{name}"), help);
            let histogram = Histogram::with_opts(options.buckets(buckets))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let requests = IntCounterVec::new(
            Opts::new("shallottray_control_requests_total", "Requests by kind."),
            &["kind"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        let leader_changes = IntCounter::new(
            "shallottray_control_leader_changes_total",
            "Times that this process became leader.",
        )?;
        registry.register(Box::new(leader_changes.clone()))?;
        let crashes = IntCounter::new(
            "shallottray_control_crash_reports_total",
            "Requests that had no answer when their upstream crashed.",
        )?;
        registry.register(Box::new(crashes.clone()))?;
        let ejections = IntCounter::new(
            "shallottray_control_upstream_ejections_total",
            "Times that an upstream was ejected for all gateways, or for longer.",
        )?;
        registry.register(Box::new(ejections.clone()))?;
        let limits = GaugeVec::new(
            Opts::new(
                "shallottray_control_upstream_limits",
                "Limits that upstreams name, and requests granted and refused under them.",
            ),
            &["upstream", "value"],
        )?;
        registry.register(Box::new(limits.clone()))?;
        let speeds = GaugeVec::new(
            Opts::new(
                "shallottray_control_engine_speed",
                "Speed of engines as the arbiter learned it, and its age.",
            ),
            &["upstream", "value"],
        )?;
        registry.register(Box::new(speeds.clone()))?;
        let gateway_weights = GaugeVec::new(
            Opts::new(
                "shallottray_control_gateway_weights",
                "Weights of gateways in the addresses that callers get, and used shares of VMs.",
            ),
            &["vm", "value"],
        )?;
        registry.register(Box::new(gateway_weights.clone()))?;
        let diverted_shares = GaugeVec::new(
            Opts::new(
                "shallottray_control_diverted_callers",
                "Share of the callers of a data centre that are referred to others.",
            ),
            &["data_centre"],
        )?;
        registry.register(Box::new(diverted_shares.clone()))?;
        let waits = IntCounterVec::new(
            Opts::new(
                "shallottray_control_waits_total",
                "Requests that waited for a slot or were rejected.",
            ),
            &["service", "outcome"],
        )?;
        registry.register(Box::new(waits.clone()))?;
        let latency = LATENCY_BUCKETS_SECONDS.to_vec();
        let disk_available = gauge("disk_available", "1 while the disk accepts writes.")?;
        disk_available.set(1);
        let entries = prometheus::exponential_buckets(1.0, 2.0, 12)?;
        Ok(Metrics {
            term: gauge("term", "Current term.")?,
            is_leader: gauge("is_leader", "1 on the leader.")?,
            commit_index: gauge("commit_index", "Last committed log index.")?,
            applied_index: gauge("applied_index", "Last applied log index.")?,
            log_bytes: gauge("log_bytes", "Size of the log on disk.")?,
            disk_available,
            revision: gauge("revision", "Published revision.")?,
            records: gauge("records", "At-most-once records held.")?,
            members: gauge("members", "Entries that hold a lease.")?,
            requests,
            leader_changes,
            crashes,
            limits,
            ejected: gauge("ejected_upstreams", "Upstreams that are ejected for all gateways.")?,
            ejections,
            speeds,
            gateway_weights,
            diverted_shares,
            waits,
            quarantined: gauge("quarantined_parts", "Prompt parts under quarantine.")?,
            evacuated: gauge("evacuated_data_centres", "Data centres that are evacuated.")?,
            commit_seconds: histogram(
                "commit_seconds",
                "Time from proposal to commit.",
                latency.clone(),
            )?,
            sync_seconds: histogram("sync_seconds", "Time of one write and sync.", latency)?,
            sync_entries: histogram("sync_entries", "Entries in one sync.", entries)?,
            registry,
        })
    }
}
