//! Logs, metrics and traces.

mod logs;
mod metrics;
mod spanfile;
mod spans;

pub use logs::{LogError, start_logs};
pub use metrics::{LATENCY_BUCKETS_SECONDS, encode_metrics, new_registry};
pub use spans::{Span, SpanError, Spans};
