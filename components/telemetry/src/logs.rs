//! Log output in logfmt: one line of key=value pairs per event.

use std::fmt::Write as _;
use std::time::SystemTime;

use displaydoc::Display;
use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource};

use crate::kinds::LineKind;
use crate::panics::install_panic_hook;
use crate::sink::{start_writer, try_send};

const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// Error that prevents logging from starting.
#[derive(Debug, Display)]
pub enum LogError {
    /// the log level `{0}` is none of error, warn, info, debug and trace
    UnknownLevel(String),
    /// logging was started before: {0}
    AlreadyStarted(log::SetLoggerError),
}

impl std::error::Error for LogError {}

/// Starts logging to standard output, also of panics. The level applies to the crates listed in
/// the function, `info` if empty; all other crates log warnings and errors.
///
/// Logging never blocks: lines above the rate limit, and lines that find the
/// output queue full, are dropped and counted by kind; warnings, errors and ends of
/// requests last.
pub fn start_logs(level: &str) -> Result<(), LogError> {
    let level = match level {
        "" => DEFAULT_LEVEL,
        text => text.parse().map_err(|_| LogError::UnknownLevel(text.to_string()))?,
    };
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("daemon", level)
        .level_for("entry", level)
        .level_for("gateway", level)
        .level_for("platform", level)
        .level_for("shallottray_gateway", level)
        .level_for("shallottray_gateway_control", level)
        .level_for("control", level)
        .level_for("placement", level)
        .level_for("standin", level)
        .level_for("wire", level)
        .chain(fern::Output::call(|record| {
            try_send(LineKind::of(record), format_line(SystemTime::now(), record));
        }))
        .apply()
        .map_err(LogError::AlreadyStarted)?;
    start_writer();
    install_panic_hook();
    Ok(())
}

fn format_line(now: SystemTime, record: &log::Record<'_>) -> String {
    let mut line = format!(
        "time={} level={} target={} event={}",
        humantime::format_rfc3339_millis(now),
        record.level().as_str().to_ascii_lowercase(),
        record.target(),
        quote(&record.args().to_string())
    );
    let _ = record.key_values().visit(&mut KeyValueWriter(&mut line));
    line
}

struct KeyValueWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let _ = write!(self.0, " {key}={}", quote(&value.to_string()));
        Ok(())
    }
}

/// Quotes a value that is empty or contains whitespace, control characters, `"` or
/// `=`, so that a log parser finds its end.
fn quote(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
    if !value.is_empty() && value.chars().all(plain) {
        value.to_string()
    } else {
        format!("{value:?}")
    }
}
