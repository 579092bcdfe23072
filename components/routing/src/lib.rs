//! Ownership of upstreams, load-based choice between them, and route tables.

mod affinity;
mod choose;
mod directory;
mod ownership;
mod table;
mod validate;

pub use affinity::{PrefixHints, prefix_hash};
pub use choose::{UpstreamChoice, choose_upstreams};
pub use directory::{Directory, RoutableUpstream};
pub use ownership::{owner, watchers};
pub use table::{RouteError, RouteMatch, RouteTable, host_key, pick_weighted_service};
pub use validate::{RouteSetError, RouteSetProblem, check_route_set, validate_route_set};
