//! Names of the HTTP headers exchanged with callers (see `docs/CALLERS.md`) and upstreams.

/// Idempotency key, under which a non-idempotent request is executed at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time left until the caller's timeout for this request, in milliseconds.
pub const TIMEOUT_MS: &str = "cicadalift-timeout-ms";
/// Number of earlier attempts with the same key whose outcome the caller does not know.
pub const UNRESOLVED: &str = "cicadalift-unresolved";
/// Outcome of the request: `answered`, `not-run` or `may-have-run`.
pub const OUTCOME: &str = "cicadalift-outcome";
/// Reason why the request has no response from an upstream.
pub const REASON: &str = "cicadalift-reason";
/// Identifier of the request, as it appears in logs.
pub const REQUEST_ID: &str = "x-request-id";
/// Marks a stored response to an earlier attempt with the same key.
pub const REPLAYED: &str = "idempotent-replayed";
/// Target that responded.
pub const TARGET: &str = "cicadalift-target";
/// Deadline passed to upstreams, in milliseconds since the Unix epoch.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Set by an upstream that shed the request without executing it.
pub const SHED: &str = "x-shed";

/// Headers that apply to a single connection or message and are not forwarded.
pub const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
];
