//! Metrics of the log.

use log::Level;

use super::encode_dropped;
use crate::dropped::DroppedLines;
use crate::kinds::LineKind;

#[test]
fn dropped_lines_are_counted_by_kind_with_quoted_labels() {
    let mut dropped = DroppedLines::default();
    for event in ["stream ended", "stream ended", "a \"quoted\\\" event"] {
        dropped.record(LineKind { level: Level::Info, target: "gateway", event });
    }

    let text = encode_dropped(dropped.total(), dropped.kinds());

    let metric = "shallottray_log_lines_dropped_by_kind_total";
    let counts: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(
        counts,
        [
            "shallottray_log_lines_dropped_total 3".to_string(),
            format!("{metric}{{target=\"gateway\",event=\"stream ended\"}} 2"),
            format!("{metric}{{target=\"gateway\",event=\"a \\\"quoted\\\\\\\" event\"}} 1"),
        ]
    );
}
