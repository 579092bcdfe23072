//! HTTP connections from callers.

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use crate::caller::{CallerBody, CallerStream};
use crate::forward;
use crate::shared::Shared;
use crate::unfinished::{DropGuard, Progress};

/// Idle timeout if the published set of routes gives none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a connection stays open beyond the published idle timeout, so
/// that callers that respect the timeout never reuse a closed connection.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Minimum buffer size for the head of a request.
const MIN_BUFFER_BYTES: usize = 16 << 10;
/// Delay after a failed accept, usually for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the task is dropped; once `closing` is true,
/// connections close as soon as they are idle.
pub(crate) async fn serve(
    shared: Rc<Shared>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(shared.config.limits.max_connections as usize));
    loop {
        // Acquiring fails only on a closed semaphore, and this one is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let (shared, closing) = (shared.clone(), closing.clone());
                actix_rt::spawn(async move {
                    serve_connection(shared, stream, closing).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    shared: Rc<Shared>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error = error.to_string().as_str(); "cannot set TCP_NODELAY on a caller connection");
        return;
    }
    let (idle_timeout, buffer_bytes) = connection_limits(&shared);
    let ends_with_connection = Cell::new(false);
    let progress = Progress::new(&shared);
    let open_connection = OnceCell::new();
    let service = service_fn(|request: Request<Incoming>| {
        open_connection.get_or_init(|| shared.track_connection());
        ends_with_connection.set(request.version() == Version::HTTP_10);
        let (shared, progress) = (shared.clone(), progress.clone());
        async move {
            let response = forward::serve(shared, &progress, request).await;
            Ok::<_, Infallible>(response.map(|body| CallerBody::new(body, progress)))
        }
    });
    let caller = CallerStream { stream, progress: progress.clone() };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(buffer_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(caller), service);
    let _guard = DropGuard(progress.clone());
    let mut open = true;
    let result = loop {
        tokio::select! {
            result = &mut connection => break result,
            _ = closing.wait_for(|closing| *closing), if open => {
                open = false;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    progress.record_connection_end(result.as_ref().err());
    let Err(error) = result else { return };
    log::debug!(error = error.to_string().as_str(); "caller connection failed");
    if ends_with_connection.get() {
        // A close would look like the end of the response.
        let stream = connection.into_parts().io.into_inner().stream;
        if let Err(error) = stream.set_zero_linger() {
            log::debug!(error = error.to_string().as_str(); "cannot reset a caller connection");
        }
    }
}

/// Returns the idle timeout and the buffer size for the head of a request.
fn connection_limits(shared: &Shared) -> (Duration, usize) {
    let table = shared.table();
    let limits = table.set().limits.unwrap_or_default();
    let idle_timeout = match limits.idle_timeout_ms {
        0 => DEFAULT_IDLE_TIMEOUT,
        idle_ms => Duration::from_millis(idle_ms) + IDLE_MARGIN,
    };
    let head_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
    (idle_timeout, head_bytes.max(MIN_BUFFER_BYTES))
}
