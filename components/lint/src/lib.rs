//! Check of a configuration before it is published.
//!
//! Errors are those for which control processes refuse it, found by the same validation.
//! Warnings name entries that never take effect and limits that contradict each other, by
//! the rules by which gateways route. [`compare_route_sets`] and [`compare_object_sets`]
//! name what differs from the version in force.

mod against;
mod changes;
mod entries;
mod finding;
mod hosts;
mod object_set;
mod report;
mod route_set;

pub use against::Against;
pub use changes::{Change, Effect, FieldChange};
pub use finding::{Category, Finding, FindingKind, Severity};
pub use object_set::compare_object_sets;
pub use objects::ChangeKind;
pub use report::{Comparison, LocatedFinding, Report};
pub use route_set::{check_route_set, compare_route_sets, find_outdated_number};
