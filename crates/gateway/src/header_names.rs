//! Names and formats of the headers that callers and targets use.

use {
    balance::Feedback,
    hyper::{HeaderMap, header::HeaderName},
};

/// Names of the headers that the gateway reads or writes, as defined by the adapter.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of the caller's attempt, which targets echo.
    pub request_id: HeaderName,
    /// Time that the sender waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Signature by which a target proves that the response is its own.
    pub signature: HeaderName,
    /// Identifier of the only target that may run the request.
    pub expect_target: HeaderName,
    /// Set by a target that did not execute the request.
    pub not_executed: HeaderName,
    /// Key by which a caller proves for which customer it sends.
    pub customer_key: HeaderName,
    /// Name of the customer, for targets.
    pub customer: HeaderName,
    /// Reads and writes the headers in which targets state something about themselves.
    pub feedback: FeedbackFormat,
    /// Name of the cookie that identifies the object of a request.
    pub object_cookie: String,
}

/// Format of the headers in which targets state something about themselves.
#[derive(Debug, Clone, Copy)]
pub struct FeedbackFormat {
    /// Reads the statements of a response.
    pub decode: fn(&HeaderMap) -> Feedback,
    /// Writes statements into the headers of a response; those that are absent are left as they
    /// are.
    pub encode: fn(&Feedback, &mut HeaderMap),
}
