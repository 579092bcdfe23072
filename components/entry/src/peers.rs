//! Requests to other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use credentials::Role;
use schema::{EntryMember, Request, reply, request};
use wire::{CallError, Endpoint, Link};

/// Pool of connections to other entries, one per address.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    endpoint: Endpoint,
    links: Arc<Mutex<HashMap<SocketAddr, Link>>>,
}

impl Peers {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Peers { endpoint, links: Arc::default() }
    }

    /// Sends a request to another entry, without retry.
    pub(crate) async fn call(
        &self,
        member: &EntryMember,
        body: request::Body,
        traceparent: String,
        limit: Duration,
    ) -> Result<reply::Body, CallError> {
        let address = member.peer_address.parse::<SocketAddr>();
        let address = address.map_err(|error| CallError::Connect(error.to_string()))?;
        let link = self.link(address);
        link.call(Request { traceparent, body: Some(body) }, limit).await
    }

    fn link(&self, address: SocketAddr) -> Link {
        let mut links = match self.links.lock() {
            Ok(links) => links,
            Err(poisoned) => poisoned.into_inner(),
        };
        let open = || self.endpoint.link(address, Role::Entry);
        links.entry(address).or_insert_with(open).clone()
    }
}
