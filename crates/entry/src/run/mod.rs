//! Runs requests on the VM that owns their pool.

mod idempotent;
mod once;
mod slot;

pub(crate) use slot::Context;

use crate::node::{PoolKey, Request, Response};

/// Runs a request in a pool that this VM owns.
pub(crate) async fn run_request(context: &Context, key: &PoolKey, request: &Request) -> Response {
    if request.idempotent {
        return idempotent::run(context, key, request).await;
    }
    once::run(context, key, request).await
}
