//! RPC connection from the command line to the control processes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use client::{ControlClient, ControlError};
use credentials::{Role, TlsConfigs};
use schema::{Request, StatusReply, StatusRequest, reply, request};
use settings::OperatorConfig;
use wire::{CallError, Endpoint};

use crate::error::CommandError;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// RPC connection to the control processes.
pub struct Connection {
    endpoint: Endpoint,
    client: ControlClient,
    config: OperatorConfig,
}

impl Connection {
    /// Loads the operator's settings from `path` and creates the local endpoint.
    pub fn open(path: &Path) -> Result<Self, CommandError> {
        let config = settings::load_operator(path).map_err(CommandError::Settings)?;
        Connection::create(config)
    }

    /// As [`Connection::open`], but calls the control process at `address` first.
    pub fn open_at(path: &Path, address: SocketAddr) -> Result<Self, CommandError> {
        let mut config = settings::load_operator(path).map_err(CommandError::Settings)?;
        config.control_addresses.retain(|other| *other != address);
        config.control_addresses.insert(0, address);
        Connection::create(config)
    }

    fn create(config: OperatorConfig) -> Result<Self, CommandError> {
        let tls =
            TlsConfigs::load(&config.tls, wire::PROTOCOL).map_err(CommandError::Credentials)?;
        let any_port = if config.control_addresses.iter().all(|a| a.is_ipv6()) {
            "[::]:0"
        } else {
            "0.0.0.0:0"
        };
        let address = any_port.parse().expect("a literal address parses");
        let endpoint = Endpoint::bind(address, &tls).map_err(CommandError::Io)?;
        let client = ControlClient::new(&endpoint, &config.control_addresses);
        Ok(Connection { endpoint, client, config })
    }

    /// Sends a request to the leader of the control group.
    pub async fn call(&self, body: request::Body) -> Result<reply::Body, ControlError> {
        self.client.call(body, String::new(), REQUEST_TIMEOUT).await
    }

    /// Sends a request to the control process at `address`.
    pub async fn call_process(
        &self,
        address: SocketAddr,
        body: request::Body,
        timeout: Duration,
    ) -> Result<reply::Body, CallError> {
        let link = self.endpoint.link(address, Role::Control);
        let request = Request { traceparent: String::new(), body: Some(body) };
        link.call(request, timeout).await
    }

    /// Requests the status of every control process, one after another.
    pub async fn fetch_statuses(&self) -> Vec<(SocketAddr, Result<StatusReply, String>)> {
        let mut statuses = Vec::new();
        for address in &self.config.control_addresses {
            let body = request::Body::Status(StatusRequest {});
            let status = match self.call_process(*address, body, STATUS_TIMEOUT).await {
                Ok(reply::Body::Status(status)) => Ok(status),
                Ok(_) => Err("the process sent a reply of an unexpected type".to_string()),
                Err(error) => Err(error.to_string()),
            };
            statuses.push((*address, status));
        }
        statuses
    }

    /// Returns the status of the leader. If several processes report to be the
    /// leader, the one with the highest term counts: the others are stale.
    pub async fn fetch_leader_status(&self) -> Option<StatusReply> {
        let statuses = self.fetch_statuses().await.into_iter();
        let leaders = statuses.filter_map(|(_, status)| status.ok());
        leaders.filter(|status| status.role == "leader").max_by_key(|status| status.term)
    }
}
