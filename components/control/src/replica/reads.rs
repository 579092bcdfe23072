//! Linearizable reads through the read index. Reads are batched: a quorum
//! round, the read barrier, serves all reads queued when it starts.

use actix::ResponseFuture;
use schema::{ErrorCode, Reply};
use tokio::sync::oneshot;
use wire::refuse;

use super::Replica;

/// Reads that wait for a barrier.
#[derive(Default)]
pub(crate) struct Reads {
    /// Barrier in progress; there is at most one at a time.
    barrier: Option<Barrier>,
    /// Reads for the next barrier.
    queued: Vec<Read>,
}

struct Barrier {
    id: u64,
    /// Read index, once a quorum confirmed the barrier; the reads are served
    /// when the state has been applied up to it.
    read_index: Option<u64>,
    reads: Vec<Read>,
}

struct Read {
    answer: Box<dyn FnOnce(&Replica) -> Reply>,
    result: oneshot::Sender<Reply>,
}

impl Reads {
    /// Fails all reads when leadership ends.
    pub(crate) fn fail_all(&mut self) {
        let started = self.barrier.take().into_iter().flat_map(|barrier| barrier.reads);
        fail(started.chain(std::mem::take(&mut self.queued)));
    }
}

fn fail(reads: impl IntoIterator<Item = Read>) {
    for read in reads {
        let reply = refuse(ErrorCode::NotLeader, "leadership ended; ask the next leader");
        let _ = read.result.send(reply);
    }
}

impl Replica {
    /// Evaluates `answer` on the state once a quorum has confirmed this replica's
    /// leadership and the state is applied up to the read index.
    pub(super) fn linearizable_read(
        &mut self,
        answer: impl FnOnce(&Replica) -> Reply + 'static,
    ) -> ResponseFuture<Reply> {
        let (result, receiver) = oneshot::channel();
        self.reads.queued.push(Read { answer: Box::new(answer), result });
        Box::pin(async move {
            let stopping = || refuse(ErrorCode::NotLeader, "the process is stopping");
            receiver.await.unwrap_or_else(|_| stopping())
        })
    }

    pub(super) fn serve_reads(&mut self) {
        for ready in self.node.take_reads() {
            if let Some(barrier) = self.reads.barrier.as_mut().filter(|b| b.id == ready.id) {
                barrier.read_index = Some(ready.index);
            }
        }
        if !self.node.take_failed_reads().is_empty() {
            self.reads.fail_all();
        }
        let applied = self.node.applied();
        let is_ready = |barrier: &mut Barrier| barrier.read_index.is_some_and(|i| i <= applied);
        if let Some(barrier) = self.reads.barrier.take_if(is_ready) {
            for read in barrier.reads {
                let _ = read.result.send((read.answer)(self));
            }
        }
        self.start_barrier();
    }

    fn start_barrier(&mut self) {
        if self.reads.barrier.is_some() || self.reads.queued.is_empty() {
            return;
        }
        let reads = std::mem::take(&mut self.reads.queued);
        match self.node.read_barrier() {
            Ok(id) => {
                self.reads.barrier = Some(Barrier { id, read_index: None, reads });
                let messages = self.node.take_messages();
                self.send_messages(messages);
                // The only voter of a group confirms its own barrier at once.
                self.serve_reads();
            }
            Err(_) => fail(reads),
        }
    }
}
