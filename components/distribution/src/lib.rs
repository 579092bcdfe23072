//! Distribution of sets of routes to gateways.
//!
//! A gateway fetches the [`change`] from the set that it serves to the one in force, in
//! chunks of bounded size. Control processes keep hashes of earlier sets and few encoded
//! changes in a [`RouteSource`], which all gateways share, so that their memory does not
//! grow with the number of gateways. Gateways put the chunks together with a
//! [`RouteReceiver`].

mod assembly;
mod change;
mod error;
mod receiver;
mod source;

pub use change::{Fingerprint, apply_change, compute_change};
pub use error::ChangeError;
pub use receiver::{Received, RouteReceiver};
pub use source::{CHANGE_CACHE_BYTES, CHUNK_BYTES, HISTORY_ITEMS, RouteSource};
