//! Calls to the store and to other VMs.

use {
    super::{Client, connection::Connection},
    crate::StoreError,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, header},
    std::{net::SocketAddr, time::Duration},
};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// A call to be made.
pub struct ClientRequest<'a> {
    /// Whom to call.
    pub address: SocketAddr,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Type of the body.
    pub content_type: &'a str,
    /// The body.
    pub body: Bytes,
    /// Longest time for the whole call.
    pub timeout: Duration,
}

impl<'a> ClientRequest<'a> {
    /// A call without a body.
    pub(crate) fn get(address: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        Self {
            address,
            method: Method::GET,
            path,
            content_type: "application/json",
            body: Bytes::new(),
            timeout,
        }
    }
}

/// What came back.
pub struct ClientResponse {
    /// Status of the answer.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

impl Client {
    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    /// [`StoreError::NoResponse`] when no whole answer came in time.
    pub async fn execute(&self, wanted: ClientRequest<'_>) -> Result<ClientResponse, StoreError> {
        let timeout = wanted.timeout;
        let done = tokio::time::timeout(timeout, self.execute_without_timeout(wanted)).await;
        done.unwrap_or_else(|_| Err(StoreError::NoResponse("timeout".to_owned())))
    }

    /// Makes a call with a body.
    ///
    /// # Errors
    /// [`StoreError::NoResponse`] when no whole answer came in time.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<ClientResponse, StoreError> {
        let wanted = ClientRequest {
            method: Method::POST,
            body,
            ..ClientRequest::get(address, path, timeout)
        };
        self.execute(wanted).await
    }

    /// Makes a call without a body.
    ///
    /// # Errors
    /// [`StoreError::NoResponse`] when no whole answer came in time.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<ClientResponse, StoreError> {
        self.execute(ClientRequest::get(address, path, timeout))
            .await
    }

    async fn execute_without_timeout(
        &self,
        wanted: ClientRequest<'_>,
    ) -> Result<ClientResponse, StoreError> {
        let no_answer = |e: &dyn std::fmt::Display| StoreError::NoResponse(e.to_string());
        let mut connection = if let Some(kept) = self.take(wanted.address) {
            kept
        } else {
            let opened = Connection::open(wanted.address);
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, opened).await;
            let opened = opened.map_err(|e| no_answer(&e))?;
            opened.map_err(|e| no_answer(&e))?
        };
        let request = Request::builder()
            .method(wanted.method)
            .uri(wanted.path)
            .header(header::HOST, wanted.address.to_string())
            .header(header::CONTENT_TYPE, wanted.content_type)
            .body(Full::new(wanted.body))
            .map_err(|e| no_answer(&e))?;
        let answer = connection.sender.send_request(request).await;
        let answer = answer.map_err(|e| no_answer(&e))?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MAX_BODY_BYTES);
        let body = body.collect().await.map_err(|e| no_answer(&e))?.to_bytes();
        if connection.sender.ready().await.is_ok() {
            self.keep(wanted.address, connection, IDLE_LIMIT);
        }
        Ok(ClientResponse { status, body })
    }
}
