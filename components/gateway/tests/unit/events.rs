//! Splitting of events that arrive in several chunks.

use super::{EventKind, EventSplitter, StreamProgress, is_comment};

#[test]
fn events_split_across_chunks_are_reassembled() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in text.chunks(size) {
            splitter.push(chunk);
            while let Some(event) = splitter.next() {
                events.push(event);
            }
        }

        assert_eq!(events, ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n"]);
        assert_eq!(splitter.take_remainder(), "id: 3\ndata");
    }
}

#[test]
fn only_new_events_are_progress() {
    let mut progress = StreamProgress::new(Some(3));

    let repeated = progress.accept(Some(3), b"id: 3\ndata: a\n\n");
    let comment = progress.accept(None, b": a\n\n");
    let bytes_before = progress.bytes_without_event;
    let new = progress.accept(Some(4), b"id: 4\ndata: b\n\n");
    let without_id = progress.accept(None, b"data: c\n\n");

    assert_eq!((repeated, comment), (EventKind::Repeated, EventKind::WithoutData));
    assert!(matches!((new, without_id), (EventKind::New(_), EventKind::New(_))));
    assert_eq!((bytes_before, progress.bytes_without_event), (20, 0));
    assert_eq!((progress.last_event_id, progress.relayed), (Some(4), 2));
}

/// Returns the progress of a stream that had events with these ids.
fn progress_after(ids: &[u64]) -> StreamProgress {
    let mut progress = StreamProgress::new(None);
    for id in ids {
        progress.accept(Some(*id), b"data: a\n\n");
    }
    progress
}

#[test]
fn run_goes_on_after_the_last_event_and_without_a_gap_if_there_was_none() {
    let cases: [(&[u64], Option<u64>, bool); 12] = [
        (&[], None, true),
        (&[], Some(1), true),
        (&[1], None, false),
        (&[1], Some(1), false),
        (&[1], Some(3), true),
        (&[1, 2], Some(1), false),
        (&[1, 2], Some(2), false),
        (&[1, 2], Some(3), true),
        (&[1, 2], Some(4), false),
        (&[1, 3, 4], Some(6), true),
        (&[1, 2, 4], Some(4), false),
        (&[u64::MAX - 1, u64::MAX], Some(0), false),
    ];
    for (ids, next, expected) in cases {
        let progress = progress_after(ids);

        assert_eq!(progress.may_go_on_with(next), expected, "{next:?} after {ids:?}");
    }
}

#[test]
fn comments_have_no_field() {
    for comment in [": a\n\n", "\n\n", "\r\n\r\n", ": a\r\n: b\r\n\r\n"] {
        assert!(is_comment(comment.as_bytes()), "{comment:?}");
    }
    for event in ["data: a\n\n", "id: 1\n\n", "the engine failed\n\n", ": a\nretry: 1\n\n"] {
        assert!(!is_comment(event.as_bytes()), "{event:?}");
    }
}
