//! Resumption of a stream on another engine.

use compact_str::CompactString;
use schema::RepeatKind;

use super::ending::StreamEnd;
use super::probe::{self, Probe};
use super::{Relay, Source, is_event_stream};
use crate::answer::ResponseTruncated;
use crate::attempts::{MAX_SENDS, MAX_UNREACHABLE};
use crate::crashes;
use crate::dialect::{KvCacheRef, Resume};
use crate::eligibility::Excluded;
use crate::exchange::{ExchangeError, UpstreamResponse, exchange};
use crate::health::{record_failure, record_unreachable};
use crate::moves::{self, CacheCopy};
use crate::notices;
use crate::place::{ReserveError, wait_for_slot};
use crate::quarantine;
use crate::reach;
use crate::reservation::Reservation;
use crate::target::Target;

/// Why an engine did not resume a stream.
enum ResumeError {
    /// It did not run the request; another engine may.
    NotRun,
    /// It accepts no connection.
    Unreachable,
    /// It may have run the request, or there is no time left.
    Failed,
}

impl Relay {
    /// Resumes an interrupted stream on another engine, if that is possible.
    pub(super) async fn recover(&mut self, error: &str) -> Result<(), ResponseTruncated> {
        if self.shared.is_cut_off() && Box::pin(self.continue_at_peer()).await {
            return Ok(());
        }
        if let Some(copy) = self.take_copy(true).await {
            return self.go_on_from(copy).await;
        }
        let resumable = self.call.route.kind() == RepeatKind::ResumableStream;
        let may_run = self.runs < self.call.route.max_attempts.max(1);
        let has_place = self.progress.is_resumable();
        if resumable
            && may_run
            && has_place
            && self.shared.try_retry(&self.call.requirements.service)
        {
            self.runs += 1;
            let failed = self.source.take().map(|source| source.reservation.target.id.clone());
            return self.run_again(failed).await;
        }
        if self.lost_with_all_upstreams().await && Box::pin(self.continue_at_peer()).await {
            return Ok(());
        }
        let lost_by_peer = self.peer.is_some();
        let end = if lost_by_peer { StreamEnd::LostByPeer } else { StreamEnd::NotContinued };
        self.record_end(end, error);
        self.source = None;
        self.peer = None;
        Err(ResponseTruncated)
    }

    /// Returns whether the stream was interrupted because this gateway reaches no upstream; its
    /// generation may still run then.
    async fn lost_with_all_upstreams(&mut self) -> bool {
        let Some(source) = &self.source else { return false };
        let connected = probe::connect(&self.shared, source.reservation.target.address).await;
        !self.is_reachable(connected) && Box::pin(reach::confirm_cut_off(&self.shared)).await
    }

    /// Closes the stream that has ended, and resumes it from a copy of its KV cache.
    pub(super) async fn go_on_from(&mut self, copy: CacheCopy) -> Result<(), ResponseTruncated> {
        let source = self.source.take().ok_or(ResponseTruncated)?;
        let target = source.reservation.target.clone();
        drop(source);
        self.resume_from_copy(copy, &target).await
    }

    /// Resumes the stream that came from `source` on the engine that holds the copy of its KV
    /// cache; frees the copy if that fails.
    pub(super) async fn resume_from_copy(
        &mut self,
        copy: CacheCopy,
        source: &Target,
    ) -> Result<(), ResponseTruncated> {
        self.discard_unfinished_event();
        let CacheCopy { reservation, cache } = copy;
        log::info!(request = self.call.head.id.as_str(), from = source.id.as_str(), to = reservation.target.id.as_str(), events = self.progress.relayed; "moving generation");
        let resumed = self.resume(reservation, Some(cache.clone())).await;
        let outcome = if resumed.is_ok() { "moved" } else { "failed" };
        self.shared.metrics.moves.with_label_values(&[outcome]).inc();
        match &resumed {
            Ok(()) => {
                log::info!(request = self.call.head.id.as_str(), events = self.progress.relayed; "generation moved");
            }
            Err(_) => moves::free_later(&self.shared, &self.call, source, cache.handle),
        }
        resumed.map_err(|_| {
            self.record_end(StreamEnd::NotContinued, "copy of the KV cache not used");
            ResponseTruncated
        })
    }

    /// Runs the request again on another engine, starting after the last event that was
    /// relayed, but not on the one that `failed`. Engines that do not run it are passed over.
    pub(super) async fn run_again(
        &mut self,
        failed: Option<CompactString>,
    ) -> Result<(), ResponseTruncated> {
        self.peer = None;
        self.discard_unfinished_event();
        let mut excluded: Excluded = failed.into_iter().collect();
        for _ in 0..MAX_SENDS + MAX_UNREACHABLE {
            if let Err(refusal) = quarantine::admit(&self.shared, &self.call).await {
                self.record_end(StreamEnd::Quarantined, refusal.reason);
                return Err(ResponseTruncated);
            }
            let (call, origin) = (&self.call, Some(&self.origin));
            let placed = wait_for_slot(&self.shared, call, origin, &excluded, call.until).await;
            let reservation = match placed {
                Ok(reservation) => reservation,
                Err(reason) => {
                    let end = match reason {
                        ReserveError::VersionGone => StreamEnd::VersionGone,
                        _ => StreamEnd::NoPlace,
                    };
                    self.record_end(end, "");
                    return Err(ResponseTruncated);
                }
            };
            let upstream = reservation.target.id.clone();
            match self.resume(reservation, None).await {
                Ok(()) => return Ok(()),
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
                Err(ResumeError::NotRun | ResumeError::Failed) => break,
            }
        }
        self.record_end(StreamEnd::NotContinued, "");
        Err(ResponseTruncated)
    }

    async fn resume(
        &mut self,
        mut reservation: Reservation,
        kv_cache: Option<KvCacheRef>,
    ) -> Result<(), ResumeError> {
        if !self.progress.is_resumable() {
            log::warn!(request = self.call.head.id.as_str(); "stream not resumed: its last event has no id");
            return Err(ResumeError::Failed);
        }
        let resume = Resume { last_event_id: self.progress.last_event_id, kv_cache };
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
            return Err(if is_not_run { ResumeError::NotRun } else { ResumeError::Failed });
        }
        self.resumed = true;
        self.events_of_run = 0;
        reservation.record_first_event();
        reservation.record_progress(&self.call.requirements, self.progress.relayed);
        let UpstreamResponse { body, connection, .. } = response;
        self.source = Some(Source { body, connection, reservation, probe: Probe::default() });
        self.start_move();
        Ok(())
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
            ExchangeError::ConnectionLost(_) => {
                record_failure(&self.shared, target, "connection lost");
                let sent = reservation.reserved_at();
                crashes::handle_break_off(&self.shared, &self.call, target, sent).await;
                ResumeError::Failed
            }
            ExchangeError::TimedOut => {
                record_failure(&self.shared, target, "timed out");
                ResumeError::Failed
            }
        }
    }
}
