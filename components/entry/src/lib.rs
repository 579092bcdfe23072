//! Daemon that accepts requests of callers (HTTP clients) and relays them to
//! upstreams.
//!
//! A request passes through these modules: `http` authenticates and parses
//! it; `broker` queues it and obtains a credit (permission to start a
//! generation) from the entry that owns an engine; `engine` opens the event
//! stream; `relay` forwards the tokens. Calls that must run at most once also
//! pass through `records`, which opens an idempotency record with the control
//! processes before anything is sent.

mod broker;
mod control;
mod engine;
mod error;
mod generation;
mod http;
mod http_client;
mod membership;
mod metrics;
mod peer_service;
mod peers;
mod process;
mod records;
mod relay;
mod shared;
mod stop;
mod view;

pub use error::StartError;
pub use process::Entry;
