//! Parses and validates a caller's request before it is steered.

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
/// Retry delay of a refusal that states that a retry of the same request would fail too.
const NO_RETRY: Duration = Duration::ZERO;
/// Largest number of headers forwarded to an upstream; further ones are dropped.
const MAX_FORWARDED_HEADERS: usize = 64;

/// Headers that are not forwarded to upstreams, in addition to the hop-by-hop ones.
const NOT_FORWARDED: [&str; 3] = ["expect", "host", header::REQUEST_ID];

/// Parses and validates a caller's HTTP request. The error is the response that refuses
/// an invalid one.
pub(crate) fn parse_request(
    node: &Node,
    http: &HttpRequest,
    body: Bytes,
    request_id: &str,
) -> Result<Request, Response> {
    let (service, path) =
        split_path(http.path()).ok_or_else(|| refuse_not_run(Reason::UnknownService))?;
    let operation = {
        let state = node.state();
        let configured = state.fleet.service(service);
        let configured = configured.ok_or_else(|| refuse_not_run(Reason::UnknownService))?;
        let operation = configured.operation(http.method().as_str(), path);
        operation
            .cloned()
            .ok_or_else(|| refuse_not_run(Reason::UnknownOperation))?
    };
    let key = parse_idempotency_key(node, http, operation.idempotent)?;
    let timeout = parse_timeout(http, operation.timeout_ms)?;
    let unresolved = parse_number(http, header::UNRESOLVED)?;
    let path = match http.query_string() {
        "" => path.to_owned(),
        query => format!("{path}?{query}"),
    };
    let fingerprint = compute_fingerprint(service, http.method().as_str(), &path, &body);
    Ok(Request {
        id: request_id.to_owned(),
        service: service.to_owned(),
        operation: operation.name,
        idempotent: operation.idempotent,
        method: http.method().as_str().to_owned(),
        path,
        headers: forwarded_headers(http),
        body,
        deadline: node.now() + timeout,
        idempotency_key: key,
        unresolved_attempts: unresolved.map_or(ASSUMED_UNRESOLVED, saturate_to_u32),
        origin: find_caller_region(node, http),
        fingerprint,
        max_wait: Duration::MAX,
    })
}

/// Unresolved attempts assumed for a caller that does not state their number: an earlier
/// attempt may have been executed.
const ASSUMED_UNRESOLVED: u32 = 1;

fn saturate_to_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns the region of the caller's address block, or that of this VM if the address
/// is in no known block.
fn find_caller_region(node: &Node, http: &HttpRequest) -> String {
    let state = node.state();
    let index = client_address(http).and_then(|address| state.client_regions.find_region(address));
    let region = index.and_then(|index| state.fleet.regions.get(index));
    region.map_or_else(|| node.region.clone(), |region| region.name.clone())
}

/// Returns the address of the connection's other end, or `None` if it is not IPv4.
pub(crate) fn client_address(http: &HttpRequest) -> Option<Ipv4Addr> {
    match http.peer_addr()?.ip() {
        IpAddr::V4(address) => Some(address),
        IpAddr::V6(_) => None,
    }
}

/// Splits `/v1/SERVICE/PATH` into `SERVICE` and `/PATH`; returns `None` for other paths.
fn split_path(path: &str) -> Option<(&str, &str)> {
    let service_and_path = path.strip_prefix("/v1/")?;
    let slash = service_and_path.find('/')?;
    Some(service_and_path.split_at(slash))
}

/// Returns the idempotency key of a non-idempotent request, and an empty string for an
/// idempotent request, which needs none. The request of an expired key may have been
/// executed, but its claim may be gone.
fn parse_idempotency_key(
    node: &Node,
    http: &HttpRequest,
    idempotent: bool,
) -> Result<String, Response> {
    if idempotent {
        return Ok(String::new());
    }
    let key = header_text(http, header::IDEMPOTENCY_KEY)?;
    let key = key.ok_or_else(|| refuse_not_run(Reason::KeyMissing))?;
    match Key::parse(key, node.clock.unix_time_ms()) {
        Ok(_) => Ok(key.to_owned()),
        Err(KeyError::Malformed | KeyError::InFuture) => Err(refuse_not_run(Reason::Malformed)),
        Err(KeyError::Expired) => Err(Response::refusal(
            Outcome::MayHaveRun,
            Reason::KeyExpired,
            NO_RETRY,
        )),
    }
}

/// Returns the timeout that the caller asks for, or that of the operation if the caller
/// asks for none or for a longer one. A timeout of zero or less has already expired.
fn parse_timeout(http: &HttpRequest, operation_timeout_ms: u64) -> Result<Duration, Response> {
    match parse_number(http, header::TIMEOUT_MS)? {
        Some(requested_ms) if requested_ms < MIN_TIMEOUT_MS => {
            Err(refuse_not_run(Reason::PastDeadline))
        }
        Some(requested_ms) => Ok(Duration::from_millis(
            requested_ms.min(operation_timeout_ms),
        )),
        None => Ok(Duration::from_millis(operation_timeout_ms)),
    }
}

/// Parses a header as a number; a negative number counts as zero.
fn parse_number(http: &HttpRequest, name: &str) -> Result<Option<u64>, Response> {
    let text = header_text(http, name)?;
    let number = text.map(|text| text.trim().parse::<i64>());
    match number {
        None => Ok(None),
        Some(Ok(number)) => Ok(Some(u64::try_from(number).unwrap_or(0))),
        Some(Err(_)) => Err(refuse_not_run(Reason::Malformed)),
    }
}

/// Returns a header's value, or `None` if the header is missing. A value that is not
/// ASCII text makes the request malformed.
fn header_text<'a>(http: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Response> {
    let value = http.headers().get(name);
    let text = value.map(actix_web::http::header::HeaderValue::to_str);
    text.transpose()
        .map_err(|_| refuse_not_run(Reason::Malformed))
}

/// Returns the headers to forward to the upstream. Values that are not ASCII text are
/// dropped.
fn forwarded_headers(http: &HttpRequest) -> Vec<Header> {
    let end_to_end = http.headers().iter().filter(|(name, _)| {
        let name = name.as_str();
        let is_reserved = name.starts_with("cicadalift-") || name == header::IDEMPOTENCY_KEY;
        !is_reserved && !NOT_FORWARDED.contains(&name) && !header::HOP_BY_HOP.contains(&name)
    });
    let forwarded = end_to_end.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    });
    forwarded.take(MAX_FORWARDED_HEADERS).collect()
}

/// Returns a 128-bit hash, in hex, of what an upstream sees of a request except its
/// headers. The length of each part is hashed too, so that two requests cannot match by
/// dividing the same bytes differently.
fn compute_fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = Xxh3::new();
    for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    format!("{:032x}", hash.digest128())
}

/// Builds the response to a request that reached no upstream and must not be retried as it is.
fn refuse_not_run(reason: Reason) -> Response {
    Response::refusal(Outcome::NotRun, reason, NO_RETRY)
}
