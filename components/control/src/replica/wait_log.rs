//! Log lines and counts of requests that were delayed or rejected.

use balance::WaitAccount;

use crate::metrics::Metrics;

/// Period to which the limit of log lines applies.
const PERIOD_MS: u64 = 1_000;
/// Log lines in one period; a surge of refusals is not to cost the time that grants need.
const MAX_LINES: u32 = 50;

/// Logs accounts of waits, at a limited rate.
#[derive(Debug, Default)]
pub(super) struct WaitLog {
    period: u64,
    lines: u32,
    suppressed: u32,
}

impl WaitLog {
    /// Logs and counts the waits that ended.
    pub(super) fn record(&mut self, accounts: &[WaitAccount], metrics: &Metrics, now_ms: u64) {
        for account in accounts {
            metrics
                .waits
                .with_label_values(&[account.service.as_str(), account.outcome.as_str()])
                .inc();
            if self.may_log(now_ms) {
                log_account(account);
            }
        }
    }

    fn may_log(&mut self, now_ms: u64) -> bool {
        let period = now_ms / PERIOD_MS;
        if period != self.period {
            if self.suppressed > 0 {
                log::info!(lines = self.suppressed; "log lines of delayed requests suppressed");
            }
            *self = WaitLog { period, ..WaitLog::default() };
        }
        self.lines += 1;
        let may_log = self.lines <= MAX_LINES;
        self.suppressed += u32::from(!may_log);
        may_log
    }
}

fn log_account(account: &WaitAccount) {
    log::info!(vm = account.entry.as_str(), number = account.request_number, reason = account.outcome.as_str(), service = account.service.as_str(), route = account.route.as_str(), workspace = account.workspace.as_str(), rank = account.ranks.0, route_rank = account.ranks.1, work_ms = account.work_ms, due_in_ms = account.due_in_ms, waited_ms = account.waited_ms, ahead = account.ahead, ahead_work_ms = account.ahead_work_ms, owed = account.is_owed; "wait for a slot ended");
}
