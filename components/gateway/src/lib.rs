//! Reverse proxy that forwards callers' requests to upstreams by published
//! routes.
//!
//! A request passes through [`server`] (connections of callers; [`caller`] and [`unfinished`] record
//! how they end), [`accept`]
//! (routing, request body; [`buffering`] bounds what bodies hold), [`forward`] and [`attempts`] (attempts, retries,
//! verdict), [`eligibility`] and [`place`] (upstream selection, slot reservation, with the
//! [`limits`] of upstreams), [`exchange`], [`pool`] and [`socket`] (connections to upstreams) and [`relay`]
//! (event streams; [`moves`] moves the generation that produces a stream to another
//! engine). [`crashes`] reports upstreams that crash, and [`quarantine`] rejects requests
//! under which they do. [`origins`] knows where streams began that callers take up again.
//! [`reach`] detects that no upstream can be reached from here, and [`peer`] hands requests to
//! other gateways then. [`notices`] applies what upstreams say of themselves. [`control`] synchronises state
//! with the control processes, and [`route_sets`] fetches the routes from them. [`dialect`] abstracts the headers and commands that callers
//! and upstreams use. [`state`] holds what the gateway knows; nothing in it imports the
//! other modules.

mod accept;
mod answer;
mod attempts;
mod buffering;
mod caller;
mod capacity;
mod cold;
mod control;
mod crashes;
mod dialect;
mod dialer;
mod eligibility;
mod error;
mod evacuations;
mod events;
mod exchange;
mod forward;
mod guards;
mod health;
mod held;
mod histories;
mod limits;
mod loads;
mod metrics;
mod moves;
mod notices;
mod origins;
mod peer;
mod place;
mod pool;
mod process;
mod quarantine;
mod reach;
mod relay;
mod reservation;
mod response_check;
mod route_sets;
mod server;
mod shared;
mod socket;
mod state;
mod status;
mod target;
mod timing;
mod unfinished;
mod vm_load;

pub use balance::{RequestRate, TokenCounts};
pub use dialect::{
    Dialect, ForwardContext, KvCacheRef, MalformedRequest, MoveCommand, MoveResult, PromptParts,
    RequestHead, ResponseHead, Resume,
};
pub use dialer::{Dialer, SystemDialer};
pub use error::StartError;
pub use process::Gateway;
