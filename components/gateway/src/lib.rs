//! Forwards callers' requests to upstreams by published routes.
//!
//! A request passes [`server`] (connections of callers), [`accept`] (route and
//! body), [`forward`] (attempts, verdict), [`place`] (choice of an upstream), [`exchange`] and
//! [`pool`] (connections to upstreams) and [`relay`] (streams of events, which
//! [`moves`] carry over to another engine). [`control`] exchanges state with
//! the control processes. [`dialect`] is the edge to what callers and
//! upstreams speak.

mod accept;
mod answer;
mod control;
mod dialect;
mod error;
mod events;
mod exchange;
mod forward;
mod metrics;
mod moves;
mod place;
mod pool;
mod process;
mod relay;
mod server;
mod shared;
mod status;

pub use dialect::{
    AnswerHead, BadCall, CallHead, Dialect, MemoryRef, MoveOrder, MoveResult, Prompt, Resume, Send,
};
pub use error::StartError;
pub use process::Gateway;
