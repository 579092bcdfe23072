//! Crashes of upstreams under requests that have no answer yet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::quarantine::{Crash, FeatureSet};
use schema::{CrashReport, Request, reply, request};
use tokio::time::{Instant, sleep, timeout};
use wire::{CallError, Link};

use crate::accept::Call;
use crate::place::is_draining_or_gone;
use crate::reach;
use crate::shared::Shared;
use crate::state::AnsweredFeatures;
use crate::target::Target;
use crate::timing::elapsed_ms;

/// Timeout of the connection that tells a crash from a fault of one request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a crash report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Delays before a crash report that was lost is sent again: another arbiter may have
/// taken over.
const RESEND_DELAYS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(1_200), Duration::from_millis(3_000)];

/// Crash of an upstream, and the request that had no answer.
#[derive(Clone, Debug)]
struct CrashedRequest {
    target: Target,
    features: FeatureSet,
    /// No other request was at the upstream.
    alone: bool,
    traceparent: String,
    sent: Instant,
    noticed: Instant,
}

impl CrashedRequest {
    fn to_report(&self, shared: &Shared, answered: AnsweredFeatures) -> CrashReport {
        CrashReport {
            vm: shared.config.vm.to_string(),
            upstream: self.target.id.to_string(),
            born_ms: self.target.born_ms,
            parts: self.features.part_ids(),
            request: self.features.request_id(),
            alone: self.alone,
            age_ms: elapsed_ms(self.noticed),
            sent_age_ms: elapsed_ms(self.sent),
            answered_parts: answered.parts,
            answered_requests: answered.requests,
        }
    }

    /// Sends the report to the arbiter; returns whether the request may be repeated.
    async fn report(&self, shared: &Shared, arbiter: &Link) -> Result<bool, CallError> {
        let answered = shared.quarantine.borrow_mut().take_answered();
        let report = self.to_report(shared, answered.clone());
        let body = Some(request::Body::Crash(report));
        let request = Request { traceparent: self.traceparent.clone(), body };
        let replied = arbiter.call(request, REPORT_TIMEOUT).await;
        if let Ok(reply::Body::Crash(reply)) = replied {
            if reply.pending {
                shared.quarantine.borrow_mut().hold(self.features.clone());
            }
            return Ok(reply.may_repeat);
        }
        shared.quarantine.borrow_mut().restore_answered(&answered);
        Err(replied.err().unwrap_or(CallError::UnexpectedReply))
    }
}

/// Handles the loss of an upstream before it began the answer to a request. Returns
/// whether the request may be sent to another upstream.
pub(crate) async fn handle_break_off(
    shared: &Rc<Shared>,
    call: &Call,
    target: &Target,
    sent: Instant,
) -> bool {
    let noticed = Instant::now();
    if shared.is_cut_off() {
        return true;
    }
    // An upstream that leaves may close connections and stop listening.
    let leaving = is_draining_or_gone(shared, target);
    let alone = shared.loads.borrow().own_running(&target.id) == 0;
    // Links of this gateway that refuse connections to all upstreams look like crashes.
    let crashed = !leaving
        && refuses_connections(shared, target.address).await
        && !Box::pin(reach::confirm_cut_off(shared)).await;
    log::info!(request = call.head.id.as_str(), upstream = target.id.as_str(), born_ms = target.born_ms, features = call.features.to_string().as_str(), leaving, alone, crashed; "upstream broke off before an answer began");
    if !crashed {
        return true;
    }
    let crash = CrashedRequest {
        target: target.clone(),
        features: call.features.clone(),
        alone,
        traceparent: call.span.traceparent(),
        sent,
        noticed,
    };
    let may_repeat = report_crash(shared, crash).await;
    may_repeat && shared.quarantine.borrow().find(call.features.as_slice()).is_none()
}

/// Returns whether nothing listens at the address any more.
pub(crate) async fn refuses_connections(shared: &Shared, address: SocketAddr) -> bool {
    let connecting = timeout(PROBE_TIMEOUT, shared.dialer.connect(address)).await;
    matches!(connecting, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Reports a crash; without an arbiter this gateway decides alone, and reports later.
async fn report_crash(shared: &Rc<Shared>, crash: CrashedRequest) -> bool {
    let now_ms = shared.now_ms();
    let own = Crash {
        upstream: crash.target.id.clone(),
        born_ms: crash.target.born_ms,
        sent_ms: now_ms.saturating_sub(elapsed_ms(crash.sent)),
        at_ms: now_ms.saturating_sub(elapsed_ms(crash.noticed)),
    };
    shared.quarantine.borrow_mut().record_crash(own, crash.features.as_slice(), now_ms);
    let replied = match shared.arbiter() {
        Some(arbiter) => crash.report(shared, &arbiter).await,
        None => Err(CallError::Timeout),
    };
    match replied {
        Ok(may_repeat) => may_repeat,
        Err(error) => {
            log::warn!(upstream = crash.target.id.as_str(), error = error.to_string().as_str(); "crash report lost");
            let may_repeat =
                shared.quarantine.borrow_mut().decide_locally(&crash.features, crash.alone, now_ms);
            actix_rt::spawn(resend(shared.clone(), crash));
            may_repeat
        }
    }
}

async fn resend(shared: Rc<Shared>, crash: CrashedRequest) {
    for delay in RESEND_DELAYS {
        sleep(delay).await;
        if let Some(arbiter) = shared.arbiter()
            && crash.report(&shared, &arbiter).await.is_ok()
        {
            return;
        }
    }
    log::warn!(upstream = crash.target.id.as_str(); "crash report given up");
}
