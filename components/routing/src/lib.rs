//! Ownership of upstreams and choice between them.

mod affinity;
mod choose;
mod directory;
mod ownership;

pub use affinity::{PrefixHints, prefix_hash};
pub use choose::{Choice, choose};
pub use directory::{Directory, Known};
pub use ownership::{owner, watchers};
