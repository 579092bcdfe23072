//! Requests that one gateway hands to another, whose links reach the upstreams.
//!
//! [`client`] sends a call and receives the response, [`server`] serves calls of other
//! gateways, [`known`] keeps the gateways that take them, and [`message`] translates calls. A
//! call is handed on once at most.

mod client;
mod hand_back;
mod known;
mod message;
mod server;

pub(crate) use client::{
    Continued, Forwarded, PeerBody, PeerPart, continue_stream, forward, is_preferred,
    wait_for_better_place,
};
pub(crate) use hand_back::{HandBack, HandBackState};
pub(crate) use known::Peers;
pub(crate) use message::Begun;
pub(crate) use server::{PeerService, serve_calls};
