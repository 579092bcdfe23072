//! A gateway that was out of step with a control process.

use super::{AppliedRegistries, RegistryPosition};

fn at(epoch: u64, version: u64) -> RegistryPosition {
    RegistryPosition { epoch, version }
}

#[test]
fn gateway_that_stood_still_does_not_know_what_was_announced_meanwhile() {
    let source = "10.0.1.1:7200".parse().expect("an address");
    let mut applied = AppliedRegistries::default();
    applied.record(source, at(7, 40));

    assert!(applied.includes(source, at(7, 40)));
    assert!(!applied.includes(source, at(7, 41)), "a new version joined");
    assert!(!applied.includes(source, at(8, 3)), "the process has started again");
    applied.remove(source);
    assert!(!applied.includes(source, at(7, 1)), "it is cut off");
}
