//! Requests and messages between the system's processes over QUIC.
//!
//! Each request uses its own bidirectional stream; the reply to a forwarded request consists of
//! several messages. Consensus messages share one
//! long-lived unidirectional stream per direction, which keeps them in order.
//! Both sides authenticate with certificates issued by the deployment CA.

mod endpoint;
mod error;
mod frame;
mod kind;
mod link;
mod replies;
mod server;
mod traffic;

pub use endpoint::Endpoint;
pub use error::CallError;
pub use kind::request_kind;
pub use link::Link;
pub use replies::{ReplyParts, ReplySender};
pub use server::{Handler, error_reply};
pub use traffic::{Traffic, register_traffic_metrics, traffic};

/// Maximum encoded size of a request, reply or consensus message.
pub const MAX_MESSAGE_BYTES: usize = 256 << 20;

/// ALPN protocol name offered in the TLS handshake.
pub const PROTOCOL: &[u8] = b"shallottray/1";
