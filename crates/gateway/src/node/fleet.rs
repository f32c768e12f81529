//! What this VM knows of the number of VMs, by which limits that all VMs share are divided.

use {super::Node, customer::quota::Fleet, wire::Status, xxhash_rust::xxh3::Xxh3};

impl Node {
    /// Returns the number of VMs, those that are gone included until their records are removed, or
    /// `None` while this VM has heard neither of others nor from the store which ones there are.
    pub(crate) fn known_vm_count(&self) -> Option<usize> {
        let count = self.member_view().members().len();
        let has_heard = count > 1 || self.is_registered();
        has_heard.then_some(count)
    }

    /// Returns the VMs by which the quotas of customers are divided.
    pub(super) fn fleet(&self) -> Fleet {
        let view_generation = self.member_view().generation();
        if let Some((generation, fleet)) = self.quotas.fleet.get()
            && generation == view_generation
        {
            return fleet;
        }
        let has_heard = self.known_vm_count().is_some();
        let view = self.member_view();
        let members = view.members();
        let alive = members.iter().filter(|m| m.status == Status::Alive);
        let mut names: Vec<&str> = alive.map(|m| m.name.as_str()).collect();
        names.sort_unstable();
        let mut hash = Xxh3::new();
        for name in &names {
            hash.update(name.as_bytes());
            hash.update(b"\n");
        }
        let known = members.iter().filter(|m| m.status != Status::Leaving);
        let fleet = Fleet {
            generation: hash.digest(),
            alive: names.len(),
            known: has_heard.then(|| known.count()),
        };
        if has_heard {
            self.quotas.fleet.set(Some((view_generation, fleet)));
        }
        fleet
    }
}
