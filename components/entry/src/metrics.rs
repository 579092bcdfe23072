//! Metrics of an entry.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};
use telemetry::LATENCY_BUCKETS_SECONDS;

/// Metrics of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) tokens: IntCounterVec,
    pub(crate) first_token_seconds: HistogramVec,
    pub(crate) between_tokens_seconds: HistogramVec,
    pub(crate) stall_seconds: HistogramVec,
    pub(crate) queue_seconds: HistogramVec,
    pub(crate) waiting: IntGaugeVec,
    pub(crate) streams: IntGauge,
    pub(crate) credits: IntCounterVec,
    pub(crate) retries: IntCounterVec,
    pub(crate) control_seconds: Histogram,
    pub(crate) revision: IntGauge,
    pub(crate) confirmed_age_ms: IntGauge,
    pub(crate) mode: IntGaugeVec,
    pub(crate) owned_upstreams: IntGauge,
    pub(crate) known_upstreams: IntGauge,
    pub(crate) peer_bytes: IntGaugeVec,
    pub(crate) peer_messages: IntGauge,
}

struct Builder(Registry);

impl Builder {
    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(format!("shallottray_entry_{name}"), help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauge_vec(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let options = Opts::new(format!("shallottray_entry_{name}"), help);
        let gauge_vec = IntGaugeVec::new(options, &[label])?;
        self.0.register(Box::new(gauge_vec.clone()))?;
        Ok(gauge_vec)
    }

    fn counter_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let options = Opts::new(format!("shallottray_entry_{name}"), help);
        let counter_vec = IntCounterVec::new(options, labels)?;
        self.0.register(Box::new(counter_vec.clone()))?;
        Ok(counter_vec)
    }

    fn latency_histogram_vec(
        &self,
        name: &str,
        help: &str,
    ) -> Result<HistogramVec, prometheus::Error> {
        let options = HistogramOpts::new(format!("shallottray_entry_{name}"), help)
            .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let histograms = HistogramVec::new(options, &["service"])?;
        self.0.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }

    fn latency_histogram(&self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(format!("shallottray_entry_{name}"), help)
            .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let builder = Builder(telemetry::new_registry()?);
        Ok(Metrics {
            requests: builder.counter_vec(
                "requests_total",
                "Answered requests by service and verdict or error code.",
                &["service", "result"],
            )?,
            tokens: builder.counter_vec("tokens_total", "Relayed tokens.", &["service"])?,
            first_token_seconds: builder.latency_histogram_vec(
                "time_to_first_token_seconds",
                "Time from the request to its first token.",
            )?,
            between_tokens_seconds: builder
                .latency_histogram_vec("time_between_tokens_seconds", "Time between two tokens.")?,
            stall_seconds: builder.latency_histogram_vec(
                "stall_seconds",
                "Time without a token beyond the bound of the priority.",
            )?,
            queue_seconds: builder
                .latency_histogram_vec("queue_seconds", "Time that requests waited.")?,
            waiting: builder.gauge_vec("waiting", "Requests that wait.", "service")?,
            streams: builder.gauge("streams", "Open generations.")?,
            credits: builder.counter_vec(
                "credits_total",
                "Credit requests by outcome.",
                &["outcome"],
            )?,
            retries: builder.counter_vec("retries_total", "Retries by reason.", &["reason"])?,
            control_seconds: builder.latency_histogram(
                "control_seconds",
                "Time of requests to the control processes.",
            )?,
            revision: builder.gauge("revision", "Revision in force.")?,
            confirmed_age_ms: builder.gauge(
                "revision_confirmed_age_milliseconds",
                "Time since the revision was last confirmed.",
            )?,
            mode: builder.gauge_vec("mode", "1 for the mode that the entry is in.", "mode")?,
            owned_upstreams: builder.gauge("owned_upstreams", "Upstreams that this entry owns.")?,
            known_upstreams: builder.gauge("known_upstreams", "Upstreams that it knows of.")?,
            peer_bytes: builder.gauge_vec(
                "peer_bytes",
                "Payload exchanged with other processes since the start.",
                "direction",
            )?,
            peer_messages: builder
                .gauge("peer_messages", "Messages exchanged with other processes.")?,
            registry: builder.0,
        })
    }
}
