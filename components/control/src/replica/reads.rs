//! Linearizable reads through the read index. Reads are batched: one quorum
//! round serves all reads queued when it starts.

use actix::ResponseFuture;
use schema::{ErrorCode, Reply};
use tokio::sync::oneshot;
use wire::error_reply;

use super::Replica;

/// Reads that wait for a quorum round.
#[derive(Default)]
pub(crate) struct Reads {
    /// Round in progress; there is at most one at a time.
    round: Option<QuorumRound>,
    /// Reads for the next round.
    queued: Vec<Read>,
}

struct QuorumRound {
    id: u64,
    /// Read index, once a quorum confirmed the round; the reads are served
    /// when the state has been applied up to it.
    read_index: Option<u64>,
    reads: Vec<Read>,
}

struct Read {
    evaluate: Box<dyn FnOnce(&Replica) -> Reply>,
    result: oneshot::Sender<Reply>,
}

impl Reads {
    /// Fails all reads when leadership ends.
    pub(crate) fn fail_all(&mut self) {
        let started = self.round.take().into_iter().flat_map(|round| round.reads);
        fail(started.chain(std::mem::take(&mut self.queued)));
    }
}

fn fail(reads: impl IntoIterator<Item = Read>) {
    for read in reads {
        let reply = error_reply(ErrorCode::NotLeader, "leadership ended; ask the next leader");
        let _ = read.result.send(reply);
    }
}

impl Replica {
    /// Calls `evaluate` on the replica once a quorum has confirmed this replica's
    /// leadership and the state is applied up to the read index.
    pub(super) fn linearizable_read(
        &mut self,
        evaluate: impl FnOnce(&Replica) -> Reply + 'static,
    ) -> ResponseFuture<Reply> {
        let (result, receiver) = oneshot::channel();
        self.reads.queued.push(Read { evaluate: Box::new(evaluate), result });
        Box::pin(async move {
            let stopping = || error_reply(ErrorCode::NotLeader, "the process is stopping");
            receiver.await.unwrap_or_else(|_| stopping())
        })
    }

    pub(super) fn serve_reads(&mut self) {
        for ready in self.node.take_reads() {
            if let Some(round) = self.reads.round.as_mut().filter(|r| r.id == ready.id) {
                round.read_index = Some(ready.index);
            }
        }
        if !self.node.take_failed_reads().is_empty() {
            self.reads.fail_all();
        }
        let applied_index = self.node.applied_index();
        let is_ready =
            |round: &mut QuorumRound| round.read_index.is_some_and(|i| i <= applied_index);
        if let Some(round) = self.reads.round.take_if(is_ready) {
            for read in round.reads {
                let _ = read.result.send((read.evaluate)(self));
            }
        }
        self.start_round();
    }

    fn start_round(&mut self) {
        if self.reads.round.is_some() || self.reads.queued.is_empty() {
            return;
        }
        let reads = std::mem::take(&mut self.reads.queued);
        match self.node.request_read_index() {
            Ok(id) => {
                self.reads.round = Some(QuorumRound { id, read_index: None, reads });
                let messages = self.node.take_messages();
                self.send_messages(messages);
                // The only voter of a group confirms its own round at once.
                self.serve_reads();
            }
            Err(_) => fail(reads),
        }
    }
}
