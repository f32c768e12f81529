//! A client connection over HTTP/1.1.

use {
    crate::transport::Stream,
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle, time::Instant},
};

/// Bytes of responses that are read ahead of their receiver.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// A connection and the task that drives it. Dropping it closes the connection at once.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    pub(crate) idle_since: Instant,
    pub(crate) idle_timeout: Duration,
    /// Time after which the peer closes idle connections, if it states one.
    pub(super) stated_timeout: Option<Duration>,
    /// Whether an earlier exchange took place on it.
    pub(super) is_reused: bool,
}

impl Connection {
    /// Connects to an address and performs the HTTP handshake.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let stream = Stream::new(stream)?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", reason:% = error; "client connection closed with an error");
            }
        });
        Ok(Self {
            sender,
            driver,
            idle_since: Instant::now(),
            idle_timeout: Duration::ZERO,
            stated_timeout: None,
            is_reused: false,
        })
    }

    /// Returns whether the connection is open and within its idle timeout.
    pub(crate) fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_timeout
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
