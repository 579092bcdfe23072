//! Ejections of upstreams by what all gateways saw of them.

use balance::{EjectionChange, EjectionEnd, Evidence, Finding};
use compact_str::CompactString;
use schema::{SyncRequest, UpstreamEjection, UpstreamFinding};

use super::Replica;
use super::sync::GatewaySyncs;

/// Most findings of one sync request that count.
const MAX_FINDINGS: usize = 64;

impl GatewaySyncs {
    /// Records what a gateway saw, unless it reaches no upstream itself.
    pub(super) fn record_evidence(&mut self, request: &SyncRequest, now_ms: u64) {
        let witnesses = self.arbiter.witnesses_mut();
        if request.cut_off {
            log_ends(&witnesses.discredit(&request.vm));
            return;
        }
        for report in request.evidence.iter().take(MAX_FINDINGS) {
            let finding = match report.finding() {
                UpstreamFinding::Unreachable => Finding::Unreachable,
                UpstreamFinding::ConnectionLost => Finding::ConnectionLost,
                UpstreamFinding::Failing => Finding::Failing,
                UpstreamFinding::Answers => Finding::Answers,
                UpstreamFinding::Unspecified => continue,
            };
            let Some(observed_ms) = now_ms.checked_sub(report.age_ms) else { continue };
            let evidence = Evidence {
                id: report.id.as_str().into(),
                born_ms: report.born_ms,
                service: report.service.as_str().into(),
                serving: report.serving,
                finding,
                observed_ms,
            };
            match witnesses.report(&request.vm, evidence, now_ms) {
                Some(EjectionChange::Ejected { witnesses, left_ms }) => {
                    self.ejections += 1;
                    log::warn!(upstream = report.id.as_str(), service = report.service.as_str(), witnesses, left_ms, finding = report.finding().as_str_name(), vm = request.vm.as_str(), age_ms = report.age_ms; "upstream ejected for all gateways");
                }
                Some(EjectionChange::Ended(end)) => {
                    log_ends(&[(report.id.as_str().into(), end)]);
                }
                None => {}
            }
        }
    }

    /// Ends ejections that are too old or too many.
    pub(super) fn expire_ejections(&mut self, now_ms: u64) {
        log_ends(&self.arbiter.witnesses_mut().expire(now_ms));
    }

    /// Returns the ejections in force, for gateways.
    pub(super) fn ejection_messages(&self, now_ms: u64) -> Vec<UpstreamEjection> {
        let ejections = self.arbiter.witnesses().iter();
        let ejections = ejections.map(|(id, born_ms, ejection, _)| UpstreamEjection {
            id: id.to_string(),
            born_ms,
            left_ms: ejection.until_ms.saturating_sub(now_ms),
            passed_ms: now_ms.saturating_sub(ejection.until_ms),
        });
        ejections.collect()
    }
}

impl Replica {
    /// Updates the metrics of ejections.
    pub(super) fn update_ejection_metrics(&mut self) {
        let syncs = &mut self.gateway_syncs;
        let in_force = syncs.arbiter.witnesses().iter().count();
        self.metrics.ejected.set(i64::try_from(in_force).unwrap_or(i64::MAX));
        self.metrics.ejections.inc_by(std::mem::take(&mut syncs.ejections));
    }
}

fn log_ends(ended: &[(CompactString, EjectionEnd)]) {
    for (id, end) in ended {
        let reason = match end {
            EjectionEnd::Answers => "it answers",
            EjectionEnd::Replaced => "a new incarnation has started",
            EjectionEnd::WitnessCutOff => "its only witness reaches no upstream",
            EjectionEnd::Untried => "no request has tried it",
            EjectionEnd::TooMany => "too many of its service are ejected",
        };
        log::info!(upstream = id.as_str(), reason; "ejection of upstream ended");
    }
}
