//! Costs of what the arbiter collects from all gateways: evidence against prompt parts
//! and limits of upstreams, at the size that decides the design.

use std::hint::black_box;
use std::time::Instant;

use balance::{ObservedLimit, RequestRate, UpstreamLimits};
use prost::Message;
use quarantine::{Crash, Evidence, PartId};
use schema::{CrashReport, SyncReply, SyncRequest, UpstreamLimit};
use serde::Serialize;

use crate::slopes::to_micros;

const ENGINE_COUNT: u64 = 1_900;
/// Parts on which answers begin in a minute, and the minutes of the run.
const PARTS_PER_MINUTE: u64 = 100_000;
const MINUTES: u64 = 3;
const PARTS_PER_REQUEST: u64 = 3;
const CRASHES: u64 = 200;
const REFILLS: u32 = 1_000;

/// Costs of evidence and limits at the arbiter.
#[derive(Clone, Debug, Serialize)]
pub struct SharedCosts {
    /// Size of an answered part in a sync request.
    pub answered_part_bytes: usize,
    /// Time to record an answer on a part, with new parts all the time.
    pub answered_part_us: f64,
    /// Parts with an answer that are remembered at the end.
    pub answered_parts: usize,
    /// Size of a crash report with three parts.
    pub crash_report_bytes: usize,
    /// Time to record a crash with three parts, and to evaluate it.
    pub crash_us: f64,
    /// Parts under suspicion at the end.
    pub suspects: usize,
    /// Size of the list of limits if all of 1,900 engines name one.
    pub limit_list_bytes: usize,
    /// Time to add the tokens of 1,900 limits.
    pub limit_refill_us: f64,
    /// Time to check and take one token.
    pub limit_take_us: f64,
}

/// Measures the costs of evidence and limits.
pub fn measure_shared_costs() -> SharedCosts {
    let mut evidence = Evidence::new(150);
    let started = Instant::now();
    let answers = PARTS_PER_MINUTE * MINUTES;
    for number in 0..answers {
        evidence.record_answer(PartId(number), number * 60_000 / PARTS_PER_MINUTE);
    }
    let answered_part_us = to_micros(started.elapsed()) / answers as f64;
    let started = Instant::now();
    for number in 0..CRASHES {
        let at_ms = MINUTES * 60_000 + number * 300;
        let upstream = format!("engine-{}", number % ENGINE_COUNT).into();
        let crash = Crash { upstream, born_ms: number, sent_ms: at_ms - 200, at_ms };
        let parts: Vec<PartId> =
            (0..PARTS_PER_REQUEST).map(|part| PartId(u64::MAX - number * 8 - part)).collect();
        evidence.record_crash(crash, &parts, at_ms);
        black_box(evidence.confirm(at_ms, 0));
    }
    let crash_us = to_micros(started.elapsed()) / CRASHES as f64;
    let (limit_refill_us, limit_take_us) = measure_limits();
    SharedCosts {
        answered_part_bytes: bytes_per_part(),
        answered_part_us,
        answered_parts: evidence.answered(),
        crash_report_bytes: sample_report().encoded_len(),
        crash_us,
        suspects: evidence.suspects(),
        limit_list_bytes: limit_list().encoded_len(),
        limit_refill_us,
        limit_take_us,
    }
}

fn bytes_per_part() -> usize {
    let with = |answered_parts| SyncRequest { answered_parts, ..SyncRequest::default() };
    with(vec![u64::MAX; 9]).encoded_len() - with(vec![u64::MAX; 8]).encoded_len()
}

fn sample_report() -> CrashReport {
    CrashReport {
        vm: "entry-7".to_string(),
        upstream: "engine-1024".to_string(),
        born_ms: 1_700_000_000_000,
        parts: vec![u64::MAX; PARTS_PER_REQUEST as usize],
        age_ms: 2,
        sent_age_ms: 400,
        ..CrashReport::default()
    }
}

fn limit_list() -> SyncReply {
    let limit = |number| UpstreamLimit {
        id: format!("engine-{number}"),
        born_ms: 1_700_000_000_000,
        per_second: Some(5.2),
        age_ms: 900,
    };
    SyncReply { limits: (0..ENGINE_COUNT).map(limit).collect(), ..SyncReply::default() }
}

/// Returns the microseconds of one refill and of one check with its token.
fn measure_limits() -> (f64, f64) {
    let mut limits = UpstreamLimits::default();
    let ids: Vec<String> = (0..ENGINE_COUNT).map(|number| format!("engine-{number}")).collect();
    let rate = RequestRate::new(5.2).ok();
    for id in &ids {
        limits.observe(id, ObservedLimit { born_ms: 1, rate, observed_ms: 0 }, 0);
    }
    let started = Instant::now();
    for round in 0..REFILLS {
        limits.refill(u64::from(round), 1.0);
    }
    let refill_us = to_micros(started.elapsed()) / f64::from(REFILLS);
    let started = Instant::now();
    for id in &ids {
        if limits.has_token(id) {
            limits.take(id);
        }
    }
    (refill_us, to_micros(started.elapsed()) / ENGINE_COUNT as f64)
}
