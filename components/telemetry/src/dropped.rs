//! Counts of the log lines that were dropped, by kind.

use std::fmt::Write as _;

use crate::kinds::LineKind;

/// Kinds that are counted by themselves; further ones are counted together.
const MAX_KINDS: usize = 128;
/// Kinds that a report names, those with most lines first.
const MAX_REPORTED_KINDS: usize = 8;
/// Target of the kinds that are counted together.
const OTHER: &str = "other";

/// Lines of one kind that were dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DroppedKind {
    pub(crate) target: String,
    pub(crate) event: &'static str,
    pub(crate) total: u64,
    /// Those since the last report.
    unreported: u64,
}

/// Lines that were dropped.
#[derive(Debug, Default)]
pub(crate) struct DroppedLines {
    total: u64,
    unreported: u64,
    kinds: Vec<DroppedKind>,
}

impl DroppedLines {
    pub(crate) fn record(&mut self, kind: LineKind<'_>) {
        self.total += 1;
        self.unreported += 1;
        let count = self.count(kind.target, kind.event);
        count.total += 1;
        count.unreported += 1;
    }

    fn count(&mut self, target: &str, event: &'static str) -> &mut DroppedKind {
        let find = |kinds: &[DroppedKind], target: &str, event: &str| {
            kinds.iter().position(|kind| kind.target == target && kind.event == event)
        };
        let is_full = self.kinds.len() >= MAX_KINDS;
        let found = find(&self.kinds, target, event);
        let (target, event) =
            if found.is_none() && is_full { (OTHER, "") } else { (target, event) };
        let index = found.or_else(|| find(&self.kinds, target, event)).unwrap_or_else(|| {
            let target = target.to_string();
            self.kinds.push(DroppedKind { target, event, total: 0, unreported: 0 });
            self.kinds.len() - 1
        });
        &mut self.kinds[index]
    }

    /// Returns the number of lines since the process started.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the number of lines since the last report.
    pub(crate) fn unreported(&self) -> u64 {
        self.unreported
    }

    pub(crate) fn kinds(&self) -> &[DroppedKind] {
        &self.kinds
    }

    /// Returns a line on what was dropped since the last report.
    pub(crate) fn take_report(&mut self) -> String {
        let mut kinds: Vec<(u64, &str, &str)> = Vec::new();
        for kind in &mut self.kinds {
            let lines = std::mem::take(&mut kind.unreported);
            if lines > 0 {
                kinds.push((lines, &kind.target, kind.event));
            }
        }
        kinds.sort_by(|a, b| b.cmp(a));
        let mut named = String::new();
        for (index, (lines, target, event)) in kinds.iter().take(MAX_REPORTED_KINDS).enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            let _ = write!(named, "{separator}{lines} {target}: {event}");
        }
        let lines = std::mem::take(&mut self.unreported);
        format!(
            "level=warn target=telemetry event=\"log lines dropped\" lines={lines} kinds={named:?}"
        )
    }
}
