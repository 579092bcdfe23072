//! Resumption of a stream on another engine.

use compact_str::CompactString;
use http_body_util::BodyExt as _;
use schema::RepeatKind;
use tokio::time::Instant;

use super::ending::StreamEnd;
use super::interruption::NotContinued;
use super::probe;
use super::{MAX_BYTES_WITHOUT_EVENT, Relay, Source, is_event_stream};
use crate::attempts::{MAX_SENDS, MAX_UNREACHABLE};
use crate::crashes;
use crate::dialect::{KvCacheRef, Resume};
use crate::eligibility::Excluded;
use crate::events::EventSplitter;
use crate::exchange::{ExchangeError, exchange};
use crate::health::{record_failure, record_lost, record_unreachable};
use crate::moves::SourceEnd;
use crate::notices;
use crate::place::{ReserveError, wait_for_slot};
use crate::quarantine;
use crate::reach;
use crate::reservation::Reservation;

/// Why an engine did not resume a stream.
pub(super) enum ResumeError {
    /// It did not run the request; another engine may.
    NotRun,
    /// It accepts no connection.
    Unreachable,
    /// It may run the request: the response was lost, or is none to it.
    Lost,
    /// There is no time left, or the request cannot name the last event.
    Failed,
}

/// How the wait for a slot at another engine ended.
enum Placed {
    Reserved(Reservation),
    Refused(ReserveError),
    /// The source of the stream goes on.
    Heard,
}

/// Who sent the next event of a stream whose source was silent.
enum Asked {
    /// The engine that was asked to go on, with the events that it has sent.
    Answered(Box<Source>, EventSplitter),
    /// The source of the stream.
    Heard,
}

impl Relay {
    /// Has another engine or gateway continue the stream. The source is kept until one does.
    pub(super) async fn recover(&mut self) -> Result<(), NotContinued> {
        if Box::pin(self.take_back()).await? {
            return Ok(());
        }
        if self.shared.is_cut_off() && Box::pin(self.continue_at_peer()).await {
            return Ok(());
        }
        if let Some((stopped, source)) = self.take_stopped(SourceEnd::Interrupted).await {
            return Box::pin(self.go_on(stopped, source)).await;
        }
        let resumable = self.call.route.kind() == RepeatKind::ResumableStream;
        let may_run = self.runs < self.call.route.max_attempts.max(1);
        let has_place = self.progress.is_resumable();
        if resumable
            && may_run
            && has_place
            && self.shared.try_retry(&self.call.requirements.service)
        {
            let failed = self.source.as_ref().map(|source| source.reservation.target.id.clone());
            return self.run_again(failed).await;
        }
        // A source that may go on is read meanwhile; the relay learns of a partition by itself.
        if !self.has_live_source()
            && self.lost_with_all_upstreams().await
            && Box::pin(self.continue_at_peer()).await
        {
            return Ok(());
        }
        Err(NotContinued::default())
    }

    /// Returns whether the stream was interrupted because this gateway reaches no upstream; its
    /// generation may still run then.
    async fn lost_with_all_upstreams(&mut self) -> bool {
        let Some(source) = &self.source else { return false };
        let connected = probe::connect(&self.shared, source.reservation.target.address).await;
        !self.is_reachable(connected) && Box::pin(reach::confirm_cut_off(&self.shared)).await
    }

    /// Runs the request again on another engine, starting after the last event that was
    /// relayed, but not on the one that `failed`. Engines that do not run it are passed over.
    /// A source that goes on meanwhile keeps the stream.
    pub(super) async fn run_again(
        &mut self,
        failed: Option<CompactString>,
    ) -> Result<(), NotContinued> {
        let mut excluded: Excluded = failed.into_iter().collect();
        for _ in 0..MAX_SENDS + MAX_UNREACHABLE {
            if quarantine::admit(&self.shared, &self.call).await.is_err() {
                return Err(NotContinued(StreamEnd::Quarantined));
            }
            let reservation = match self.place_or_hear(&excluded).await {
                Placed::Reserved(reservation) => reservation,
                Placed::Refused(ReserveError::VersionGone) => {
                    return Err(NotContinued(StreamEnd::VersionGone));
                }
                Placed::Refused(_) => return Err(NotContinued(StreamEnd::NoPlace)),
                Placed::Heard => return Ok(()),
            };
            let upstream = reservation.target.id.clone();
            match self.ask_or_hear(reservation).await {
                Ok(asked) => {
                    self.runs += 1;
                    if let Asked::Answered(source, events) = asked {
                        self.adopt(*source, events);
                    }
                    return Ok(());
                }
                Err(ResumeError::Unreachable) => {
                    excluded.push(upstream);
                    if Box::pin(reach::confirm_cut_off(&self.shared)).await
                        && Box::pin(self.continue_at_peer()).await
                    {
                        return Ok(());
                    }
                }
                Err(ResumeError::NotRun)
                    if self.shared.try_retry(&self.call.requirements.service) =>
                {
                    excluded.push(upstream);
                }
                Err(ResumeError::NotRun) => break,
                Err(ResumeError::Lost | ResumeError::Failed) => {
                    self.runs += 1;
                    break;
                }
            }
        }
        Err(NotContinued::default())
    }

