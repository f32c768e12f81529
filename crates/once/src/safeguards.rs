//! Safeguards of the protocol, which tests can turn off to see the model check fail.

/// The safeguards that are on. Programs use [`Safeguards::STRICT`]; with any other value
/// the model check must find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[expect(clippy::struct_excessive_bools, reason = "each is one safeguard")]
pub struct Safeguards {
    /// Read the claim back after a write whose response was lost.
    pub read_back: bool,
    /// Report a failed exchange as "may have run" instead of sending the request again.
    pub no_retry_after_send: bool,
    /// Insert the claim only if the key is absent, instead of overwriting the claim of
    /// another attempt.
    pub insert_if_absent: bool,
    /// Report "not run" only when no earlier attempt under the key is unresolved.
    pub check_unresolved: bool,
    /// Remove a claim only when the request was never sent.
    pub release_only_unsent: bool,
}

impl Safeguards {
    /// All safeguards are on.
    pub const STRICT: Self = Self {
        read_back: true,
        no_retry_after_send: true,
        insert_if_absent: true,
        check_unresolved: true,
        release_only_unsent: true,
    };
}
