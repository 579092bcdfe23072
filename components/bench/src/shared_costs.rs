//! Costs of what the arbiter collects from all gateways: evidence against prompt parts
//! and requests, and limits of upstreams, at the size that decides the design.

use std::hint::black_box;
use std::time::Instant;

use balance::{ObservedLimit, RequestRate, UpstreamLimits};
use lineage::{Origin, Origins, StreamId};
use prost::Message;
use quarantine::{Crash, Evidence, Feature, Fingerprint, PartId, RequestIdentity};
use schema::{CrashReport, StreamOrigins, SyncReply, SyncRequest, UpstreamLimit};
use serde::Serialize;

use crate::slopes::to_micros;

const ENGINE_COUNT: u64 = 1_900;
/// Parts on which answers begin in a minute, and the minutes of the run.
const PARTS_PER_MINUTE: u64 = 100_000;
const MINUTES: u64 = 3;
const PARTS_PER_REQUEST: u64 = 3;
/// Requests in a minute, all of them different, and the size of their bodies.
const REQUESTS_PER_MINUTE: u64 = 1_000_000;
const BODY_BYTES: usize = 12 << 10;
const FINGERPRINTS: u32 = 20_000;
/// Streams that begin in a minute: 6,500 a second.
const STREAMS_PER_MINUTE: u64 = 390_000;
const CRASHES: u64 = 200;
const REFILLS: u32 = 1_000;

/// Costs of evidence and limits at the arbiter.
#[derive(Clone, Debug, Serialize)]
pub struct SharedCosts {
    /// Size of an answered part in a sync request.
    pub answered_part_bytes: usize,
    /// Time to record an answer on a part, with new parts all the time.
    pub answered_part_us: f64,
    /// Time to compute the fingerprint of a request with a body of 12 KiB.
    pub fingerprint_us: f64,
    /// Size of an answered request in a sync request.
    pub answered_request_bytes: usize,
    /// Time to record the answer to a request, with new requests all the time.
    pub answered_request_us: f64,
    /// Parts with an answer that are remembered at the end.
    pub answered_parts: usize,
    /// Size of a stream that began in a sync request, beside the name of its origin.
    pub begun_stream_bytes: usize,
    /// Time to record the grant and the beginning of a stream.
    pub stream_origin_us: f64,
    /// Time to find the origin of a stream.
    pub find_origin_us: f64,
    /// Streams whose origin is recorded at the end.
    pub stream_origins: usize,
    /// Size of a crash report with three parts and a request.
    pub crash_report_bytes: usize,
    /// Time to record a crash with three parts and a request, and to evaluate it.
    pub crash_us: f64,
    /// Parts and requests under suspicion at the end.
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
        evidence.record_answer(part(number), number * 60_000 / PARTS_PER_MINUTE);
    }
    let answered_part_us = to_micros(started.elapsed()) / answers as f64;
    let started = Instant::now();
    for number in 0..CRASHES {
        let at_ms = MINUTES * 60_000 + number * 300;
        let upstream = format!("engine-{}", number % ENGINE_COUNT).into();
        let crash = Crash { upstream, born_ms: number, sent_ms: at_ms - 200, at_ms };
        let parts = (0..PARTS_PER_REQUEST).map(|index| part(u64::MAX - number * 8 - index));
        let request = Feature::Request(Fingerprint(u64::MAX - number));
        let features: Vec<Feature> = parts.chain([request]).collect();
        evidence.record_crash(crash, &features, at_ms);
        black_box(evidence.confirm(at_ms, 0));
    }
    let crash_us = to_micros(started.elapsed()) / CRASHES as f64;
    let started = Instant::now();
    for number in 0..REQUESTS_PER_MINUTE {
        let at_ms = MINUTES * 60_000 + number * 60_000 / REQUESTS_PER_MINUTE;
        evidence.record_answer(Feature::Request(Fingerprint(number)), at_ms);
    }
    let answered_request_us = to_micros(started.elapsed()) / REQUESTS_PER_MINUTE as f64;
    let (limit_refill_us, limit_take_us) = measure_limits();
    let origins = measure_origins();
    SharedCosts {
        answered_part_bytes: bytes_per_part(),
        fingerprint_us: measure_fingerprint(),
        answered_request_bytes: bytes_per_request(),
        answered_request_us,
        answered_part_us,
        answered_parts: evidence.answered(),
        begun_stream_bytes: bytes_per_stream(),
        stream_origin_us: origins.record_us,
        find_origin_us: origins.find_us,
        stream_origins: origins.streams,
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

fn part(number: u64) -> Feature {
    Feature::Part(PartId(number))
}

fn bytes_per_request() -> usize {
    let with = |answered_requests| SyncRequest { answered_requests, ..SyncRequest::default() };
    with(vec![u64::MAX; 9]).encoded_len() - with(vec![u64::MAX; 8]).encoded_len()
}

fn bytes_per_stream() -> usize {
    let with = |streams| StreamOrigins { streams, ..StreamOrigins::default() };
    with(vec![u64::MAX; 9]).encoded_len() - with(vec![u64::MAX; 8]).encoded_len()
}

struct OriginCosts {
    record_us: f64,
    find_us: f64,
    streams: usize,
}

/// Measures the records of where streams began.
fn measure_origins() -> OriginCosts {
    let mut origins = Origins::default();
    let versions = ["v1", "v2"];
    let origins_by_version =
        versions.map(|version| Origin { service: "model".into(), version: version.into() });
    let streams = STREAMS_PER_MINUTE * MINUTES;
    let started = Instant::now();
    for number in 0..streams {
        let now_ms = number * 60_000 / STREAMS_PER_MINUTE;
        let origin = &origins_by_version[number as usize % versions.len()];
        origins.record_grant(StreamId(number), origin, now_ms);
        origins.record_begun(StreamId(number), origin, now_ms);
    }
    let record_us = to_micros(started.elapsed()) / streams as f64;
    let started = Instant::now();
    for number in 0..STREAMS_PER_MINUTE {
        black_box(origins.find(StreamId(streams - number)));
    }
    let find_us = to_micros(started.elapsed()) / STREAMS_PER_MINUTE as f64;
    OriginCosts { record_us, find_us, streams: origins.len() }
}

/// Returns the microseconds for the fingerprint of one request.
fn measure_fingerprint() -> f64 {
    let body = vec![b'x'; BODY_BYTES];
    let identity = RequestIdentity {
        caller: "workspace",
        host: "example",
        method: "POST",
        path: "/generate",
        body: &body,
    };
    let started = Instant::now();
    for _ in 0..FINGERPRINTS {
        black_box(Fingerprint::of(black_box(&identity)));
    }
    to_micros(started.elapsed()) / f64::from(FINGERPRINTS)
}

fn sample_report() -> CrashReport {
    CrashReport {
        vm: "entry-7".to_string(),
        upstream: "engine-1024".to_string(),
        born_ms: 1_700_000_000_000,
        parts: vec![u64::MAX; PARTS_PER_REQUEST as usize],
        request: u64::MAX,
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
        ..UpstreamLimit::default()
    };
    SyncReply { limits: (0..ENGINE_COUNT).map(limit).collect(), ..SyncReply::default() }
}

/// Returns the microseconds of one refill and of one check with its token.
fn measure_limits() -> (f64, f64) {
    let mut limits = UpstreamLimits::default();
    let ids: Vec<String> = (0..ENGINE_COUNT).map(|number| format!("engine-{number}")).collect();
    let rate = RequestRate::new(5.2).ok();
    for id in &ids {
        limits.observe(id, ObservedLimit { born_ms: 1, rate, brittle: None, observed_ms: 0 }, 0);
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