    /// Waits for a slot at another engine, or until the source goes on with the stream.
    async fn place_or_hear(&mut self, excluded: &Excluded) -> Placed {
        let (shared, call, origin) = (self.shared.clone(), self.call.clone(), self.origin.clone());
        let placing = wait_for_slot(&shared, &call, Some(&origin), excluded, call.until);
        let placed = match self.source.as_mut().filter(|source| !source.has_ended) {
            None => placing.await,
            Some(source) => tokio::select! {
                biased;
                step = source.next_sign() => {
                    self.pending = Some(step);
                    return Placed::Heard;
                }
                placed = placing => placed,
            },
        };
        placed.map_or_else(Placed::Refused, Placed::Reserved)
    }

    /// Sends the request to another engine, to go on after the last event that was relayed.
    pub(super) async fn ask(
        &self,
        reservation: Reservation,
        kv_cache: Option<KvCacheRef>,
    ) -> Result<Source, ResumeError> {
        let resume = Resume { last_event_id: self.progress.last_event_id, kv_cache };
        self.ask_from(reservation, resume).await
    }

    /// The same, after the event that `resume` names.
    pub(super) async fn ask_from(
        &self,
        mut reservation: Reservation,
        resume: Resume,
    ) -> Result<Source, ResumeError> {
        if !self.progress.is_resumable() {
            log::warn!(request = self.call.head.id.as_str(); "stream not resumed: its last event has no id");
            return Err(ResumeError::Failed);
        }
        let target = &reservation.target;
        let request = self.call.to_request(&self.shared, target, Some(&resume));
        let exchanged =
            exchange(&self.shared, &self.call.span, target, request, self.call.until).await;
        let response = match exchanged {
            Ok(response) => response,
            Err(error) => return Err(self.handle_exchange_error(&reservation, &error).await),
        };
        let head = self.shared.dialect.parse_response(&response.head);
        let id_matches = head.request_id.as_deref().is_none_or(|id| id == self.call.head.id);
        if id_matches && !head.misdirected {
            notices::apply(&self.shared, target, &head);
        }
        if !is_event_stream(&response.head) || !head.signed || !id_matches {
            let status = response.head.status.as_u16();
            log::warn!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), status, not_run = head.not_run; "engine did not resume the stream");
            let is_not_run = head.request_id.is_some() && id_matches && head.not_run;
            return Err(if is_not_run { ResumeError::NotRun } else { ResumeError::Lost });
        }
        reservation.record_first_event();
        reservation.record_progress(&self.call.requirements, self.progress.relayed);
        let (_, source) = Source::new(response, reservation);
        Ok(source)
    }

    /// Makes an engine that goes on with the stream its source; `events` are those that it has
    /// sent so far.
    pub(super) fn adopt(&mut self, source: Source, events: EventSplitter) {
        self.call.hand_back.set(None);
        self.hand_back = None;
        self.heard_at = Instant::now();
        self.events = events;
        self.progress.bytes_without_event = 0;
        self.peer = None;
        self.stopped_by = None;
        self.resumed = true;
        self.events_of_run = 0;
        self.source = Some(source);
        self.start_move();
    }

    /// Asks another engine to go on while the source of the stream may do so itself, until one
    /// of them sends an event.
    async fn ask_or_hear(&mut self, reservation: Reservation) -> Result<Asked, ResumeError> {
        let Some(mut source) = self.source.take_if(|source| !source.has_ended) else {
            let source = self.ask(reservation, None).await?;
            return Ok(Asked::Answered(Box::new(source), EventSplitter::default()));
        };
        let answered = tokio::select! {
            biased;
            step = source.next_sign() => {
                self.pending = Some(step);
                Ok(Asked::Heard)
            }
            answered = self.ask_for_event(reservation) => answered,
        };
        self.source = Some(source);
        answered
    }

    /// Asks another engine to go on, and waits for its first event.
    async fn ask_for_event(&self, reservation: Reservation) -> Result<Asked, ResumeError> {
        let mut source = self.ask(reservation, None).await?;
        let mut events = EventSplitter::default();
        while let Some(Ok(frame)) = source.body.frame().await
            && events.buffered_bytes() <= MAX_BYTES_WITHOUT_EVENT
        {
            events.push(&frame.into_data().unwrap_or_default());
            match events.first().map(|event| self.shared.dialect.event_id(event)) {
                Some(id) if self.progress.may_go_on_with(id) => {
                    return Ok(Asked::Answered(Box::new(source), events));
                }
                Some(_) => break,
                None => {}
            }
        }
        log::warn!(request = self.call.head.id.as_str(), upstream = source.reservation.target.id.as_str(); "engine sent no event that continues the stream");
        record_failure(&self.shared, &source.reservation.target, "stream not continued");
        Err(ResumeError::Lost)
    }

    /// Counts a failed exchange against the engine.
    async fn handle_exchange_error(
        &self,
        reservation: &Reservation,
        error: &ExchangeError,
    ) -> ResumeError {
        let target = &reservation.target;
        let text = error.to_string();
        log::info!(request = self.call.head.id.as_str(), upstream = target.id.as_str(), error = text.as_str(); "request to upstream failed");
        match error {
            ExchangeError::NotSent(_) => {
                record_unreachable(&self.shared, target);
                ResumeError::Unreachable
            }
            ExchangeError::Evacuated => ResumeError::NotRun,
            ExchangeError::ConnectionLost(_) => {
                record_lost(&self.shared, target);
                let sent = reservation.reserved_at();
                crashes::handle_break_off(&self.shared, &self.call, target, sent).await;
                ResumeError::Lost
            }
            ExchangeError::NoAnswer(_) => {
                record_failure(&self.shared, target, "no answer in the protocol");
                ResumeError::Lost
            }
            ExchangeError::TimedOut => {
                record_failure(&self.shared, target, "timed out");
                ResumeError::Failed
            }
        }
    }
}
