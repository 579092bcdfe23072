//! Answers and failures of upstreams, which end and begin ejections at this gateway and, by way
//! of the arbiter, at all others. An upstream that drains closes connections as it is meant to,
//! and gets no new requests anyway: what happens there is no finding.

use std::net::SocketAddr;

use balance::OwnedCandidate;
use compact_str::CompactString;
use schema::UpstreamEjection;

use crate::place::is_draining_or_gone;
use crate::shared::Shared;
use crate::state::{DueFindings, Subject};
use crate::target::Target;

/// Failure of an upstream that is a finding.
#[derive(Clone, Copy, Debug)]
enum Failure<'a> {
    /// It accepts no connection.
    Unreachable,
    /// The connection ended before the first byte of an answer.
    ConnectionLost,
    /// Another one; others learn of it only if it ejects the upstream here.
    Other(&'a str),
}

/// Counts an upstream that accepts no connection.
pub(crate) fn record_unreachable(shared: &Shared, target: &Target) {
    shared.reach.borrow_mut().record_unreachable(&target.id);
    record(shared, target, Failure::Unreachable);
}

/// Counts a connection that ended before the first byte of an answer.
pub(crate) fn record_lost(shared: &Shared, target: &Target) {
    record(shared, target, Failure::ConnectionLost);
}

/// Counts another failure of an upstream.
pub(crate) fn record_failure(shared: &Shared, target: &Target, reason: &str) {
    record(shared, target, Failure::Other(reason));
}

fn record(shared: &Shared, target: &Target, failure: Failure<'_>) {
    if is_draining_or_gone(shared, target) {
        return;
    }
    let (subject, now_ms) = (subject(target), shared.now_ms());
    let mut health = shared.health.borrow_mut();
    let (ejected_ms, reason) = match failure {
        Failure::Unreachable => (health.record_unreachable(subject, now_ms), "unreachable"),
        Failure::ConnectionLost => (health.record_lost(subject, now_ms), "connection lost"),
        Failure::Other(reason) => (health.record_failure(subject, now_ms), reason),
    };
    drop(health);
    log_ejection(target, ejected_ms, reason);
    if ejected_ms.is_some() || !matches!(failure, Failure::Other(_)) {
        shared.request_urgent_sync();
    }
}

/// Counts an answer of an upstream.
pub(crate) fn record_answer(shared: &Shared, target: &Target) {
    let now_ms = shared.now_ms();
    if shared.health.borrow_mut().record_answer(subject(target), now_ms) {
        shared.request_urgent_sync();
    }
}

/// Forgets the earlier incarnations of an upstream that has started again.
pub(crate) fn restart(shared: &Shared, id: &CompactString) {
    let registry = shared.registry.borrow();
    let Some(upstream) = registry.get(id) else { return };
    let service = CompactString::from(upstream.record.service.as_str());
    let subject = Subject { id, service: &service, born_ms: upstream.record.born_ms };
    if shared.health.borrow_mut().restart(subject, shared.now_ms()) {
        shared.request_urgent_sync();
    }
}

/// Returns whether the arbiter is to choose, as a request may try one of the upstreams whose
/// ejection has passed.
pub(crate) fn any_on_trial(shared: &Shared, upstreams: &[OwnedCandidate]) -> bool {
    let (health, now_ms) = (shared.health.borrow(), shared.now_ms());
    upstreams.iter().any(|upstream| health.is_on_trial(&upstream.id, now_ms))
}

/// Returns the findings that the arbiter does not have.
pub(crate) fn due_reports(shared: &Shared, arbiter: SocketAddr) -> DueFindings {
    let registry = shared.registry.borrow();
    let serving = |service: &str| {
        let upstreams = registry.iter().filter(|upstream| upstream.accepts_requests());
        let count = upstreams.filter(|upstream| upstream.record.service == service).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    };
    shared.health.borrow().due_reports(arbiter, serving, shared.now_ms())
}

/// Applies the ejections that the arbiter lists.
pub(crate) fn apply_ejections(
    shared: &Shared,
    arbiter: SocketAddr,
    ejections: &[UpstreamEjection],
) {
    let registry = shared.registry.borrow();
    let current = |id: &str| {
        let record = &registry.get(id)?.record;
        Some((record.service.as_str().into(), record.born_ms))
    };
    shared.health.borrow_mut().apply(arbiter, ejections, current, shared.now_ms());
}

fn subject(target: &Target) -> Subject<'_> {
    Subject { id: &target.id, service: &target.origin.service, born_ms: target.born_ms }
}

fn log_ejection(target: &Target, ejected_ms: Option<u64>, reason: &str) {
    if let Some(ejected_ms) = ejected_ms {
        log::warn!(upstream = target.id.as_str(), service = target.origin.service.as_str(), ejected_ms, reason; "upstream ejected");
    }
}
