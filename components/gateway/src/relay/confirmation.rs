//! Distinguishes a run that had nothing to add to a complete stream from one that has not continued
//! it: both end without an event.

use http_body_util::BodyExt as _;
use schema::RepeatKind;
use tokio::time::timeout_at;

use super::resume::ResumeError;
use super::{MAX_BYTES_WITHOUT_EVENT, Relay, Source};
use crate::dialect::Resume;
use crate::events::EventSplitter;
use crate::place::reserve_for_return;

impl Relay {
    /// Returns whether the stream is complete although its run has added no event: the same engine,
    /// asked to resume before the last event, sends just that one and ends in order.
    pub(super) async fn confirm_end(&mut self) -> bool {
        let Some(last) = self.progress.last_event_id.filter(|_| self.progress.is_resumable())
        else {
            return false;
        };
        let Some(before_last) = self.progress.id_before_last() else { return false };
        let resumable = self.call.route.kind() == RepeatKind::ResumableStream;
        let ended_in_order = self.resumed && !self.events.has_partial_event();
        let Some(source) = self.source.as_ref().filter(|source| source.is_framed) else {
            return false;
        };
        if !resumable || !ended_in_order || !self.shared.try_retry(&self.call.requirements.service)
        {
            return false;
        }
        let target = source.reservation.target.clone();
        let reservation =
            reserve_for_return(&self.shared, &self.call, &target, self.progress.relayed);
        let resume = Resume { last_event_id: before_last, kv_cache: None };
        let asking = async {
            let mut source = self.ask_from(reservation, resume).await?;
            let ended = self.sends_only(&mut source, last).await;
            Ok::<_, ResumeError>(ended.then_some(source))
        };
        let answered = timeout_at(self.call.until, asking).await;
        let confirmed = matches!(answered, Ok(Ok(Some(_))));
        log::info!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), last_event_id = last, confirmed; "run ended without an event; asked for the last one again");
        if let Ok(Ok(Some(source))) = answered {
            self.source = Some(source);
        }
        confirmed
    }

    /// Returns whether a run sends the event `id` and no other one, and ends in order.
    async fn sends_only(&self, source: &mut Source, id: u64) -> bool {
        let mut events = EventSplitter::default();
        let mut count = 0;
        while let Some(frame) = source.body.frame().await {
            let Ok(frame) = frame else { return false };
            events.push(&frame.into_data().unwrap_or_default());
            while let Some(event) = events.next() {
                if self.shared.dialect.event_id(&event) != Some(id) {
                    return false;
                }
                count += 1;
            }
            if events.buffered_bytes() > MAX_BYTES_WITHOUT_EVENT {
                return false;
            }
        }
        source.is_framed && count == 1 && !events.has_partial_event()
    }
}
