//! Execution of requests on the VM that owns the pool.

mod at_most_once;
mod idempotent;
mod slot;

pub(crate) use slot::Context;

use crate::node::{PoolKey, Request, Response};

/// Runs a request in a pool that this VM owns and returns the response.
pub(crate) async fn run_request(context: &Context, key: &PoolKey, request: &Request) -> Response {
    if request.idempotent {
        return idempotent::run_with_retries(context, key, request).await;
    }
    at_most_once::run_once(context, key, request).await
}
