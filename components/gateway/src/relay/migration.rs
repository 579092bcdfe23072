//! Move of the generation behind a relayed stream to another engine.

use schema::RepeatKind;

use super::{Relay, StoppedBy};
use crate::moves::{self, MoveEvent, MoveState, SourceEnd, StopResult, StoppedGeneration};
use crate::place::is_draining_or_gone;
use crate::target::Target;
use crate::timing::elapsed_ms;

impl Relay {
    pub(super) fn start_move(&mut self) {
        let Some(source) = &self.source else { return };
        // Resumable streams are short, and are run again if they are interrupted.
        let movable = self.call.requirements.engine.as_ref().is_some_and(|engine| engine.moves)
            && self.call.route.kind() == RepeatKind::Stream;
        let target = &source.reservation.target;
        let idle = matches!(self.move_state, MoveState::Idle);
        if !idle || !movable || !is_draining_or_gone(&self.shared, target) {
            return;
        }
        log::info!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), events = self.progress.relayed; "engine is draining; copying the generation to another engine");
        let (events, avoided) = (self.progress.relayed, self.avoided.clone());
        self.move_state = moves::start_copy(&self.shared, &self.call, target, events, avoided);
    }

    pub(super) fn advance_move(&mut self, event: MoveEvent) {
        let Some(source) = &self.source else { return };
        let target = &source.reservation.target;
        let state = std::mem::take(&mut self.move_state);
        self.move_state = match (state, event) {
            (MoveState::Copying(_, plan), MoveEvent::Copied(Some(copy))) => {
                MoveState::Copied(copy, plan)
            }
            (MoveState::Copying(..), MoveEvent::Copied(None)) => {
                moves::start_copy_again(&self.shared, &self.call, target, self.progress.relayed)
            }
            (MoveState::Copied(copy, plan), MoveEvent::StopDue) => {
                log::info!(request = self.call.head.id.as_str(), from = target.id.as_str(), to = copy.reservation.target.id.as_str(), since_event_ms = elapsed_ms(self.progress.last_event_at); "stopping the generation on its source engine");
                moves::start_stop(&self.shared, &self.call, target, copy, plan)
            }
            (MoveState::Stopping(copy, ..), MoveEvent::Stopped(result)) => match result {
                StopResult::Copied(handle) => {
                    MoveState::Stopped(StoppedGeneration::up_to_date(copy, handle))
                }
                StopResult::Kept(handle) => {
                    MoveState::Stopped(StoppedGeneration::kept(Some(copy), handle))
                }
                // The generation may be queued at the source. What an earlier command without a
                // result has done remains unknown.
                StopResult::NotRunning | StopResult::Unreachable | StopResult::Refused => {
                    moves::retry_stop(&self.shared, &self.call, target, copy, self.progress.relayed)
                }
                StopResult::Unknown => {
                    self.stopped_by.get_or_insert(StoppedBy::Command);
                    moves::retry_stop(&self.shared, &self.call, target, copy, self.progress.relayed)
                }
            },
            (_, _) => MoveState::Idle,
        };
    }

    /// Ends the move in progress and frees its copy.
    pub(super) fn discard_move(&mut self) {
        let state = std::mem::take(&mut self.move_state);
        if let Some(source) = &self.source {
            moves::discard(&self.shared, &self.call, &source.reservation.target, state);
        }
    }

    /// Returns the generation to go on with, and its source. If the stream is complete, the copy
    /// is freed.
    pub(super) async fn take_stopped(
        &mut self,
        end: SourceEnd,
    ) -> Option<(StoppedGeneration, Target)> {
        let state = std::mem::take(&mut self.move_state);
        let source = self.source.as_ref()?.reservation.target.clone();
        let (shared, call) = (&self.shared, &self.call);
        let stopped = moves::take_stopped(shared, call, &source, state, end).await?;
        Some((stopped, source))
    }
}
