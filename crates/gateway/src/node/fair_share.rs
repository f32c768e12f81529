//! The part of a request in the share of its customer, see [`balance::FairShares`].

use {
    super::{Node, RequestContext},
    customer::Customer,
    std::{cell::Cell, fmt, rc::Rc},
};

/// Counts a request for the share of its customer until it is dropped. One that was not sent to a
/// target then no longer counts.
pub(crate) struct ShareEntry {
    node: Rc<Node>,
    customer: String,
    service: String,
    priority: u32,
    weight: f64,
    virtual_start: u64,
    is_sent: Cell<bool>,
}

impl ShareEntry {
    /// Returns the virtual start time of a request, and an entry for it if it has a customer.
    pub(super) fn enter(node: &Rc<Node>, request: &RequestContext) -> (u64, Option<Self>) {
        let weight = request
            .customer
            .as_ref()
            .map_or(1.0, |customer| node.weigh_customer(customer));
        let customer = request.customer.as_ref();
        let customer = customer.map(|customer| customer.name.as_str());
        let priority = request.queue_key.priority;
        let mut shares = node.fair_shares.borrow_mut();
        let virtual_start = shares.start(&request.service, priority, customer, weight);
        let entry = customer.map(|customer| Self {
            node: node.clone(),
            customer: customer.to_owned(),
            service: request.service.clone(),
            priority,
            weight,
            virtual_start,
            is_sent: Cell::new(false),
        });
        (virtual_start, entry)
    }

    /// Records that the request was sent to a target.
    pub(super) fn record_sent(&self) {
        if self.is_sent.replace(true) {
            return;
        }
        let mut shares = self.node.fair_shares.borrow_mut();
        shares.record_dispatch(&self.service, self.priority, self.virtual_start);
    }
}

impl Node {
    /// Returns a customer's part of what room there is, relative to those of the others: its rate limit.
    /// One without a limit weighs as much as the largest.
    fn weigh_customer(&self, customer: &Customer) -> f64 {
        let registry = self.customers();
        let largest = registry.map_or(0.0, |registry| registry.largest_rate());
        let rate = customer
            .quota()
            .map_or(largest, |limit| limit.requests_per_s);
        if rate > 0.0 { rate } else { 1.0 }
    }

    /// Reports how many customers are ahead of their share.
    #[allow(
        clippy::cast_precision_loss,
        reason = "there are far fewer than 2^52 customers"
    )]
    pub(super) fn report_shares(&self) {
        let ahead = self.fair_shares.borrow().len();
        metrics::gauge!("cicadalift_customers_ahead_of_share").set(ahead as f64);
    }
}

impl Drop for ShareEntry {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            let mut shares = self.node.fair_shares.borrow_mut();
            shares.record_withdrawal(&self.service, self.priority, &self.customer, self.weight);
        }
    }
}

impl fmt::Debug for ShareEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ShareEntry")
            .field(&self.virtual_start)
            .finish()
    }
}
