//! Prometheus registry and text exposition format.

use prometheus::process_collector::ProcessCollector;
use prometheus::{Encoder as _, Registry, TextEncoder};

use crate::dropped::DroppedKind;
use crate::sink::{dropped_kinds, dropped_log_lines};

/// Histogram buckets for latencies from a millisecond to a minute, in seconds.
pub const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.75, 1.5, 5.0, 15.0, 60.0];

/// Creates a registry that also exports CPU time and memory of the process.
///
/// ```
/// let registry = telemetry::new_registry()?;
/// assert!(telemetry::encode_metrics(&registry).contains("process_cpu_seconds_total"));
/// # Ok::<(), prometheus::Error>(())
/// ```
pub fn new_registry() -> Result<Registry, prometheus::Error> {
    let registry = Registry::new();
    registry.register(Box::new(ProcessCollector::for_self()))?;
    Ok(registry)
}

/// Encodes a registry in the Prometheus text format, followed by the counters of
/// dropped log lines and of panics.
///
/// ```
/// let registry = prometheus::Registry::new();
/// let counter = prometheus::IntCounter::new("requests_total", "Requests.")?;
/// registry.register(Box::new(counter))?;
/// assert!(telemetry::encode_metrics(&registry).contains("requests_total 0"));
/// # Ok::<(), prometheus::Error>(())
/// ```
pub fn encode_metrics(registry: &Registry) -> String {
    let mut text = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut text) {
        log::error!(error = error.to_string().as_str(); "cannot encode metrics");
    }
    let mut text = String::from_utf8(text).unwrap_or_default();
    text.push_str(&encode_dropped(dropped_log_lines(), &dropped_kinds()));
    text.push_str("# TYPE shallottray_panics_total counter\n");
    text.push_str(&format!("shallottray_panics_total {}\n", crate::panics()));
    text
}

/// Encodes the counters of dropped log lines.
fn encode_dropped(total: u64, kinds: &[DroppedKind]) -> String {
    let mut text = format!(
        "# TYPE shallottray_log_lines_dropped_total counter\n\
         shallottray_log_lines_dropped_total {total}\n\
         # TYPE shallottray_log_lines_dropped_by_kind_total counter\n"
    );
    for kind in kinds {
        let (target, event, total) = (label(&kind.target), label(kind.event), kind.total);
        text.push_str(&format!(
            "shallottray_log_lines_dropped_by_kind_total{{target={target},event={event}}} {total}\n"
        ));
    }
    text
}

/// Quotes the value of a label.
fn label(value: &str) -> String {
    format!("\"{}\"", value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n"))
}

#[cfg(test)]
#[path = "../tests/unit/metrics.rs"]
mod tests;
