//! Rate limits of customers over all VMs together.
//!
//! The owner of a customer ([`rank_grantors`]) gives out tokens from a ledger ([`Grantor`]). All VMs
//! hold them as leases ([`Allowances`]) and spend one for each request. Both answer the load of one
//! customer that sends many times its usual rate to all VMs at once. See `docs/design/quotas.md`.

mod allowance;
mod grantor;
mod ledger;
mod owner;
mod rule;
mod succession;

pub use allowance::{Allowances, Query, Refusal, Step, Token};
pub use grantor::{Fleet, Grantor};
use ledger::Ledger;
pub use ledger::{Entitlement, Grant, Usage};
pub use owner::{MAX_GRANTORS, rank_grantors};
pub use rule::{LEASE_TIME, Rule};
pub use succession::{Handover, Stance};
