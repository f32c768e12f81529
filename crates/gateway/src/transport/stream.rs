//! A TCP stream that tells when the responses on it are written, and waits for slow readers.

use {
    super::{Unwritten, socket::set_options, watch::Watch},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection of a server or a client. Hyper flushes it whenever its own buffer is empty, so that everything
/// handed over before is written then.
pub(crate) struct Stream {
    socket: TcpStream,
    unwritten: Unwritten,
    watch: Watch,
}

impl Stream {
    /// Sets the options of a connected socket.
    ///
    /// # Errors
    /// The error of the kernel.
    pub(crate) fn new(socket: TcpStream) -> io::Result<Self> {
        set_options(&socket)?;
        Ok(Self {
            socket,
            unwritten: Unwritten::default(),
            watch: Watch::default(),
        })
    }

    /// Looks after the peer if it is time to.
    fn watch(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let deadline = self.unwritten.deadline();
        self.watch.poll(&self.socket, deadline, context)
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>, context: &mut Context<'_>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.watch.record_write(Some(*bytes), context),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.watch.record_write(None, context),
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
        self.watch(context)?;
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.watch(context)?;
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.record_write(&written, context);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.watch(context)?;
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.record_write(&written, context);
        written
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

    /// Waits until the peer has everything, as the kernel would soon give up a closed connection whose
    /// peer pauses.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_shutdown(context))?;
        self.watch(context)?;
        let Self { socket, watch, .. } = &mut *self;
        if !watch.is_pending() {
            return Poll::Ready(Ok(()));
        }
        // The process may end meanwhile.
        watch.tolerate(socket, true)?;
        Poll::Pending
    }
}
