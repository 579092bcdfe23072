//! Interface of a control process to the adapters in the same process.

use std::net::SocketAddr;

use actix::Addr;
use displaydoc::Display;
use schema::{
    ErrorCode, ErrorReply, GetRoutesRequest, PublishRoutes, Reply, RouteSet, UpstreamRecord, reply,
    request,
};

use crate::replica::{Announce, Ask, CallerAddresses, Replica};

/// Why a control process gives no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum AskError {
    /// the set cannot be published: {0}
    Invalid(String),
    /// the control processes cannot answer now: {0}
    Unavailable(String),
}

impl std::error::Error for AskError {}

/// Handle of a running control process; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    replica: Addr<Replica>,
}

impl Handle {
    pub(crate) fn new(replica: Addr<Replica>) -> Self {
        Handle { replica }
    }

    /// Publishes a set of routes; returns the number in force once the set, or
    /// one with a greater number, is durable on a quorum.
    pub async fn publish_routes(&self, set: RouteSet) -> Result<u64, AskError> {
        let publish = PublishRoutes { set: Some(set) };
        match self.ask(request::Body::PublishRoutes(publish)).await? {
            reply::Body::PublishRoutes(outcome) => Ok(outcome.number),
            _ => Err(unexpected()),
        }
    }

    /// Returns the newest set of routes, confirmed by a quorum.
    pub async fn routes(&self) -> Result<Option<RouteSet>, AskError> {
        match self.ask(request::Body::GetRoutes(GetRoutesRequest {})).await? {
            reply::Body::GetRoutes(routes) => Ok(routes.set),
            _ => Err(unexpected()),
        }
    }

    /// Tells the gateways what an upstream announced; false if no gateway can
    /// be told, so that the upstream has to turn to another control process.
    pub async fn announce(&self, record: UpstreamRecord) -> bool {
        self.replica.send(Announce(record)).await.unwrap_or(false)
    }

    /// Returns where callers in `data_centre` may connect.
    pub async fn caller_addresses(&self, data_centre: &str) -> Vec<SocketAddr> {
        let message = CallerAddresses(data_centre.to_string());
        self.replica.send(message).await.unwrap_or_default()
    }

    async fn ask(&self, body: request::Body) -> Result<reply::Body, AskError> {
        let stopped = |error: actix::MailboxError| AskError::Unavailable(error.to_string());
        let Reply { body } = self.replica.send(Ask(body)).await.map_err(stopped)?;
        match body {
            Some(reply::Body::Error(error)) => Err(refused(error)),
            Some(body) => Ok(body),
            None => Err(unexpected()),
        }
    }
}

fn refused(error: ErrorReply) -> AskError {
    match error.code() {
        ErrorCode::Invalid => AskError::Invalid(error.message),
        _ => AskError::Unavailable(error.message),
    }
}

fn unexpected() -> AskError {
    AskError::Unavailable("another kind of reply than expected".to_string())
}
