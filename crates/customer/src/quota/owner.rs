//! Which VM gives out the tokens of a customer.

use {member::select_owner, wire::Member};

/// Number of VMs that are asked for tokens of one customer: its owner, and the next two in rank when
/// the owner does not answer.
pub const MAX_GRANTORS: usize = 3;

/// Returns the VMs that are asked for tokens of a customer, in this order. The first is its owner.
///
/// The owner may be in any zone, so that the loss of a zone moves as few customers as possible.
#[must_use]
pub fn rank_grantors<'a>(
    customer: &str,
    alive: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut candidates: Vec<&Member> = alive.into_iter().collect();
    let mut ranked: Vec<&Member> = Vec::with_capacity(MAX_GRANTORS);
    while ranked.len() < MAX_GRANTORS {
        let tiers = candidates.iter().map(|member| (*member, 0));
        let Some(best) = select_owner(customer, tiers) else {
            break;
        };
        candidates.retain(|member| member.name != best.name);
        ranked.push(best);
    }
    ranked
}
