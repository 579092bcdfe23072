//! Trace spans, propagated between processes as W3C trace context.

use displaydoc::Display;
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, Status, TraceContextExt as _, TraceFlags, TraceId, TraceState,
    Tracer as _, TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{WithExportConfig as _, WithHttpConfig as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use schema::TelemetrySettings;

use crate::spanfile::SpanFile;

const TRACEPARENT_VERSION: &str = "00";
const OTLP_TRACES_PATH: &str = "/v1/traces";

/// Error that prevents span exporters from starting.
#[derive(Debug, Display)]
pub enum SpanError {
    /// cannot open the span file {0}: {1}
    File(String, std::io::Error),
    /// cannot set up the exporter for {0}: {1}
    Otlp(String, String),
}

impl std::error::Error for SpanError {}

/// Creates the spans of one process.
#[derive(Clone, Debug)]
pub struct Spans {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Spans {
    /// Sets up the exporters enabled in the settings. Without exporters, spans
    /// still propagate the trace context.
    pub fn start(process: &str, settings: &TelemetrySettings) -> Result<Self, SpanError> {
        let resource = Resource::builder().with_service_name(process.to_string()).build();
        let mut builder = SdkTracerProvider::builder().with_resource(resource);
        if !settings.span_path.is_empty() {
            let file = SpanFile::open(&settings.span_path, process)
                .map_err(|error| SpanError::File(settings.span_path.clone(), error))?;
            builder = builder.with_batch_exporter(file);
        }
        if !settings.otlp_endpoint.is_empty() {
            let failed = |error: &dyn std::fmt::Display| {
                SpanError::Otlp(settings.otlp_endpoint.clone(), error.to_string())
            };
            let endpoint = settings.otlp_endpoint.trim_end_matches('/');
            let exporter = opentelemetry_otlp::SpanExporter::builder()
                .with_http()
                .with_endpoint(format!("{endpoint}{OTLP_TRACES_PATH}"))
                .with_headers(Default::default())
                .build()
                .map_err(|error| failed(&error))?;
            builder = builder.with_batch_exporter(exporter);
        }
        let provider = builder.build();
        let tracer = provider.tracer("shallottray");
        Ok(Spans { provider, tracer })
    }

    /// Starts a server span for a request to this process, with the parent in
    /// `traceparent`; without a valid parent, it starts a new trace.
    pub fn start_server_span(&self, name: &'static str, traceparent: &str) -> Span {
        let parent = match parse_traceparent(traceparent) {
            Some(remote) => Context::new().with_remote_span_context(remote),
            None => Context::new(),
        };
        self.start_span(name, SpanKind::Server, &parent)
    }

    /// Starts a client span for a request that this process sends, as a child of
    /// `parent`.
    pub fn start_client_span(&self, name: &'static str, parent: &Span) -> Span {
        self.start_span(name, SpanKind::Client, &parent.context)
    }

    fn start_span(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Span {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        Span { context: parent.with_span(span) }
    }

    /// Exports buffered spans and stops the exporters.
    pub fn shutdown(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!(error = error.to_string().as_str(); "trace exporter shutdown failed; buffered spans may be lost");
        }
    }
}

/// Open span; it ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Span {
    /// Returns the `traceparent` value to send with a request of this span.
    pub fn traceparent(&self) -> String {
        let context = self.context.span().span_context().clone();
        let flags = context.trace_flags().to_u8();
        let (trace, span) = (context.trace_id(), context.span_id());
        format!("{TRACEPARENT_VERSION}-{trace}-{span}-{flags:02x}")
    }

    /// Sets an attribute.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }

    /// Sets the span status to error.
    pub fn set_error(&self, message: impl Into<String>) {
        self.context.span().set_status(Status::error(message.into()));
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let version = parts.next()?;
    let (trace, span, flags) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || version == "ff" || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let trace = TraceId::from_hex(trace).ok()?;
    let span = SpanId::from_hex(span).ok()?;
    let flags = TraceFlags::new(u8::from_str_radix(flags, 16).ok()?);
    let context = SpanContext::new(trace, span, flags, true, TraceState::default());
    context.is_valid().then_some(context)
}
