//! Ownership of upstreams, load-based choice between them, and route tables.

mod affinity;
mod choose;
mod directory;
mod ownership;
mod table;

pub use affinity::{PrefixHints, prefix_hash};
pub use choose::{Choice, choose};
pub use directory::{Directory, KnownUpstream};
pub use ownership::{owner, watchers};
pub use table::{NoRoute, RouteMatch, RouteSetError, RouteTable, check_routes, draw_service};
