//! Connection of a caller and bodies of its responses, which record the progress of requests.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::answer::{Body, ResponseTruncated};
use crate::unfinished::{BodyEnd, Progress, ReadEnd};

/// Connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    pub(crate) stream: TcpStream,
    pub(crate) progress: Rc<Progress>,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        match &result {
            Poll::Ready(Ok(())) if buffer.filled().len() > before => self.progress.record_bytes(),
            Poll::Ready(Ok(())) => self.progress.record_read_end(ReadEnd::Closed),
            Poll::Ready(Err(_)) => self.progress.record_read_end(ReadEnd::Failed),
            Poll::Pending => {}
        }
        result
    }
}

impl CallerStream {
    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Err(_)) = &result {
            self.progress.record_write_failure();
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &result {
            self.progress.record_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Body of a response to a caller.
pub(crate) struct CallerBody {
    body: Body,
    progress: Rc<Progress>,
}

impl CallerBody {
    pub(crate) fn new(body: Body, progress: Rc<Progress>) -> Self {
        CallerBody { body, progress }
    }
}

impl hyper::body::Body for CallerBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        let polled = AssertUnwindSafe(|| self.body.as_mut().poll_frame(cx));
        // An error, unlike a panic, lets the connection tell the caller that the response is
        // truncated. The body is not polled again.
        let Ok(frame) = catch_unwind(polled) else {
            self.progress.record_body_end(BodyEnd::Panic);
            return Poll::Ready(Some(Err(ResponseTruncated)));
        };
        if let Poll::Ready(Some(Err(_))) = &frame {
            self.progress.record_body_end(BodyEnd::BrokenOff);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CallerBody {
    /// hyper drops a body once it needs no more of it.
    fn drop(&mut self) {
        self.progress.record_body_end(BodyEnd::Complete);
    }
}
