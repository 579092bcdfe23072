//! What the arbiter learns of the speed of engines: metrics and log lines.

use compact_str::CompactString;
use std::collections::HashSet;

use super::Replica;

/// Interval between updates.
const INTERVAL_MS: u64 = 1_000;
/// Share of late events from which an engine is reported: a stream of a hundred events is
/// as likely as not to miss its gap target.
const SLOW_LATE_SHARE: f64 = 0.007;
/// Share below which it is reported as good again.
const GOOD_LATE_SHARE: f64 = 0.003;

/// Engines whose streams are likely to miss their gap targets.
#[derive(Debug, Default)]
pub(super) struct SlowEngines {
    next_update_ms: u64,
    ids: HashSet<CompactString>,
}

impl Replica {
    /// Updates the metrics of the speeds of engines, and logs those that became slow.
    pub(super) fn update_speed_metrics(&mut self, now_ms: u64) {
        if now_ms < self.slow_engines.next_update_ms {
            return;
        }
        self.slow_engines.next_update_ms = now_ms + INTERVAL_MS;
        let speeds = self.gateway_syncs.arbiter.speeds();
        let slow = &mut self.slow_engines.ids;
        slow.retain(|id| speeds.get(id, now_ms).is_some());
        self.metrics.speeds.reset();
        for id in speeds.ids() {
            let Some(speed) = speeds.get(id, now_ms) else { continue };
            let set = |value, number| {
                self.metrics.speeds.with_label_values(&[id, value]).set(number);
            };
            set("mean_gap_ms", speed.mean_gap_ms);
            set("late_share", speed.late_share);
            set("prefill_speed", speed.prefill_speed);
            set("age_ms", speed.age_ms as f64);
            if speed.late_share >= SLOW_LATE_SHARE && slow.insert(id.into()) {
                log::info!(upstream = id, mean_gap_ms = speed.mean_gap_ms, late_share = speed.late_share, prefill_speed = speed.prefill_speed; "streams at this engine are likely to miss their gap target");
            } else if speed.late_share < GOOD_LATE_SHARE && slow.remove(id) {
                log::info!(upstream = id, mean_gap_ms = speed.mean_gap_ms, late_share = speed.late_share, prefill_speed = speed.prefill_speed; "streams at this engine keep their gap target again");
            }
        }
    }
}
