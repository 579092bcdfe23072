//! Rate limit and queue of log lines.

use std::time::{Duration, Instant};

use log::Level;

use super::{
    BURST_RESERVE_LINES, LineKind, MAX_BURST_LINES, MAX_LINES_PER_S, Priority,
    QUEUE_CAPACITY_LINES, QUEUE_RESERVE_LINES, Queue, REPORT_INTERVAL, TokenBucket, Wake,
};

const ROUTINE: LineKind<'_> =
    LineKind { level: Level::Info, target: "gateway::forward", event: "slot reserved for request" };
const END: LineKind<'_> =
    LineKind { level: Level::Info, target: "gateway::relay::ending", event: "stream ended" };
const WARNING: LineKind<'_> =
    LineKind { level: Level::Warn, target: "gateway::server", event: "cannot accept" };

/// Pushes `count` lines at one moment; returns how many of them were queued.
fn push_lines(queue: &mut Queue, kind: LineKind<'_>, count: usize, now: Instant) -> usize {
    let before = queue.lines.len();
    for _ in 0..count {
        queue.push(kind, "line".to_string(), now);
    }
    queue.lines.len() - before
}

/// Returns a queue that has dropped a routine line, and the time of that.
fn queue_with_dropped_line() -> (Queue, Instant) {
    let start = Instant::now();
    let mut queue = Queue::new(start);
    push_lines(&mut queue, ROUTINE, MAX_BURST_LINES as usize + 1, start);
    (queue, start)
}

#[test]
fn token_bucket_limits_bursts_and_refills_at_the_line_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);

    let burst = (0..100_000).filter(|_| bucket.try_take(start, Priority::Routine)).count();
    let later = start + Duration::from_secs(1);
    let refilled = (0..100_000).filter(|_| bucket.try_take(later, Priority::Routine)).count();

    assert_eq!(burst as f64, MAX_BURST_LINES);
    assert_eq!(refilled as f64, MAX_LINES_PER_S);
}

/// Guards against ends of requests that are dropped with the other lines of a burst.
#[test]
fn reserve_of_the_token_bucket_is_left_to_important_lines() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);
    let routine = (0..100_000).filter(|_| bucket.try_take(start, Priority::Routine)).count();

    let important = (0..100_000).filter(|_| bucket.try_take(start, Priority::Important)).count();
    let later = start + Duration::from_secs(1);
    let routine_later = (0..100_000).filter(|_| bucket.try_take(later, Priority::Routine)).count();

    assert_eq!((routine as f64, important as f64), (MAX_BURST_LINES, BURST_RESERVE_LINES));
    assert_eq!(routine_later, 0, "the reserve is refilled first");
}

/// Guards against ends of requests that are dropped while the output is blocked.
#[test]
fn reserve_of_the_queue_is_left_to_important_lines() {
    let start = Instant::now();
    let mut queue = Queue::new(start);
    let mut now = start;
    while push_lines(&mut queue, ROUTINE, 1, now) == 1 {
        now += Duration::from_millis(1);
    }
    let routine = queue.lines.len();

    let mut important = 0;
    for kind in [END, WARNING].into_iter().cycle().take(2 * QUEUE_RESERVE_LINES) {
        now += Duration::from_millis(1);
        important += push_lines(&mut queue, kind, 1, now);
    }

    assert_eq!((routine, important), (QUEUE_CAPACITY_LINES, QUEUE_RESERVE_LINES));
}

#[test]
fn warnings_errors_and_ends_of_requests_are_important() {
    let of = |level, event| LineKind { level, target: "gateway", event }.priority();

    for event in [
        "request answered",
        "request refused",
        "stream ended",
        "connection ended before the response was complete",
    ] {
        assert_eq!(of(Level::Info, event), Priority::Important, "{event}");
    }
    assert_eq!(of(Level::Warn, ""), Priority::Important);
    assert_eq!(of(Level::Error, ""), Priority::Important);
    assert_eq!(of(Level::Info, "slot reserved for request"), Priority::Routine);
    assert_eq!(of(Level::Debug, ""), Priority::Routine);
}

/// Guards against a count of dropped lines that does not say which were lost.
#[test]
fn dropped_lines_are_counted_and_reported_by_kind() {
    let (mut queue, start) = queue_with_dropped_line();
    push_lines(&mut queue, END, BURST_RESERVE_LINES as usize + 2, start);

    let output = queue.take_output(start).expect("queued lines").into_text();

    assert_eq!(
        output.lines().last(),
        Some(
            "level=warn target=telemetry event=\"log lines dropped\" lines=3 \
             kinds=\"2 gateway::relay::ending: stream ended; \
             1 gateway::forward: slot reserved for request\""
        )
    );
    assert_eq!(queue.dropped.total(), 3);
    let totals: Vec<_> =
        queue.dropped.kinds().iter().map(|kind| (kind.event, kind.total)).collect();
    assert_eq!(totals, [("slot reserved for request", 1), ("stream ended", 2)]);
}

/// Guards against a report that waits for the next line that is not dropped.
#[test]
fn dropped_lines_are_reported_once_in_each_interval_without_further_lines() {
    let (mut queue, start) = queue_with_dropped_line();
    assert!(queue.take_output(start).is_some());
    let wake = queue.push(ROUTINE, "line".to_string(), start);
    let soon = queue.take_output(start + REPORT_INTERVAL / 2);
    let due = queue.next_report();

    let late = queue.take_output(start + REPORT_INTERVAL);

    assert!(soon.is_none());
    assert_eq!((wake, due), (Wake::Writer, Some(start + REPORT_INTERVAL)));
    assert!(late.expect("a report").into_text().contains("lines=1 "));
    assert_eq!(queue.next_report(), None);
}

/// Guards against lines that were dropped shortly before the process ends, without a report.
#[test]
fn dropped_lines_are_reported_at_once_when_the_process_ends() {
    let (mut queue, start) = queue_with_dropped_line();
    assert!(queue.take_output(start).is_some());
    push_lines(&mut queue, ROUTINE, 1, start);

    queue.is_flushing = true;

    let report = queue.take_output(start).expect("a report").into_text();
    assert!(report.contains("lines=1 "));
    assert!(!queue.is_written(), "the report is not written yet");
    assert!(queue.take_output(start).is_none());
    assert!(queue.is_written());
}

/// Guards against memory that grows with the kinds of dropped lines.
#[test]
fn number_of_kinds_is_bounded() {
    let (mut queue, start) = queue_with_dropped_line();

    for number in 0..1_000 {
        let target = format!("target{number}");
        let kind = LineKind { level: Level::Info, target: &target, event: "" };
        queue.push(kind, String::new(), start);
    }

    let kinds = queue.dropped.kinds();
    assert_eq!(kinds.len(), 129);
    assert_eq!(kinds.iter().map(|kind| kind.total).sum::<u64>(), 1_001);
    assert_eq!(kinds.last().map(|kind| kind.target.as_str()), Some("other"));
}
