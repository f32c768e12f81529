//! The node: what the listeners and the actors of a VM share.

use {
    super::State,
    crate::claims::Batcher,
    actix::Addr,
    ports::Clock,
    settings::Vm,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    wire::Reason,
};

/// Gap between two ticks from which this process is considered paused.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time without contact to the platform or any peer after which new requests are refused.
pub(crate) const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A VM: its settings, its clock and its mutable state.
pub(crate) struct Node {
    pub(crate) vm: Vm,
    /// Name of the region of this VM.
    pub(crate) region: String,
    /// Position of the region in the fleet settings.
    pub(crate) region_index: usize,
    pub(crate) clock: Clock,
    pub(crate) claim_batcher: Addr<Batcher>,
    state: Mutex<State>,
}

impl Node {
    /// Creates a node. `region` is the name of the region in which the VM runs.
    pub(crate) fn new(
        vm: Vm,
        region: String,
        clock: Clock,
        claim_batcher: Addr<Batcher>,
        state: State,
    ) -> Self {
        let has_name = |candidate: &settings::Region| candidate.name == region;
        let region_index = state.fleet.regions.iter().position(has_name).unwrap_or(0);
        Self {
            vm,
            region,
            region_index,
            clock,
            claim_batcher,
            state: Mutex::new(state),
        }
    }

    /// Locks the state. The guard must not be held across an `await`.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the monotonic clock of this process.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the address at which this VM reaches another: the address in the
    /// settings if they list the VM, otherwise the address that it advertises.
    pub(crate) fn peer_address(&self, name: &str, advertised: &str) -> String {
        let configured = self.vm.seed_peers.iter().find(|peer| peer.name == name);
        configured.map_or_else(|| advertised.to_owned(), |peer| peer.address.to_string())
    }

    /// Returns why this VM refuses new requests, or `None` if it accepts them.
    pub(crate) fn unavailable_reason(&self) -> Option<Reason> {
        let now = self.now();
        let state = self.state();
        if state.stopping {
            return Some(Reason::Stopping);
        }
        if !state.has_current_document() || is_isolated(&state, now) {
            return Some(Reason::NotReady);
        }
        None
    }

    /// Whether the process was paused and no tick has run since.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        now.saturating_sub(self.state().last_tick_at) > PAUSE_THRESHOLD
    }
}

/// Whether this VM may have missed a change because it has lost contact to the platform
/// and to all peers. A VM without known peers never counts as isolated.
pub(crate) fn is_isolated(state: &State, now: Duration) -> bool {
    let last_contact_at = state.view.last_contact_at().max(state.platform_contact_at);
    let has_no_peers = state.view.members().len() == 1;
    !has_no_peers && now.saturating_sub(last_contact_at) > ISOLATION_TIMEOUT
}
