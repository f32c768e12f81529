//! Parses the head of a request and removes its hop-by-hop headers.

use {
    crate::HeaderNames,
    hyper::{
        HeaderMap,
        header::{
            CONNECTION, CONTENT_LENGTH, COOKIE, EXPECT, HOST, HeaderName, HeaderValue, TE, TRAILER,
            TRANSFER_ENCODING, UPGRADE,
        },
        http::request,
    },
    std::time::Duration,
};

/// Headers that apply to a single connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] =
    [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];
/// Hop-by-hop headers of older clients.
const LEGACY_HOP_BY_HOP_HEADERS: [&str; 4] = [
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
];

/// Why a request head is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeadError {
    #[error("Host header is missing, empty, repeated or not text")]
    Host,
    #[error("request identifier is missing, empty or repeated")]
    RequestId,
    #[error("deadline header is not a number of milliseconds")]
    Deadline,
}

/// The parts of a request head that the gateway uses.
#[derive(Debug, Clone)]
pub(crate) struct RequestHead {
    pub(crate) request_id: HeaderValue,
    /// Host name without a port.
    pub(crate) host: String,
    /// Time that the sender waits for a response, if it states one.
    pub(crate) timeout: Option<Duration>,
    /// Key for session affinity, from the cookie.
    pub(crate) object: Option<String>,
}

impl RequestHead {
    /// Parses the headers of a request. Fails if the host or the request identifier is missing or
    /// repeated, or if the deadline is not a number; the deadline may be missing.
    pub(crate) fn parse(
        header_names: &HeaderNames,
        parts: &request::Parts,
    ) -> Result<Self, HeadError> {
        Ok(Self {
            request_id: find_single_header(&parts.headers, &header_names.request_id)
                .ok_or(HeadError::RequestId)?,
            host: parse_host(parts)?,
            timeout: parse_timeout(&parts.headers, &header_names.deadline_ms)?,
            object: find_cookie(&parts.headers, &header_names.object_cookie),
        })
    }
}

/// Returns the value of a header that occurs exactly once and is not empty.
fn find_single_header(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next().filter(|value| !value.is_empty());
    first.filter(|_| values.next().is_none()).cloned()
}

fn parse_host(parts: &request::Parts) -> Result<String, HeadError> {
    let host = find_single_header(&parts.headers, &HOST).ok_or(HeadError::Host)?;
    let host = host.to_str().map_err(|_| HeadError::Host)?;
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    Ok(name.to_owned())
}

fn parse_timeout(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, HeadError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| HeadError::Deadline)?;
    let timeout_ms: f64 = text.trim().parse().map_err(|_| HeadError::Deadline)?;
    let timeout = route::parse_ms(timeout_ms);
    timeout.map(Some).ok_or(HeadError::Deadline)
}

fn find_cookie(headers: &HeaderMap, name: &str) -> Option<String> {
    let values = headers.get_all(COOKIE).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut pairs = texts.flat_map(|text| text.split(';')).map(str::trim);
    let found = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    found.map(str::to_owned)
}

/// Removes the hop-by-hop headers, those that `Connection` lists, and `Content-Length`.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    for name in LEGACY_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}
