//! Sends requests and consensus messages to other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use credentials::Role;
use prost::Message as _;
use quinn::{Connection, RecvStream, SendStream};
use schema::{ConsensusMessage, Reply, Request, reply};
use tokio::sync::{Mutex, mpsc};
use tokio::time::{sleep, timeout};

use crate::kind::kind_of;
use crate::{CallError, MAX_MESSAGE_BYTES, ReplyParts, frame, traffic};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
const MESSAGE_QUEUE_CAPACITY: usize = 1_024;

/// Connection to one process, re-established on the next use after a loss.
#[derive(Clone, Debug)]
pub struct Link {
    inner: Arc<Inner>,
    /// Queue of the task that sends consensus messages. The task ends when all
    /// senders are dropped, so it must not hold a sender itself.
    message_queue: Arc<Mutex<Option<mpsc::Sender<ConsensusMessage>>>>,
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
        Link { inner, message_queue: Arc::default() }
    }

    /// Returns the address of the remote process.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sends a request and waits up to `limit` for its reply.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<reply::Body, CallError> {
        match timeout(limit, self.inner.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout),
        }
    }

    /// Sends a request whose reply consists of several parts; waits up to `connect_limit` for
    /// the connection. Only [`CallError::Connect`] says that nothing was sent.
    pub async fn open(
        &self,
        request: Request,
        connect_limit: Duration,
    ) -> Result<ReplyParts, CallError> {
        let connecting = timeout(connect_limit, self.inner.open_stream()).await;
        let stream = connecting.map_err(|_| CallError::Connect("timed out".to_string()))??;
        self.inner.send(stream, request).await.map(ReplyParts::new)
    }

    /// Queues a consensus message. It is dropped when the queue is full or the
    /// connection is lost.
    pub async fn send(&self, message: ConsensusMessage) {
        let mut queue = self.message_queue.lock().await;
        let sender = queue.get_or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
            tokio::spawn(send_messages(self.inner.clone(), receiver));
            sender
        });
        let _ = sender.try_send(message);
    }
}

impl Inner {
    async fn exchange(&self, request: Request) -> Result<reply::Body, CallError> {
        let lost = |error: &dyn std::fmt::Display| CallError::Lost(error.to_string());
        let kind = kind_of(&request);
        let stream = self.open_stream().await?;
        let mut receive = self.send(stream, request).await?;
        let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|error| lost(&error))?;
        traffic::count_received(kind, bytes.len());
        let reply = Reply::decode(Bytes::from(bytes)).map_err(|error| lost(&error))?;
        match reply.body {
            Some(reply::Body::Error(error)) => Err(CallError::Refused(error)),
            Some(body) => Ok(body),
            None => Err(CallError::UnexpectedReply),
        }
    }

    async fn open_stream(&self) -> Result<(SendStream, RecvStream), CallError> {
        let connection = self.connect().await?;
        connection.open_bi().await.map_err(|error| CallError::Connect(error.to_string()))
    }

    /// Sends a request on a new stream and returns the side that receives the reply.
    async fn send(
        &self,
        (mut send, receive): (SendStream, RecvStream),
        request: Request,
    ) -> Result<RecvStream, CallError> {
        let lost = |error: &dyn std::fmt::Display| CallError::Lost(error.to_string());
        let kind = kind_of(&request);
        let bytes = Bytes::from(request.encode_to_vec());
        drop(request);
        traffic::count_sent(kind, bytes.len());
        send.write_chunk(bytes).await.map_err(|error| lost(&error))?;
        send.finish().map_err(|error| lost(&error))?;
        Ok(receive)
    }

    /// Returns the open connection, or establishes one.
    async fn connect(&self) -> Result<Connection, CallError> {
        let mut current = self.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|c| c.close_reason().is_none()) {
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
        *current = Some(connection.clone());
        Ok(connection)
    }
}

/// Sends queued consensus messages over one stream, and opens a new stream after
/// a connection loss. If the peer is unreachable, all queued messages are dropped.
async fn send_messages(inner: Arc<Inner>, mut messages: mpsc::Receiver<ConsensusMessage>) {
    let mut stream = None;
    while let Some(message) = messages.recv().await {
        if stream.is_none() {
            stream = match inner.connect().await {
                Ok(connection) => connection.open_uni().await.ok(),
                Err(_) => None,
            };
        }
        let Some(open_stream) = &mut stream else {
            while messages.try_recv().is_ok() {}
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        if frame::write(open_stream, traffic::CONSENSUS, &message).await.is_err() {
            stream = None;
        }
    }
}
