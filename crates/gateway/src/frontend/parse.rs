//! Reads what a caller asks for from the head of its request.

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

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];
const OLD_HOP_BY_HOP: [&str; 4] = [
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
];

/// Why a head cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ParseError {
    #[error("request names no host, or several")]
    Host,
    #[error("request has no identifier, or several")]
    Id,
    #[error("deadline is not a number of milliseconds")]
    Deadline,
}

/// The head of a request.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) id: HeaderValue,
    pub(crate) host: String,
    pub(crate) deadline: Option<Duration>,
    pub(crate) object: Option<String>,
}

impl Head {
    /// Reads a head.
    pub(crate) fn read(names: &HeaderNames, parts: &request::Parts) -> Result<Self, ParseError> {
        Ok(Self {
            id: only(&parts.headers, &names.request_id).ok_or(ParseError::Id)?,
            host: host(parts)?,
            deadline: deadline(&parts.headers, &names.deadline_ms)?,
            object: object(&parts.headers, &names.object_cookie),
        })
    }
}

fn only(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next().filter(|value| !value.is_empty());
    first.filter(|_| values.next().is_none()).cloned()
}

fn host(parts: &request::Parts) -> Result<String, ParseError> {
    let named = only(&parts.headers, &HOST).ok_or(ParseError::Host)?;
    let named = named.to_str().map_err(|_| ParseError::Host)?;
    let name = match named.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => named,
    };
    Ok(name.to_owned())
}

fn deadline(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, ParseError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ParseError::Deadline)?;
    let ms: f64 = text.trim().parse().map_err(|_| ParseError::Deadline)?;
    let time = Duration::try_from_secs_f64(ms / 1000.0);
    time.map(Some).map_err(|_| ParseError::Deadline)
}

fn object(headers: &HeaderMap, cookie: &str) -> Option<String> {
    let values = headers.get_all(COOKIE).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut pairs = texts.flat_map(|text| text.split(';')).map(str::trim);
    let found = pairs.find_map(|pair| pair.strip_prefix(cookie)?.strip_prefix('='));
    found.map(str::to_owned)
}

/// Removes headers that concern one connection, and those that frame a body.
pub(crate) fn strip(headers: &mut HeaderMap) {
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
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in OLD_HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}
