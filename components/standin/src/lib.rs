//! Stand-ins for the upstreams of a deployment (a model engine and a plain
//! service), for tests, the demo and benchmarks.
//!
//! They implement the interfaces of `docs/INTERFACES.md` and support fault
//! injection: `POST /faults` switches faults on and off.

pub mod announcer;
pub mod engine;
pub mod service;
pub mod statuses;
