//! Names of the HTTP headers of the callers' interface, see `docs/CALLERS.md`.

/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time the caller still has for this request, in milliseconds.
pub const TIMEOUT_MS: &str = "cicadalift-timeout-ms";
/// Earlier sends of the same key whose outcome the caller does not know.
pub const UNRESOLVED: &str = "cicadalift-unresolved";
/// What the caller may conclude: `answered`, `not-run` or `may-have-run`.
pub const OUTCOME: &str = "cicadalift-outcome";
/// Why no upstream answered.
pub const REASON: &str = "cicadalift-reason";
/// Identifier of the request in logs.
pub const REQUEST_ID: &str = "x-request-id";
/// Set when the answer of an earlier send of the same key is given again.
pub const REPLAYED: &str = "idempotent-replayed";
/// Target that answered.
pub const TARGET: &str = "cicadalift-target";
/// Deadline given to upstreams, in milliseconds since the epoch.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Set by an upstream that refused to run a request.
pub const SHED: &str = "x-shed";

/// Headers that belong to one connection and are not passed on.
pub const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
];
