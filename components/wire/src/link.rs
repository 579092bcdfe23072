//! Calling side of connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use credentials::Role;
use prost::Message as _;
use quinn::Connection;
use schema::{ConsensusMessage, Reply, Request, reply};
use tokio::sync::{Mutex, mpsc};
use tokio::time::{sleep, timeout};

use crate::{CallError, MAX_MESSAGE_BYTES, frame, traffic};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const QUEUED_MESSAGES: usize = 1_024;

/// Connection to one process that is opened again after each loss.
#[derive(Clone, Debug)]
pub struct Link {
    inner: Arc<Inner>,
    /// Queue of the task that sends messages; the task ends with its last
    /// sender, so it must not hold one itself.
    messages: Arc<Mutex<Option<mpsc::Sender<ConsensusMessage>>>>,
}

#[derive(Debug)]
struct Inner {
    endpoint: quinn::Endpoint,
    address: SocketAddr,
    role: Role,
    connection: Mutex<Option<Connection>>,
}

impl Link {
    pub(crate) fn new(endpoint: quinn::Endpoint, address: SocketAddr, role: Role) -> Self {
        let connection = Mutex::new(None);
        let inner = Arc::new(Inner { endpoint, address, role, connection });
        Link { inner, messages: Arc::default() }
    }

    /// Returns the address of the other process.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sends a request and waits for its reply.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<reply::Body, CallError> {
        match timeout(limit, self.inner.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout),
        }
    }

    /// Queues a message of the consensus; it is dropped when the queue is full
    /// or the connection is lost.
    pub async fn send(&self, message: ConsensusMessage) {
        let mut messages = self.messages.lock().await;
        let sender = messages.get_or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUED_MESSAGES);
            tokio::spawn(send_messages(self.inner.clone(), receiver));
            sender
        });
        let _ = sender.try_send(message);
    }
}

impl Inner {
    async fn exchange(&self, request: Request) -> Result<reply::Body, CallError> {
        let connection = self.connect().await?;
        let lost = |error: &dyn std::fmt::Display| CallError::Lost(error.to_string());
        let (mut send, mut receive) =
            connection.open_bi().await.map_err(|error| CallError::Connect(error.to_string()))?;
        let bytes = Bytes::from(request.encode_to_vec());
        traffic::count_sent(bytes.len());
        send.write_chunk(bytes).await.map_err(|error| lost(&error))?;
        send.finish().map_err(|error| lost(&error))?;
        let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|error| lost(&error))?;
        traffic::count_received(bytes.len());
        let reply = Reply::decode(Bytes::from(bytes)).map_err(|error| lost(&error))?;
        match reply.body {
            Some(reply::Body::Error(error)) => Err(CallError::Refused(error)),
            Some(body) => Ok(body),
            None => Err(CallError::UnexpectedReply),
        }
    }

    /// Returns the open connection, or opens one.
    async fn connect(&self) -> Result<Connection, CallError> {
        let mut slot = self.connection.lock().await;
        if let Some(connection) = slot.as_ref().filter(|c| c.close_reason().is_none()) {
            return Ok(connection.clone());
        }
        let failed = |error: &dyn std::fmt::Display| CallError::Connect(error.to_string());
        let connecting = self
            .endpoint
            .connect(self.address, &self.role.server_name())
            .map_err(|error| failed(&error))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| failed(&"timed out"))?
            .map_err(|error| failed(&error))?;
        *slot = Some(connection.clone());
        Ok(connection)
    }
}

/// Sends queued messages over one stream, and opens a new one after a loss.
async fn send_messages(inner: Arc<Inner>, mut messages: mpsc::Receiver<ConsensusMessage>) {
    let mut stream = None;
    while let Some(message) = messages.recv().await {
        if stream.is_none() {
            stream = match inner.connect().await {
                Ok(connection) => connection.open_uni().await.ok(),
                Err(_) => None,
            };
        }
        let Some(open) = &mut stream else {
            while messages.try_recv().is_ok() {}
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        if frame::write(open, &message).await.is_err() {
            stream = None;
        }
    }
}
