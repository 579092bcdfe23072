//! Logging, Prometheus metrics and trace spans of a process.

mod dropped;
mod kinds;
mod logs;
mod metrics;
mod panics;
mod repeats;
mod sink;
mod spanfile;
mod spans;

pub use logs::{LogError, start_logs};
pub use metrics::{LATENCY_BUCKETS_SECONDS, encode_metrics, new_registry};
pub use panics::{install_panic_hook, panics};
pub use repeats::OncePerKey;
pub use sink::{dropped_log_lines, flush_logs};
pub use spans::{Span, SpanError, Spans};
