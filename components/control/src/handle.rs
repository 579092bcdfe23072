//! In-process API of a control process, for adapters such as HTTP servers.

use std::net::SocketAddr;

use actix::{Addr, MailboxError};
use bytes::Bytes;
use displaydoc::Display;
use schema::{
    ErrorCode, ErrorReply, EvacuateDataCentre, PublishRoutes, Reply, RouteSet, UpstreamRecord,
    reply, request,
};

use crate::replica::{
    Announce, GatewayAddresses, LocalRequest, OrderEvacuation, ReadDocument, Replica,
};

/// Why a request to a control process failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RequestError {
    /// the set cannot be published: {0}
    Invalid(String),
    /// the control processes cannot answer now: {0}
    Unavailable(String),
}

impl std::error::Error for RequestError {}

/// What an operator wants of a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationOrder {
    /// Its upstreams get no new requests.
    Evacuate,
    /// They get requests again.
    Withdraw,
}

/// Handle of a running control process; clones refer to the same process.
#[derive(Clone, Debug)]
pub struct Handle {
    replica: Addr<Replica>,
}

impl Handle {
    pub(crate) fn new(replica: Addr<Replica>) -> Self {
        Handle { replica }
    }

    /// Publishes a set of routes. Once this set, or one with a greater number,
    /// is durable on a quorum, returns the number of the set in force.
    pub async fn publish_routes(&self, set: RouteSet) -> Result<u64, RequestError> {
        let publish =
            PublishRoutes { packed_set: state::pack_set(&set), ..PublishRoutes::default() };
        match self.send(request::Body::PublishRoutes(publish)).await? {
            reply::Body::PublishRoutes(outcome) => Ok(outcome.number),
            _ => Err(unexpected_reply()),
        }
    }

    /// Orders the evacuation of a data centre, or withdraws it. Returns once the order is
    /// durable on a quorum and the gateways connected to this process have applied it, or the
    /// wait for them timed out. An order that is sent again changes nothing; of several
    /// different ones, the last that was committed counts.
    pub async fn evacuate(
        &self,
        data_centre: &str,
        order: EvacuationOrder,
    ) -> Result<(), RequestError> {
        let withdraw = order == EvacuationOrder::Withdraw;
        let order = EvacuateDataCentre { data_centre: data_centre.to_string(), withdraw };
        match to_body(self.replica.send(OrderEvacuation(order)).await)? {
            reply::Body::Evacuations(_) => Ok(()),
            _ => Err(unexpected_reply()),
        }
    }

    /// Returns the document of the newest set of routes by a linearizable read; `None` if no
    /// set was published.
    pub async fn document(&self) -> Result<Option<Bytes>, RequestError> {
        match to_body(self.replica.send(ReadDocument).await)? {
            reply::Body::GetRoutes(read) => Ok((read.number > 0).then_some(read.document)),
            _ => Err(unexpected_reply()),
        }
    }

    /// Registers an upstream's announcement, which reaches the gateways through
    /// their open syncs. The end of an upstream is recorded on a quorum before this
    /// returns. Returns false if that failed, no gateway is connected here or the process
    /// is stopping; the upstream then has to announce itself to another control process.
    pub async fn announce(&self, record: UpstreamRecord) -> bool {
        self.replica.send(Announce(record)).await.unwrap_or(false)
    }

    /// Returns addresses of ready gateways for a caller in `data_centre`, at most
    /// `max_addresses`. Another answer may name others, in proportion to what each can take.
    pub async fn ready_gateway_addresses(
        &self,
        data_centre: &str,
        max_addresses: usize,
    ) -> Vec<SocketAddr> {
        let message = GatewayAddresses { data_centre: data_centre.to_string(), max_addresses };
        self.replica.send(message).await.unwrap_or_default()
    }

    async fn send(&self, body: request::Body) -> Result<reply::Body, RequestError> {
        to_body(self.replica.send(LocalRequest(body)).await)
    }
}

fn to_body(reply: Result<Reply, MailboxError>) -> Result<reply::Body, RequestError> {
    let reply = reply.map_err(|error| RequestError::Unavailable(error.to_string()))?;
    match reply.body {
        Some(reply::Body::Error(error)) => Err(to_request_error(error)),
        Some(body) => Ok(body),
        None => Err(unexpected_reply()),
    }
}

fn to_request_error(error: ErrorReply) -> RequestError {
    match error.code() {
        ErrorCode::Invalid => RequestError::Invalid(error.message),
        _ => RequestError::Unavailable(error.message),
    }
}

fn unexpected_reply() -> RequestError {
    RequestError::Unavailable("another kind of reply than expected".to_string())
}
