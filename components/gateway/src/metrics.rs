//! Metrics of a gateway.

use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use telemetry::LATENCY_BUCKETS_SECONDS;

#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    /// Requests by service and outcome.
    pub(crate) requests: IntCounterVec,
    /// Time from the arrival of a request to the head of its response, by service.
    pub(crate) latency: HistogramVec,
    /// Connections opened to upstreams, by service.
    pub(crate) connections_opened: IntCounterVec,
    /// Moves of generations to other engines, by outcome.
    pub(crate) moves: IntCounterVec,
    /// Cancellations of generations at engines that their streams have left, by outcome.
    pub(crate) cancellations: IntCounterVec,
    /// Streams that have ended, by cause.
    pub(crate) streams_ended: IntCounterVec,
    /// Requests whose connection ended before their response was complete, by cause and stage.
    pub(crate) unfinished_requests: IntCounterVec,
    /// Requests rejected because they, or a part of their prompt, are quarantined.
    pub(crate) quarantine_rejections: IntCounter,
    /// Streams that callers took up again, by what is known of their origin.
    pub(crate) taken_up: IntCounterVec,
    /// Requests that were handed to other gateways, by outcome.
    pub(crate) forwarded: IntCounterVec,
    /// 1 while upstreams are out of reach.
    pub(crate) cut_off: IntGauge,
    /// Data centres that are evacuated.
    pub(crate) evacuated: IntGauge,
    /// Bytes of streams that their callers have not taken.
    pub(crate) held_bytes: IntGauge,
    /// Used shares of processor time and memory.
    pub(crate) pressure: GaugeVec,
    /// Requests in progress.
    pub(crate) in_flight: IntGauge,
    /// Upstreams that accept requests.
    pub(crate) upstreams: IntGauge,
    /// Number of the set of routes in force.
    pub(crate) set_number: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = telemetry::new_registry()?;
        wire::register_traffic_metrics(&registry)?;
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let options = Opts::new(format!("shallottray_gateway_{name}"), help);
            let counter = IntCounterVec::new(options, labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("shallottray_gateway_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let quarantine_rejections = IntCounter::new(
            "shallottray_gateway_quarantine_rejections_total",
            "Requests rejected because they, or a part of their prompt, are quarantined.",
        )?;
        registry.register(Box::new(quarantine_rejections.clone()))?;
        let latency = HistogramOpts::new(
            "shallottray_gateway_seconds",
            "Time from a request to the head of its answer.",
        );
        let latency = latency.buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let latency = HistogramVec::new(latency, &["service"])?;
        registry.register(Box::new(latency.clone()))?;
        let pressure = GaugeVec::new(
            Opts::new("shallottray_gateway_pressure", "Used shares of the VM, from 0 to 1."),
            &["resource"],
        )?;
        registry.register(Box::new(pressure.clone()))?;
        Ok(Metrics {
            requests: counter("requests_total", "Requests.", &["service", "outcome"])?,
            connections_opened: counter("connections_total", "Connections opened.", &["service"])?,
            moves: counter("moves_total", "Moves of generations.", &["outcome"])?,
            cancellations: counter(
                "cancellations_total",
                "Cancellations of generations at engines that their streams have left.",
                &["outcome"],
            )?,
            streams_ended: counter("streams_ended_total", "Streams that ended.", &["outcome"])?,
            unfinished_requests: counter(
                "unfinished_requests_total",
                "Requests whose connection ended before their response was complete.",
                &["cause", "stage"],
            )?,
            taken_up: counter("streams_taken_up_total", "Streams taken up again.", &["origin"])?,
            forwarded: counter("forwarded_total", "Requests handed on.", &["outcome"])?,
            cut_off: gauge("cut_off", "1 while upstreams are out of reach.")?,
            evacuated: gauge("evacuated_data_centres", "Data centres that are evacuated.")?,
            held_bytes: gauge("held_bytes", "Bytes of streams held for their callers.")?,
            in_flight: gauge("in_flight", "Requests in progress.")?,
            upstreams: gauge("upstreams", "Upstreams that take work.")?,
            set_number: gauge("set_number", "Number of the set of routes in force.")?,
            latency,
            pressure,
            quarantine_rejections,
            registry,
        })
    }
}
