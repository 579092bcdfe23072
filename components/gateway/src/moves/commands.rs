//! Commands of a move to the engine that a generation leaves.

use std::net::SocketAddr;

use compact_str::CompactString;
use tokio::time::Instant;

use super::COPY_TIMEOUT;
use crate::accept::Call;
use crate::dialect::{MoveCommand, MoveResult};
use crate::exchange::{ExchangeError, send_command};
use crate::health::record_failure;
use crate::notices;
use crate::shared::Shared;
use crate::target::Target;

/// Largest response to a move or free command.
const MAX_RESPONSE_BYTES: usize = 4_096;

/// Result of a stop command.
#[derive(Debug)]
pub(crate) enum StopResult {
    /// The generation is stopped and its KV cache is copied.
    Copied(CompactString),
    /// There was nothing to stop: the generation ended, or is queued to
    /// recompute its prefill.
    NotRunning,
    /// The generation is stopped, and its source keeps the KV cache; its copy is not up to date.
    Kept(CompactString),
    /// The engine accepts no command.
    Unreachable,
    /// The engine refuses the command, or wants none: the generation is not stopped.
    Refused,
    /// The generation may still run, or be stopped.
    Unknown,
}

/// Tells an engine to stop a generation and to copy the rest of its KV cache.
pub(crate) async fn send_stop(
    shared: &Shared,
    call: &Call,
    source: &Target,
    to: SocketAddr,
) -> StopResult {
    if notices::pause_ms(shared, &source.id, source.born_ms) > 0 {
        return StopResult::Refused;
    }
    match send_move(shared, call, source, to, true).await {
        Ok(MoveResult::Copied(handle)) => StopResult::Copied(handle),
        Ok(MoveResult::Kept(handle)) => StopResult::Kept(handle),
        Ok(MoveResult::NotRunning) => StopResult::NotRunning,
        Ok(MoveResult::Failed) => StopResult::Refused,
        Ok(MoveResult::Unknown) => StopResult::Unknown,
        Err(ExchangeError::NotSent(_) | ExchangeError::Evacuated) => StopResult::Unreachable,
        Err(
            ExchangeError::ConnectionLost(_) | ExchangeError::NoAnswer(_) | ExchangeError::TimedOut,
        ) => StopResult::Unknown,
    }
}

/// Tells an engine to copy the KV cache of a generation to the engine at `to`; with `stop`, it
/// stops the generation before.
pub(super) async fn send_move(
    shared: &Shared,
    call: &Call,
    source: &Target,
    to: SocketAddr,
    stop: bool,
) -> Result<MoveResult, ExchangeError> {
    let command = MoveCommand { request_id: &call.head.id, to, stop };
    let request = shared.dialect.move_request(&command);
    let until = Instant::now() + COPY_TIMEOUT;
    log::info!(request = command.request_id, upstream = source.id.as_str(), to = command.to.to_string().as_str(), stop = command.stop; "sending move command to engine");
    let response =
        send_command(shared, &call.span, source, request, until, MAX_RESPONSE_BYTES).await;
    let (result, status) = match response {
        Ok((status, body)) => {
            (Ok(shared.dialect.parse_move_response(status, &body)), status.to_string())
        }
        Err(error) => {
            let text = error.to_string();
            (Err(error), text)
        }
    };
    if let Ok(MoveResult::Copied(handle) | MoveResult::Kept(handle)) = &result
        && !shared.copies.borrow_mut().claim(source.incarnation(), handle, &call.head.id)
    {
        record_failure(shared, source, "handle of another generation");
        return Err(ExchangeError::ConnectionLost("handle of another generation".to_string()));
    }
    if !matches!(result, Ok(MoveResult::Copied(_))) {
        log::info!(request = command.request_id, upstream = source.id.as_str(), to = command.to.to_string().as_str(), stop = command.stop, status = status.as_str(); "engine did not carry out the move command");
    }
    result
}

/// Frees a copy through the engine that it was copied from.
pub(super) async fn free(shared: &Shared, call: &Call, source: &Target, handle: &str) {
    shared.copies.borrow_mut().release(source.incarnation(), handle);
    let request = shared.dialect.free_copy_request(handle);
    log::info!(request = call.head.id.as_str(), upstream = source.id.as_str(), handle; "freeing the copy of a KV cache");
    let until = Instant::now() + COPY_TIMEOUT;
    let response = send_command(shared, &call.span, source, request, until, MAX_RESPONSE_BYTES);
    if let Err(error) = response.await {
        log::info!(upstream = source.id.as_str(), error = error.to_string().as_str(); "cannot free the copy of a KV cache");
    }
}
