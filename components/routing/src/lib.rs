//! Ownership of upstreams, load-based choice between them, and route tables.

mod affinity;
mod choose;
mod directory;
mod ownership;
mod table;

pub use affinity::{PrefixHints, prefix_hash};
pub use choose::{UpstreamChoice, choose_upstreams};
pub use directory::{Directory, RoutableUpstream};
pub use ownership::{owner, watchers};
pub use table::{
    RouteError, RouteMatch, RouteSetError, RouteTable, pick_weighted_service, validate_route_set,
};
