//! Splitting of events that arrive in several chunks.

use super::{EventKind, EventSplitter, StreamProgress};

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
