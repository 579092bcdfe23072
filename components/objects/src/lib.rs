//! Validation, differences and lookups of published object sets.

mod catalog;
mod check;
mod delta;
mod diff;
mod folder;
mod lists;

pub use catalog::{Catalog, hash_secret};
pub use check::{Problem, check};
pub use delta::{apply_delta, compute_delta};
pub use diff::{Change, ChangeKind, diff};
pub use folder::{FolderError, read_folder};
