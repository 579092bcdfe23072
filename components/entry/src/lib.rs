//! Daemon that serves callers and relays to upstreams.
//!
//! A request passes through these modules: `http` authenticates and parses
//! it; `broker` queues it and obtains a credit at an engine; `engine` opens
//! the stream; `relay` passes tokens on. Calls that must not repeat go through
//! `records`, which opens a record with the control processes first.

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
