//! Ownership of upstreams, choice between them, and routes to services.

mod affinity;
mod choose;
mod directory;
mod ownership;
mod table;

pub use affinity::{PrefixHints, prefix_hash};
pub use choose::{Choice, choose};
pub use directory::{Directory, Known};
pub use ownership::{owner, watchers};
pub use table::{NoRoute, RouteProblem, RouteTable, Routed, check_routes, draw_service};
