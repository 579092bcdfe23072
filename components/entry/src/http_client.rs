//! HTTP client for upstreams.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

/// Creates a client whose connections serve one request each.
///
/// With connection reuse, a late response could reach another caller, and a
/// connection that the upstream closed while idle could be mistaken for one that
/// it refused.
pub(crate) fn new_client(connect_timeout: Duration) -> Client {
    let connector =
        Connector::new().timeout(connect_timeout).limit(0).conn_keep_alive(Duration::ZERO);
    Client::builder().connector(connector).disable_redirects().disable_timeout().finish()
}

/// Returns whether an error proves that no byte of the request was sent.
///
/// `ConnectError::Disconnected` is not proof: the client also reports it when
/// the upstream closes the connection instead of responding.
pub(crate) fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(error) => matches!(
            error,
            ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Timeout
                | ConnectError::Unresolved
                | ConnectError::Io(_)
        ),
        _ => false,
    }
}
