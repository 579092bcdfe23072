//! Reads the set of routes in force from a control process.

use distribution::{Received, RouteReceiver};
use schema::{FetchRoutesReply, FetchRoutesRequest, RouteSet, reply, request};

use crate::connection::Connection;
use crate::error::CommandError;

/// Fetches the set of routes that a control process holds, as gateways do; its number is 0 if
/// none was published.
pub async fn fetch_routes(connection: &Connection) -> Result<RouteSet, CommandError> {
    let mut set = RouteSet::default();
    let mut receiver = RouteReceiver::default();
    loop {
        let reply = fetch_chunk(connection, receiver.next_request()).await?;
        let received = receiver.receive(reply, &set);
        match received.map_err(|error| CommandError::Unavailable(error.to_string()))? {
            Received::NothingNewer => return Ok(set),
            Received::Chunk => {}
            Received::Set(next, _) => set = next,
        }
    }
}

async fn fetch_chunk(
    connection: &Connection,
    request: FetchRoutesRequest,
) -> Result<FetchRoutesReply, CommandError> {
    let reply = connection.call(request::Body::FetchRoutes(request)).await;
    match reply.map_err(CommandError::Control)? {
        reply::Body::FetchRoutes(reply) => Ok(reply),
        _ => Err(CommandError::Unavailable("another kind of reply than expected".to_string())),
    }
}
