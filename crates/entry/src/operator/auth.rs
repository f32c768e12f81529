//! Authorization of operators by a bearer token.

use {
    actix_web::{HttpRequest, http::header::AUTHORIZATION},
    std::hint::black_box,
};

/// Whether the request carries the operator token of the settings as a bearer token.
pub(crate) fn is_authorized(http: &HttpRequest, token: &str) -> bool {
    let header = http.headers().get(AUTHORIZATION);
    let text = header.and_then(|header| header.to_str().ok());
    let presented = text.and_then(|text| text.strip_prefix("Bearer "));
    presented.is_some_and(|presented| equals_constant_time(presented.as_bytes(), token.as_bytes()))
}

/// Compares all bytes, since the time of a comparison that stops at the first difference
/// would reveal how many leading bytes are right.
fn equals_constant_time(a: &[u8], b: &[u8]) -> bool {
    let mut difference = a.len() ^ b.len();
    for (x, y) in a.iter().zip(b) {
        difference |= usize::from(black_box(x ^ y));
    }
    difference == 0
}
