//! One connection of this VM to another process.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle, time::Instant},
};

/// Data that is not acknowledged for this long shows that a connection has gone silent.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// A connection and the task that drives it; dropped, it is closed at once.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    pub(crate) idle_since: Instant,
    pub(crate) idle_limit: Duration,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        tune(&stream)?;
        let made = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_ended", reason:% = error; "connection ended");
            }
        });
        Ok(Self {
            sender,
            driver,
            idle_since: Instant::now(),
            idle_limit: Duration::ZERO,
        })
    }

    /// Whether it may carry another request.
    pub(crate) fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_limit
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Shows silent connections by probes, as nothing else does.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
