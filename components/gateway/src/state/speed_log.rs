//! What this gateway observes of the speed of engines, and what of it the arbiter knows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use balance::SpeedReport;
use compact_str::CompactString;

/// Events of an engine that are kept for the next arbiter: about as many as an arbiter
/// remembers, over all gateways.
const KEPT_EVENTS: u32 = 200;
/// Prompt tokens of an engine that are kept for the next arbiter.
const KEPT_PREFILL_TOKENS: u64 = 10_000;
/// Time for which the observations of an engine are kept.
const RETENTION_MS: u64 = 30_000;

#[derive(Debug, Default)]
struct Observed {
    /// Not reported yet.
    new: SpeedReport,
    /// Recent ones, with those not reported yet.
    recent: SpeedReport,
    observed_ms: u64,
}

/// Observations of the speed of engines.
#[derive(Debug, Default)]
pub(crate) struct SpeedLog {
    engines: HashMap<CompactString, Observed>,
    /// Process that the last report went to, with the start of its registry.
    reported_to: Option<(SocketAddr, u64)>,
}

impl SpeedLog {
    /// Records an event of a stream, `gap` after the one before it.
    pub(crate) fn record_event(&mut self, engine: &str, gap: Duration, is_late: bool, now_ms: u64) {
        let gaps_ms = u32::try_from(gap.as_millis()).unwrap_or(u32::MAX);
        let late_gaps = is_late.into();
        self.record(
            engine,
            SpeedReport { events: 1, gaps_ms, late_gaps, ..SpeedReport::default() },
            now_ms,
        );
    }

    /// Records the end of a prefill, `elapsed_ms` after it was requested.
    pub(crate) fn record_prefill(
        &mut self,
        engine: &str,
        backlog_tokens: u64,
        elapsed_ms: u64,
        now_ms: u64,
    ) {
        let prefill_ms = u32::try_from(elapsed_ms).unwrap_or(u32::MAX);
        let report =
            SpeedReport { prefill_tokens: backlog_tokens, prefill_ms, ..SpeedReport::default() };
        self.record(engine, report, now_ms);
    }

    fn record(&mut self, engine: &str, report: SpeedReport, now_ms: u64) {
        let observed = self.engines.entry(engine.into()).or_default();
        observed.new.merge(report);
        observed.recent.merge(report);
        let recent = &mut observed.recent;
        if recent.events >= 2 * KEPT_EVENTS {
            recent.events /= 2;
            recent.gaps_ms /= 2;
            recent.late_gaps /= 2;
        }
        if recent.prefill_tokens >= 2 * KEPT_PREFILL_TOKENS {
            recent.prefill_tokens /= 2;
            recent.prefill_ms /= 2;
        }
        observed.observed_ms = now_ms;
    }

    /// Takes what the arbiter does not know: the new observations, and all recent ones if
    /// it is another process than the last one, or has started again.
    pub(crate) fn take_reports(
        &mut self,
        address: SocketAddr,
        registry_epoch: u64,
        now_ms: u64,
    ) -> HashMap<CompactString, SpeedReport> {
        self.engines.retain(|_, observed| now_ms < observed.observed_ms + RETENTION_MS);
        let arbiter = Some((address, registry_epoch));
        let is_same = self.reported_to == arbiter;
        self.reported_to = arbiter;
        let take = |(id, observed): (&CompactString, &mut Observed)| {
            let new = std::mem::take(&mut observed.new);
            let report = if is_same { new } else { observed.recent };
            (report != SpeedReport::default()).then(|| (id.clone(), report))
        };
        self.engines.iter_mut().filter_map(take).collect()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/speed_log.rs"]
mod tests;
