//! Counts the requests that this VM owes an answer.

use {
    super::response::HttpResponse,
    crate::Node,
    std::{future::Future, rc::Rc},
};

/// Counts a request as in flight until it is dropped.
pub(super) struct Guard(Rc<Node>);

impl Guard {
    fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(node.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts a request as in flight until its response is written. A part of its work that may outlast
/// its connection holds the guard as well.
pub(super) async fn track<F>(
    node: Rc<Node>,
    respond: impl FnOnce(Rc<Node>, Rc<Guard>) -> F,
) -> HttpResponse
where
    F: Future<Output = HttpResponse>,
{
    let guard = Rc::new(Guard::new(&node));
    let mut response = respond(node, guard.clone()).await;
    response.body_mut().hold(guard);
    response
}
