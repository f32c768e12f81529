//! HTTP requests to the platform's store and to other VMs.

use {
    super::{Client, connection::Connection},
    crate::StoreError,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{HeaderMap, Method, Request, header},
    std::{net::SocketAddr, time::Duration},
};

const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection that was idle for longer may have gone silent, which only a timeout would show.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to the platform's store or to another VM.
pub struct ClientRequest<'a> {
    /// Address of the server, also sent as the `Host` header.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Maximum time for the whole exchange, from connecting to the end of the response.
    pub timeout: Duration,
}

impl<'a> ClientRequest<'a> {
    /// Creates a `GET` request without a body.
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

/// A complete response to a [`ClientRequest`].
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl ClientResponse {
    /// Returns the length of the headers and the body.
    pub(crate) fn length(&self) -> usize {
        headers_length(&self.headers) + self.body.len()
    }
}

/// Returns the length of headers with their separators.
pub(crate) fn headers_length(headers: &HeaderMap) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS);
    lengths.sum()
}

impl Client {
    /// Sends a request and returns the complete response, whatever its status. After a failure the
    /// next request to the server is sent on a new connection.
    ///
    /// # Errors
    /// [`StoreError::NoResponse`] when the server is unreachable, the response is incomplete or
    /// too large, or the timeout passes. The request may have taken effect.
    pub async fn execute(&self, request: ClientRequest<'_>) -> Result<ClientResponse, StoreError> {
        let (address, timeout) = (request.address, request.timeout);
        let result = tokio::time::timeout(timeout, self.execute_without_timeout(request)).await;
        let result = result.unwrap_or_else(|_| Err(StoreError::NoResponse("timeout".to_owned())));
        if result.is_err() {
            // The idle connections may have gone silent together with this one.
            self.close_idle(address);
        }
        result
    }

    /// Sends a `POST` request with a JSON body and returns the complete response.
    ///
    /// # Errors
    /// As for [`Self::execute`].
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<ClientResponse, StoreError> {
        let request = ClientRequest {
            method: Method::POST,
            body,
            ..ClientRequest::get(address, path, timeout)
        };
        self.execute(request).await
    }

    /// Sends a `GET` request and returns the complete response.
    ///
    /// # Errors
    /// As for [`Self::execute`].
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
        request: ClientRequest<'_>,
    ) -> Result<ClientResponse, StoreError> {
        let no_response = |e: &dyn std::fmt::Display| StoreError::NoResponse(e.to_string());
        let mut connection = if let Some(idle) = self.check_out(request.address) {
            idle
        } else {
            let opened = Connection::open(request.address);
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, opened).await;
            let opened = opened.map_err(|e| no_response(&e))?;
            opened.map_err(|e| no_response(&e))?
        };
        let http_request = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header(header::HOST, request.address.to_string())
            .header(header::CONTENT_TYPE, request.content_type)
            .body(Full::new(request.body))
            .map_err(|e| no_response(&e))?;
        let response = connection.sender.send_request(http_request).await;
        let response = response.map_err(|e| no_response(&e))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|e| no_response(&e))?
            .to_bytes();
        if connection.sender.ready().await.is_ok() {
            self.check_in(request.address, connection, IDLE_TIMEOUT);
        }
        Ok(ClientResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }
}
