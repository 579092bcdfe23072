//! Splitting of events that arrive in several chunks.

use super::EventSplitter;

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
