//! Events that arrive in pieces.

use super::Events;

#[test]
fn events_are_whole_however_they_arrive() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata";
    for size in 1..text.len() {
        let mut events = Events::default();
        let mut whole = Vec::new();
        for piece in text.chunks(size) {
            events.push(piece);
            while let Some(event) = events.next() {
                whole.push(event);
            }
        }

        assert_eq!(whole, ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n"]);
        assert_eq!(events.rest(), "id: 3\ndata");
    }
}
