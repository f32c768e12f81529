//! Link rates of the VMs, learned from each other.
//!
//! It answers the load of large responses in a fleet whose VMs have links of different rates: the VMs
//! have to agree on which links are wide. See `docs/design/large-responses.md`.

use {
    rand::Rng,
    std::time::Duration,
    wire::{Link, Map, Member, Status},
};

/// Time after which a VM that did not state its link is asked again. It may have been replaced by a
/// build that does.
const ASK_AGAIN_DELAY: Duration = Duration::from_secs(30);

/// The link rates that this VM knows.
#[derive(Debug, Default)]
pub struct Links {
    /// By VM name, its link and the start at which it had that.
    by_vm: Map<String, Link>,
    /// By VM name, when it was last asked.
    asked_at: Map<String, Duration>,
    generation: u64,
}

impl Links {
    /// Takes over links; of two of a VM, the one of its later start holds.
    pub fn merge(&mut self, links: impl IntoIterator<Item = Link>) {
        for link in links {
            let known = self.by_vm.get(&link.vm);
            if known.is_some_and(|known| known.boot_ms >= link.boot_ms) {
                continue;
            }
            self.generation += u64::from(known.is_none_or(|known| known.mbps != link.mbps));
            self.by_vm.insert(link.vm.clone(), link);
        }
    }

    /// Returns the rate of a VM's link in megabits per second, or `None` if it is not known.
    #[must_use]
    pub fn rate(&self, vm: &str) -> Option<u32> {
        self.by_vm.get(vm).map(|link| link.mbps)
    }

    /// Returns a counter that rises when a rate becomes known, changes or is forgotten.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the known links of the given VMs.
    pub fn select<'a>(&'a self, vms: impl IntoIterator<Item = &'a str>) -> Vec<Link> {
        let links = vms.into_iter().filter_map(|vm| self.by_vm.get(vm));
        links.cloned().collect()
    }

    /// Chooses the live member to ask next, one whose link is not known since its last start, and
    /// records that it is asked. It is one of the VM's own zone if possible, which knows the others of
    /// the zone too, at random among equals.
    pub fn choose_next<'a>(
        &mut self,
        zone: &str,
        peers: impl IntoIterator<Item = &'a Member>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let unknown = peers
            .into_iter()
            .filter(|member| self.has_to_ask(member, now));
        let ranked = unknown.map(|member| (member.zone == zone, rng.random::<u32>(), member));
        let (_, _, chosen) = ranked.max_by_key(|(is_near, order, _)| (*is_near, *order))?;
        self.asked_at.insert(chosen.name.clone(), now);
        Some(chosen)
    }

    /// Forgets the VMs for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        let known_count = self.by_vm.len();
        self.by_vm.retain(|vm, _| is_known(vm));
        self.asked_at.retain(|vm, _| is_known(vm));
        self.generation += u64::from(self.by_vm.len() != known_count);
    }

    /// Forgets that a member was asked, as it did not respond.
    pub fn forget_asked(&mut self, vm: &str) {
        self.asked_at.remove(vm);
    }

    fn has_to_ask(&self, member: &Member, now: Duration) -> bool {
        let link = self.by_vm.get(&member.name);
        let is_known = link.is_some_and(|link| link.boot_ms >= member.boot_ms);
        let asked_at = self.asked_at.get(&member.name);
        let is_asked = asked_at.is_some_and(|asked_at| now < *asked_at + ASK_AGAIN_DELAY);
        member.status == Status::Alive && !is_known && !is_asked
    }
}
