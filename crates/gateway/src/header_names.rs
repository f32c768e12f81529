//! Header names that callers and targets use.

use hyper::header::HeaderName;

/// Headers that the gateway reads or writes; the adapter fills in their names.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a caller's attempt, echoed by targets.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// Proof that a target made the answer.
    pub signature: HeaderName,
    /// Identifier of the target that alone may run the request.
    pub expect_target: HeaderName,
    /// Statement of a target that it did not run the request.
    pub not_run: HeaderName,
    /// Load of a target: running, waiting and slots.
    pub load: HeaderName,
    /// Cookie that names the object of a request.
    pub object_cookie: String,
}
