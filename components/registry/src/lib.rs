//! Incarnations of upstreams, from their announcements.
//!
//! Each control process keeps a [`Registry`] of the upstreams that announced
//! themselves to it. A gateway merges the registries of all control processes
//! into its [`MergedRegistry`]. Neither is replicated: after a restart, upstreams
//! announce themselves again within one interval. Upstreams that leave do not, so
//! the control group records their ends, which the registries then adopt.

mod fleet;
mod registry;

pub use fleet::{KnownUpstream, MergedRegistry, UpstreamChange};
pub use registry::{
    AnnounceOutcome, OPEN_WITHDRAWAL_MS, Registry, RegistryChanges, TOMBSTONE_RETENTION_MS,
    end_rank,
};
