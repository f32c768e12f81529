//! HTTP clients of one thread.

use {
    awc::{Client, Connector, http::Version},
    std::time::Duration,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection to a target is kept.
pub(crate) const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);
const LIFETIME: Duration = Duration::from_mins(1);
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP clients of one thread; cheap to clone.
#[derive(Clone)]
pub(crate) struct Clients {
    /// Keeps connections open between requests, for idempotent work.
    pub(crate) pooled: Client,
    /// Opens a connection for each request, so that a failure to connect proves
    /// that the request did not run.
    pub(crate) unpooled: Client,
    /// For short calls to other VMs.
    pub(crate) peers: Client,
}

impl Clients {
    pub(crate) fn new() -> Self {
        Self {
            pooled: client(IDLE_CONNECTION_TIMEOUT),
            unpooled: client(Duration::ZERO),
            peers: Client::builder()
                .connector(Connector::new().timeout(PEER_TIMEOUT))
                .timeout(PEER_TIMEOUT)
                .finish(),
        }
    }
}

/// The bound on the whole exchange comes from each request's deadline.
fn client(keep_alive: Duration) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(keep_alive)
        .conn_lifetime(LIFETIME)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .max_http_version(Version::HTTP_11)
        .finish()
}
