//! Incarnations of upstreams, from their announcements.
//!
//! Each control process keeps a [`Registry`] of what upstreams announced to
//! it. An entry merges the registries of all control processes into its
//! [`Fleet`]. Nothing here is replicated: upstreams announce themselves again
//! within an interval.

mod fleet;
mod registry;

pub use fleet::{Change, Fleet, Member};
pub use registry::{Announced, Registry};
