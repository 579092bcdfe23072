//! Span exporter that appends to a file in JSON Lines format.

use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use serde::Serialize;

/// Span exporter that appends one JSON object per line.
#[derive(Debug)]
pub(crate) struct SpanFile {
    process: String,
    file: Mutex<File>,
}

#[derive(Serialize)]
struct SpanLine<'a> {
    process: &'a str,
    name: &'a str,
    trace_id: String,
    span_id: String,
    parent_span_id: String,
    start_us: u128,
    duration_us: u128,
    status: String,
    attributes: serde_json::Map<String, serde_json::Value>,
}

impl SpanFile {
    pub(crate) fn open(path: &str, process: &str) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(SpanFile { process: process.to_string(), file: Mutex::new(file) })
    }

    fn write(&self, batch: &[SpanData]) -> std::io::Result<()> {
        let mut text = Vec::new();
        for span in batch {
            serde_json::to_writer(&mut text, &self.span_line(span))?;
            text.push(b'\n');
        }
        let mut file = self.file.lock().map_err(|_| std::io::Error::other("poisoned lock"))?;
        file.write_all(&text)
    }

    fn span_line<'a>(&'a self, span: &'a SpanData) -> SpanLine<'a> {
        let attributes = span
            .attributes
            .iter()
            .map(|pair| (pair.key.to_string(), pair.value.to_string().into()))
            .collect();
        let elapsed = span.end_time.duration_since(span.start_time).unwrap_or_default();
        SpanLine {
            process: &self.process,
            name: &span.name,
            trace_id: span.span_context.trace_id().to_string(),
            span_id: span.span_context.span_id().to_string(),
            parent_span_id: span.parent_span_id.to_string(),
            start_us: since_epoch_us(span.start_time),
            duration_us: elapsed.as_micros(),
            status: format!("{:?}", span.status),
            attributes,
        }
    }
}

impl SpanExporter for SpanFile {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(&batch).map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn since_epoch_us(time: SystemTime) -> u128 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros()
}
