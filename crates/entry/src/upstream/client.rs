//! HTTP clients of one thread, with and without connection pooling.

use {
    awc::{Client, Connector, http::Version},
    std::time::Duration,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection to a target is closed.
pub(crate) const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(1);
/// Timeout of connecting to another VM, and of a whole short call to it.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP clients of one thread; cheap to clone.
#[derive(Clone)]
pub(crate) struct Clients {
    /// Reuses connections to targets, for idempotent requests.
    pub(crate) pooled: Client,
    /// Opens a connection for each request, so that a failure to connect proves
    /// that the request was not executed.
    pub(crate) unpooled: Client,
    /// Makes short calls to other VMs.
    pub(crate) peers: Client,
}

impl Clients {
    pub(crate) fn new() -> Self {
        Self {
            pooled: build_target_client(IDLE_CONNECTION_TIMEOUT),
            unpooled: build_target_client(Duration::ZERO),
            peers: Client::builder()
                .connector(Connector::new().timeout(PEER_TIMEOUT))
                .timeout(PEER_TIMEOUT)
                .finish(),
        }
    }
}

/// Builds a client without an overall timeout; each request to a target is sent with a
/// timeout of its own, which ends at the request's deadline or before.
fn build_target_client(idle_timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(idle_timeout)
        .conn_lifetime(MAX_CONNECTION_AGE)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .max_http_version(Version::HTTP_11)
        .finish()
}
