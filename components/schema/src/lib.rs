//! Messages, settings and objects of shallottray.
//!
//! All types are generated from the files in `proto/` by the `schemagen` tool;
//! the generated code is committed.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::*;
