//! Transfers that fail halfway: what a gateway receives next.

use distribution::{
    CHANGE_CACHE_BYTES, CHUNK_BYTES, ChangeError, Received, RouteReceiver, RouteSource,
};
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

/// Asserts without printing thousands of routes.
fn assert_received(received: &Result<RouteSet, ChangeError>, expected: &RouteSet) {
    let number = received.as_ref().map(|set| set.number);
    assert!(received.as_ref() == Ok(expected), "{number:?} instead of {}", expected.number);
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

    assert!(refused == Err(ChangeError::Corrupted), "the damage is noticed");
    assert_received(&received, &sets[2]);
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

/// Returns the position of the next chunk after `receiver` has got two from `source`.
fn fetch_two_chunks(
    receiver: &mut RouteReceiver,
    source: &mut RouteSource,
    in_force: &RouteSet,
    current: &RouteSet,
) -> u64 {
    for _ in 0..2 {
        let reply = source.next_chunk(&receiver.next_request(), current);
        let received = receiver.receive(reply, in_force);
        assert!(received == Ok(Received::Chunk), "the change has more than two chunks");
    }
    receiver.next_request().offset
}

/// Guards against chunks of two transfers in one change: another control process computes the
/// same change, but sent its first chunk.
#[test]
fn transfer_continues_at_another_process_with_the_same_sets() {
    let sets = [set(1), set(2)];
    let (mut first, mut second) = (source_of(&sets), source_of(&sets));
    let mut receiver = RouteReceiver::of(&sets[0]);
    let position = fetch_two_chunks(&mut receiver, &mut first, &sets[0], &sets[1]);

    let reply = second.next_chunk(&receiver.next_request(), &sets[1]);
    let received = receiver.receive(reply, &sets[0]);
    let next_position = receiver.next_request().offset;
    let set = fetch(&mut receiver, &mut second, &sets[0], &sets[1]);

    assert!(received == Ok(Received::Chunk), "the change is not complete yet");
    assert_eq!((position, next_position), (2 * CHUNK_BYTES as u64, 3 * CHUNK_BYTES as u64));
    assert_received(&set, &sets[1]);
}

/// Guards against the same at a single control process, which has to compute the change again as
/// it kept others in the meantime.
#[test]
fn transfer_continues_once_the_change_is_computed_again() {
    let sets: Vec<RouteSet> = (1..=75).map(set).collect();
    let [base, .., current] = sets.as_slice() else { unreachable!() };
    let mut source = source_of(&sets);
    let mut receiver = RouteReceiver::of(base);
    fetch_two_chunks(&mut receiver, &mut source, base, current);
    let first_id = receiver.progress().expect("two chunks are there").0;
    for other in &sets[1..74] {
        source.next_chunk(&RouteReceiver::of(other).next_request(), current);
    }
    let others_bytes = 73 * first_id.size_bytes;
    assert!(others_bytes > CHANGE_CACHE_BYTES as u64, "{others_bytes} do not fill the cache");

    let received = fetch(&mut receiver, &mut source, base, current);

    assert_received(&received, current);
}

/// A transfer continues at a process that has a newer set by then: the new change replaces the one
/// that was received in part.
#[test]
fn transfer_of_an_older_change_is_replaced_at_a_process_that_never_encoded_it() {
    let sets = [set(1), set(2), set(3)];
    let (mut first, mut second) = (source_of(&sets[..2]), source_of(&sets));
    let mut receiver = RouteReceiver::of(&sets[0]);
    fetch_two_chunks(&mut receiver, &mut first, &sets[0], &sets[1]);

    let received = fetch(&mut receiver, &mut second, &sets[0], &sets[2]);

    assert_received(&received, &sets[2]);
}

/// Guards against a transfer of the newest complete set that is given up for an older one, which
/// another control process keeps encoded: gateways that alternate between processes never got one.
#[test]
fn transfer_of_a_complete_set_continues_at_a_process_that_keeps_an_older_one() {
    let sets = [set(1), set(2)];
    let (mut first, mut second) = (source_of(&sets), source_of(&sets[..1]));
    let nothing = RouteSet::default();
    fetch(&mut RouteReceiver::default(), &mut second, &nothing, &sets[0]).expect("it is sent");
    second.record(&sets[1]);
    let mut receiver = RouteReceiver::default();
    fetch_two_chunks(&mut receiver, &mut first, &nothing, &sets[1]);

    let received = fetch(&mut receiver, &mut second, &nothing, &sets[1]);

    assert_received(&received, &sets[1]);
}

/// Guards against an older set that a gateway serves for a moment, as a control process keeps it
/// encoded while it no longer knows the set of the gateway.
#[test]
fn gateway_with_a_set_that_is_not_kept_gets_the_newest_one() {
    let sets = [set(1), set(2), set(3)];
    let mut source = source_of(&sets[1..2]);
    fetch(&mut RouteReceiver::of(&sets[0]), &mut source, &sets[0], &sets[1]).expect("it is sent");
    source.record(&sets[2]);

    let received = fetch(&mut RouteReceiver::of(&sets[0]), &mut source, &sets[0], &sets[2]);

    assert_received(&received, &sets[2]);
}
