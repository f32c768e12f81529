//! Checks a caller's request before it reaches anything.

use {
    crate::node::{Node, Request, Response},
    actix_web::{HttpRequest, web::Bytes},
    once::{Key, KeyError},
    std::{
        net::{IpAddr, Ipv4Addr},
        time::Duration,
    },
    wire::{Header, Outcome, Reason, header},
    xxhash_rust::xxh3::Xxh3,
};

const MIN_TIMEOUT_MS: u64 = 1;
const RETRY_NEVER: Duration = Duration::ZERO;
const MAX_FORWARDED_HEADERS: usize = 64;

/// Headers that are not passed on to upstreams, besides those of one connection.
const DROPPED: [&str; 3] = ["expect", "host", header::REQUEST_ID];

/// Makes a request out of what a caller sent, or the answer that says what is wrong.
pub(crate) fn parse(
    node: &Node,
    http: &HttpRequest,
    body: Bytes,
    id: &str,
) -> Result<Request, Response> {
    let (service, path) = split(http.path()).ok_or_else(|| bad(Reason::UnknownService))?;
    let operation = {
        let state = node.state();
        let found = state.fleet.service(service);
        let found = found.ok_or_else(|| bad(Reason::UnknownService))?;
        let operation = found.operation(http.method().as_str(), path);
        operation
            .cloned()
            .ok_or_else(|| bad(Reason::UnknownOperation))?
    };
    let key = key(node, http, operation.idempotent)?;
    let timeout = timeout(http, operation.timeout_ms)?;
    let unresolved = number(http, header::UNRESOLVED)?;
    let path = match http.query_string() {
        "" => path.to_owned(),
        query => format!("{path}?{query}"),
    };
    let fingerprint = fingerprint(service, http.method().as_str(), &path, &body);
    Ok(Request {
        id: id.to_owned(),
        service: service.to_owned(),
        operation: operation.name,
        idempotent: operation.idempotent,
        method: http.method().as_str().to_owned(),
        path,
        headers: passed_on(http),
        body,
        deadline: node.now() + timeout,
        idempotency_key: key,
        unresolved_attempts: unresolved.map_or(UNKNOWN_SENDS, clamp),
        origin: origin(node, http),
        fingerprint,
        max_wait: Duration::MAX,
    })
}

/// A caller that does not count its sends may have sent before.
const UNKNOWN_SENDS: u32 = 1;

fn clamp(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Region of the caller: that of its block, or else that of this VM.
fn origin(node: &Node, http: &HttpRequest) -> String {
    let state = node.state();
    let region = client(http).and_then(|client| state.client_regions.find_region(client));
    let named = region.and_then(|region| state.fleet.regions.get(region));
    named.map_or_else(|| node.region.clone(), |region| region.name.clone())
}

/// Address of the caller.
pub(crate) fn client(http: &HttpRequest) -> Option<Ipv4Addr> {
    match http.peer_addr()?.ip() {
        IpAddr::V4(client) => Some(client),
        IpAddr::V6(_) => None,
    }
}

/// `/v1/SERVICE/PATH` into service and path.
fn split(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/v1/")?;
    let slash = rest.find('/')?;
    Some(rest.split_at(slash))
}

fn key(node: &Node, http: &HttpRequest, idempotent: bool) -> Result<String, Response> {
    if idempotent {
        return Ok(String::new());
    }
    let text = text(http, header::IDEMPOTENCY_KEY)?;
    let text = text.ok_or_else(|| bad(Reason::KeyMissing))?;
    match Key::parse(text, node.clock.unix_ms()) {
        Ok(_) => Ok(text.to_owned()),
        Err(KeyError::Malformed | KeyError::InFuture) => Err(bad(Reason::Malformed)),
        Err(KeyError::Expired) => Err(Response::refusal(
            Outcome::MayHaveRun,
            Reason::KeyExpired,
            RETRY_NEVER,
        )),
    }
}

fn timeout(http: &HttpRequest, most_ms: u64) -> Result<Duration, Response> {
    match number(http, header::TIMEOUT_MS)? {
        Some(asked) if asked < MIN_TIMEOUT_MS => Err(bad(Reason::PastDeadline)),
        Some(asked) => Ok(Duration::from_millis(asked.min(most_ms))),
        None => Ok(Duration::from_millis(most_ms)),
    }
}

fn number(http: &HttpRequest, name: &str) -> Result<Option<u64>, Response> {
    let text = text(http, name)?;
    let number = text.map(|text| text.trim().parse::<i64>());
    match number {
        None => Ok(None),
        Some(Ok(number)) => Ok(Some(u64::try_from(number).unwrap_or(0))),
        Some(Err(_)) => Err(bad(Reason::Malformed)),
    }
}

fn text<'a>(http: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Response> {
    let value = http.headers().get(name);
    let text = value.map(actix_web::http::header::HeaderValue::to_str);
    text.transpose().map_err(|_| bad(Reason::Malformed))
}

fn passed_on(http: &HttpRequest) -> Vec<Header> {
    let kept = http.headers().iter().filter(|(name, _)| {
        let name = name.as_str();
        let own = name.starts_with("cicadalift-") || name == header::IDEMPOTENCY_KEY;
        !own && !DROPPED.contains(&name) && !header::HOP_BY_HOP.contains(&name)
    });
    let text = kept.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    });
    text.take(MAX_FORWARDED_HEADERS).collect()
}

/// Tells requests apart by what an upstream sees of them, except their headers.
fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = Xxh3::new();
    for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    format!("{:032x}", hash.digest128())
}

fn bad(reason: Reason) -> Response {
    Response::refusal(Outcome::NotRun, reason, RETRY_NEVER)
}
