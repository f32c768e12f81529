//! Serves rows of the platform's store to other VMs.

use {
    crate::{HttpResponse, Node, frontend::text_response, store},
    bytes::Bytes,
    hyper::{Request, StatusCode, body::Incoming},
    std::{rc::Rc, time::Duration},
    wire::Batch,
};

/// Answers a request for the rows that changed after the version `after` in the query. Without
/// newer rows, the response is delayed by up to `wait_ms` milliseconds until there are some.
pub(crate) async fn serve_records(node: Rc<Node>, request: Request<Incoming>) -> HttpResponse {
    let query = request.uri().query().unwrap_or_default();
    let Some(after) = parse_number(query, "after") else {
        return text_response(StatusCode::BAD_REQUEST, "no version");
    };
    let wait = Duration::from_millis(parse_number(query, "wait_ms").unwrap_or(0));
    let deadline = node.now() + wait.min(store::MAX_WAIT);
    let mut replica_version = node.subscribe_replica();
    while node.replica().min_complete_version(&node.store.tables) <= after {
        let changed =
            tokio::time::timeout_at(node.clock.instant_at(deadline), replica_version.changed());
        if changed.await.is_err() {
            break;
        }
    }
    respond_with_batch(&node, after)
}

fn respond_with_batch(node: &Rc<Node>, after: u64) -> HttpResponse {
    let well = node.is_store_available() && store::watches_store(node);
    let batch = Batch {
        well,
        settled: node.is_store_settled(),
        ..node.replica().build_batch(after, &node.store.tables)
    };
    match wire::encode(&batch) {
        Ok(bytes) => HttpResponse::new(Bytes::from(bytes).into()),
        Err(error) => {
            log::error!(event = "records_unwritable", reason:% = error; "rows cannot be encoded; a peer gets no update");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "rows cannot be written")
        }
    }
}

/// Returns the value of a query parameter, or `None` if it is missing or not a number.
fn parse_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.and_then(|(_, value)| value.parse().ok())
}
