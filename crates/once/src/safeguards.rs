//! Switches that weaken the protocol, so that the model check can be seen to fail.

/// Which safeguards are on. Processes run [`Safeguards::STRICT`]; every other value
/// exists to be refuted by the model check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[expect(clippy::struct_excessive_bools, reason = "each is one safeguard")]
pub struct Safeguards {
    /// Read back the own claim after a write whose answer was lost.
    pub read_back: bool,
    /// Treat a broken exchange as "may have run" instead of sending again.
    pub no_retry_after_send: bool,
    /// Insert only if absent, instead of overwriting another's claim.
    pub insert_if_absent: bool,
    /// Say "not run" only when no earlier send of the key is unresolved.
    pub check_unresolved: bool,
    /// Give up a claim only before the request was sent.
    pub release_only_unsent: bool,
}

impl Safeguards {
    /// All safeguards on.
    pub const STRICT: Self = Self {
        read_back: true,
        no_retry_after_send: true,
        insert_if_absent: true,
        check_unresolved: true,
        release_only_unsent: true,
    };
}
