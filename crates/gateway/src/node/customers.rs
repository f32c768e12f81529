//! The customers of the configuration in force.

use {
    super::Node,
    customer::{Listing, Registry},
    std::rc::Rc,
};

impl Node {
    /// Returns the customers, or `None` if no key is asked of callers.
    pub(crate) fn customers(&self) -> Option<Rc<Registry>> {
        self.customers.borrow().clone()
    }

    /// Puts a list of customers in force, together with the routes of the same configuration.
    pub(super) fn set_customers(&self, listing: Option<Listing>, version: u64) {
        let registry = listing.map(|listing| Rc::new(Registry::new(listing)));
        if let Some(registry) = &registry {
            report_customers(registry, version);
            self.call_for_shedding("the configuration lists customers");
            self.call_for_kept_connections();
        }
        let count = registry.as_ref().map_or(0, |registry| registry.len());
        let faults = registry.as_ref().map_or(0, |r| r.faults().len());
        metrics::gauge!("cicadalift_customers").set(super::to_f64(count));
        metrics::gauge!("cicadalift_customers_unclear").set(super::to_f64(faults));
        *self.customers.borrow_mut() = registry;
    }

    /// Records that the configuration lists customers, who compete for the slots that new
    /// connections would take.
    fn call_for_kept_connections(&self) {
        if self.client.kept.borrow_mut().activation.call_for() {
            log::info!(event = "kept_connections_in_force"; "from now on requests that may run once only use connections that were just in use");
        }
    }
}

/// Logs what is wrong with the list.
fn report_customers(registry: &Registry, version: u64) {
    log::info!(event = "customers_in_force", version = version, customers = registry.len(), faults = registry.faults().len(); "list of customers applied");
    for faulty in registry.faults() {
        let subject = format!("customer {}", faulty.name);
        log::warn!(event = "configuration_unclear", subject = subject.as_str(), reason:% = faulty.fault, version = version; "customer cannot be served; requests with the keys in question are refused until the configuration changes");
    }
}
