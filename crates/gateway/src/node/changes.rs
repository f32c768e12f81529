//! Puts changes of routes and targets into effect.

use {
    super::{Node, state::duration_ms},
    catalog::{State, Target},
    route::RouteConfiguration,
    std::{rc::Rc, time::Duration},
};

impl Node {
    /// Puts a configuration in force whole, or keeps the one in force.
    pub(crate) fn put_routes(&self, document: RouteConfiguration, row: u64) {
        let offered = document.version;
        let replaced = self.route_table().with_configuration(document);
        match replaced {
            Ok(table) => {
                log::info!(event = "routes_in_force", version = offered, row = row, routes = table.len(); "routes replaced");
                metrics::gauge!("cicadalift_routes").set(to_f64(table.len()));
                *self.route_table.borrow_mut() = Rc::new(table);
                self.service_rotations.borrow_mut().clear();
            }
            Err(error) => {
                log::warn!(event = "routes_rejected", version = offered, row = row, reason:% = error; "routes kept");
            }
        }
    }

    /// Takes a target's entry.
    pub(crate) fn put_target(&self, target: Target, row: u64, now: Duration) {
        let id = target.id.clone();
        let draining = target.state == State::Draining;
        let cold_ms = duration_ms(target.warmup_left);
        let born = target.started_at_ms;
        let address = target.address;
        let known = self
            .catalog
            .borrow()
            .get(&id)
            .map(|t| (t.started_at_ms, t.address));
        if !self.catalog.borrow_mut().upsert(target, row, now) {
            return;
        }
        if known.is_some_and(|known| known != (born, address)) {
            self.balancer.borrow_mut().reset_target(&id);
            self.client.close_idle(address);
        }
        log::info!(event = "target_known", target = id.as_str(), row = row, draining = draining, cold_ms = cold_ms, born_ms = born; "target's entry taken");
    }

    /// Takes the end of a target's entry.
    pub(crate) fn remove_target(&self, id: &str, row: u64, reason: &str, lapsed: bool) {
        let now = self.now();
        if self.catalog.borrow_mut().remove(id, row, lapsed, now) {
            log::info!(event = "target_gone", target = id, row = row, reason = reason, held = lapsed; "target's entry is gone");
        }
    }

    /// Takes the start or end of an evacuation.
    pub(crate) fn put_evacuation(&self, zone: &str, active: bool, row: u64, now: Duration) {
        if self
            .catalog
            .borrow_mut()
            .set_evacuation(zone, active, row, now)
        {
            log::info!(event = "evacuation", zone = zone, active = active, row = row; "evacuation taken");
        }
    }

    /// Follows up on changes that were just taken.
    pub(crate) fn after_changes(&self) {
        let newest = self.replica().newest_version();
        self.member_view().set_control_version(newest);
        let catalog = self.catalog.borrow();
        self.balancer
            .borrow_mut()
            .retain_targets(|id| catalog.get(id).is_some());
        metrics::gauge!("cicadalift_targets").set(to_f64(catalog.len()));
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
