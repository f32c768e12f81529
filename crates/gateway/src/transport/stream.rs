//! A TCP stream that tells when the responses on it are written.

use {
    super::Unwritten,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection of a server. Hyper flushes it whenever its own buffer is empty, so that everything
/// handed over before is written then.
pub(crate) struct Stream {
    socket: TcpStream,
    unwritten: Unwritten,
}

impl Stream {
    pub(crate) fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            unwritten: Unwritten::default(),
        }
    }

    /// Returns the guards that are held until the responses are written.
    pub(crate) fn unwritten(&self) -> Unwritten {
        self.unwritten.clone()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.unwritten.release();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
