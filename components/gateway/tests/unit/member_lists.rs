//! Members of the control group at a gateway that syncs with several of its processes.

use super::MemberLists;

fn control(host: u8) -> std::net::SocketAddr {
    ([127, 0, 0, host], 1).into()
}

#[test]
fn members_of_the_greatest_index_count() {
    let mut lists = MemberLists::default();

    let first = lists.record(control(1), 4);
    let newer = lists.record(control(2), 9);
    let older = lists.record(control(1), 8);
    let equal = lists.record(control(1), 9);

    assert_eq!((first, newer, older, equal), (true, true, false, true));
}

/// Guards against a gateway that keeps the members of a group which has lost its data.
#[test]
fn earlier_members_count_once_no_process_with_later_ones_is_connected() {
    let mut lists = MemberLists::default();
    lists.record(control(1), 9);
    lists.record(control(2), 9);
    lists.remove(control(1));

    let beside = lists.record(control(3), 2);
    lists.remove(control(2));
    let alone = lists.record(control(3), 2);

    assert_eq!((beside, alone), (false, true));
}

/// Guards against a process that starts again with an empty disk, at the same address.
#[test]
fn index_that_a_process_reports_last_counts() {
    let mut lists = MemberLists::default();
    lists.record(control(1), 9);

    let restarted = lists.record(control(1), 0);
    let other = lists.record(control(2), 5);

    assert_eq!((restarted, other), (true, true));
}
