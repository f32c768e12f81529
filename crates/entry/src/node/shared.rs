//! What the listeners and the actors of one VM share.

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

/// Gap between two ticks after which this process counts as paused.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time without a word from the platform or any peer after which no new work is taken.
pub(crate) const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// One VM: its settings, its clock and its changing state.
pub(crate) struct Node {
    pub(crate) vm: Vm,
    pub(crate) region: String,
    /// Position of the region in the fleet settings.
    pub(crate) region_index: usize,
    pub(crate) clock: Clock,
    pub(crate) claim_batcher: Addr<Batcher>,
    state: Mutex<State>,
}

impl Node {
    pub(crate) fn new(
        vm: Vm,
        region: String,
        clock: Clock,
        claim_batcher: Addr<Batcher>,
        state: State,
    ) -> Self {
        let named = |one: &settings::Region| one.name == region;
        let region_index = state.fleet.regions.iter().position(named).unwrap_or(0);
        Self {
            vm,
            region,
            region_index,
            clock,
            claim_batcher,
            state: Mutex::new(state),
        }
    }

    /// Locks the state; never held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Address at which this VM reaches another: the one of the settings, if the
    /// settings name the VM, or else the one that it gives itself.
    pub(crate) fn peer_address(&self, name: &str, own: &str) -> String {
        let listed = self.vm.seed_peers.iter().find(|peer| peer.name == name);
        listed.map_or_else(|| own.to_owned(), |peer| peer.address.to_string())
    }

    /// Why this VM takes no new work now, if it does not.
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

    /// Whether the process was paused and has not yet looked around again.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        now.saturating_sub(self.state().last_tick_at) > PAUSE_THRESHOLD
    }
}

/// Whether this VM may have missed a change: it hears neither platform nor peers.
/// A VM that knows of no peers is never cut from them.
pub(crate) fn is_isolated(state: &State, now: Duration) -> bool {
    let heard = state.view.last_contact_at().max(state.platform_contact_at);
    let alone = state.view.members().len() == 1;
    !alone && now.saturating_sub(heard) > ISOLATION_TIMEOUT
}
