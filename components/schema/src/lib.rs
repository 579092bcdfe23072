//! Messages, settings and objects of shallottray.
//!
//! Everything here is generated from the files under `proto/` by the
//! `schemagen` tool, and committed.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::*;
