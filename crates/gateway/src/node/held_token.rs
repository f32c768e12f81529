//! The token of a customer's quota that a request holds.

use {
    super::Node,
    crate::http_client::SendTracker,
    customer::quota::Token,
    std::{fmt, rc::Rc},
};

/// A token that goes back when it is dropped, unless a target may have run its request. So it also
/// goes back when the caller leaves before that.
pub(crate) struct HeldToken {
    node: Rc<Node>,
    customer: String,
    token: Token,
    tracker: SendTracker,
}

impl HeldToken {
    pub(crate) fn new(
        node: &Rc<Node>,
        customer: &str,
        token: Token,
        tracker: &SendTracker,
    ) -> Self {
        Self {
            node: node.clone(),
            customer: customer.to_owned(),
            token,
            tracker: tracker.clone(),
        }
    }
}

impl fmt::Debug for HeldToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("HeldToken").field(&self.customer).finish()
    }
}

impl Drop for HeldToken {
    fn drop(&mut self) {
        if !self.tracker.may_have_run() {
            self.node.give_back_token(&self.customer, self.token);
        }
    }
}
