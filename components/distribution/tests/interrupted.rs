//! Transfers that fail halfway: what a gateway receives next.

use distribution::{ChangeError, Received, RouteReceiver, RouteSource};
use schema::{FetchRoutesReply, RouteRule, RouteSet};

/// Set with so many routes that all `number`s have a change of several chunks.
fn set(number: u64) -> RouteSet {
    let route = |index: u64| RouteRule {
        name: format!("r-{index:07}"),
        host: "host.example".into(),
        path_prefix: format!("/p{index:07}/"),
        timeout_ms: 2_500 + number,
        ..RouteRule::default()
    };
    RouteSet { number, routes: (0..6_000).map(route).collect(), ..RouteSet::default() }
}

/// Returns a control process that has each of `sets` in force, one after the other.
fn source_of(sets: &[RouteSet]) -> RouteSource {
    let mut source = RouteSource::default();
    sets.iter().for_each(|set| source.record(set));
    source
}

fn damaged(reply: FetchRoutesReply) -> FetchRoutesReply {
    let mut chunk = reply.chunk.to_vec();
    chunk[0] ^= 1;
    FetchRoutesReply { chunk: chunk.into(), ..reply }
}

/// Fetches from `source` until a set is complete or an error occurs.
fn fetch(
    receiver: &mut RouteReceiver,
    source: &mut RouteSource,
    in_force: &RouteSet,
    current: &RouteSet,
) -> Result<RouteSet, ChangeError> {
    loop {
        let reply = source.next_chunk(&receiver.next_request(), current);
        match receiver.receive(reply, in_force)? {
            Received::NothingNewer => panic!("there is a newer set"),
            Received::Chunk => {}
            Received::Set(set, _) => return Ok(set),
        }
    }
}

/// Guards against a complete set that was encoded for gateways which started earlier and is older
/// than the one in force at the gateway that needs a complete set.
#[test]
fn gateway_that_needs_a_complete_set_gets_none_that_is_older() {
    let sets = [set(1), set(2), set(3)];
    let mut source = source_of(&sets[..1]);
    fetch(&mut RouteReceiver::default(), &mut source, &RouteSet::default(), &sets[0])
        .expect("a gateway starts");
    source.record(&sets[1]);
    source.record(&sets[2]);
    let mut receiver = RouteReceiver::of(&sets[1]);
    let sound = source.next_chunk(&receiver.next_request(), &sets[2]);
    receiver.receive(damaged(sound), &sets[1]).expect("there are more chunks");
    let refused = fetch(&mut receiver, &mut source, &sets[1], &sets[2]);

    let received = fetch(&mut receiver, &mut source, &sets[1], &sets[2]);

    assert_eq!(refused, Err(ChangeError::Corrupted));
    assert_eq!(received.map(|set| set.number), Ok(3));
}

/// Guards against a set that is put in force because its transfer ended well, whatever its
/// number: a control process that is behind sends it, or one of an earlier release that does not
/// look at `served_number`.
#[test]
fn set_that_is_not_newer_is_refused_with_its_first_chunk() {
    let sets = [set(1), set(2)];
    for (in_force, sent) in [(&sets[1], &sets[0]), (&sets[1], &sets[1])] {
        let mut receiver = RouteReceiver::of(in_force);
        let complete = RouteReceiver::default().next_request();
        let reply = source_of(std::slice::from_ref(sent)).next_chunk(&complete, sent);

        let refused = receiver.receive(reply, in_force);

        assert_eq!(refused, Err(ChangeError::NotNewer));
        assert_eq!((receiver.number(), receiver.progress()), (2, None));
    }
}
