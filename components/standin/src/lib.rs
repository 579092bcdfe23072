//! Small stand-ins of the systems that shallottray talks to, for tests, the
//! demo and measurements.
//!
//! They follow the interfaces of `docs/INTERFACES.md` and misbehave on
//! request: `POST /faults` switches faults on and off.

pub mod announcer;
pub mod engine;
pub mod service;
