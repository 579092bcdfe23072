//! Linearizable reads: one barrier serves all that wait when it opens.

use actix::ResponseFuture;
use schema::{ErrorCode, Reply};
use tokio::sync::oneshot;
use wire::refuse;

use super::Replica;

/// Reads that wait for a barrier.
#[derive(Default)]
pub(crate) struct Reads {
    open: Option<OpenBarrier>,
    next: Vec<Read>,
}

struct OpenBarrier {
    id: u64,
    /// Index to apply, once a quorum confirmed the barrier.
    index: Option<u64>,
    waiting: Vec<Read>,
}

struct Read {
    answer: Box<dyn FnOnce(&Replica) -> Reply>,
    result: oneshot::Sender<Reply>,
}

impl Reads {
    /// Fails all reads when leadership ends.
    pub(crate) fn abandon(&mut self) {
        let open = self.open.take().into_iter().flat_map(|barrier| barrier.waiting);
        fail(open.chain(std::mem::take(&mut self.next)));
    }
}

fn fail(reads: impl IntoIterator<Item = Read>) {
    for read in reads {
        let reply = refuse(ErrorCode::NotLeader, "leadership ended; ask the next leader");
        let _ = read.result.send(reply);
    }
}

impl Replica {
    /// Answers from the state once a quorum confirmed that no newer state
    /// exists elsewhere.
    pub(super) fn after_barrier(
        &mut self,
        answer: impl FnOnce(&Replica) -> Reply + 'static,
    ) -> ResponseFuture<Reply> {
        let (result, receiver) = oneshot::channel();
        self.reads.next.push(Read { answer: Box::new(answer), result });
        Box::pin(async move {
            let dropped = || refuse(ErrorCode::NotLeader, "the process is stopping");
            receiver.await.unwrap_or_else(|_| dropped())
        })
    }

    pub(super) fn serve_reads(&mut self) {
        for ready in self.node.take_reads() {
            if let Some(open) = self.reads.open.as_mut().filter(|open| open.id == ready.id) {
                open.index = Some(ready.index);
            }
        }
        if !self.node.take_failed_reads().is_empty() {
            self.reads.abandon();
        }
        let applied = self.node.applied();
        let is_ready = |open: &mut OpenBarrier| open.index.is_some_and(|i| i <= applied);
        if let Some(open) = self.reads.open.take_if(is_ready) {
            for read in open.waiting {
                let _ = read.result.send((read.answer)(self));
            }
        }
        self.open_barrier();
    }

    fn open_barrier(&mut self) {
        if self.reads.open.is_some() || self.reads.next.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.reads.next);
        match self.node.read_barrier() {
            Ok(id) => {
                self.reads.open = Some(OpenBarrier { id, index: None, waiting });
                let messages = self.node.take_messages();
                self.send(messages);
                // A single voter confirms its own barrier at once.
                self.serve_reads();
            }
            Err(_) => fail(waiting),
        }
    }
}
