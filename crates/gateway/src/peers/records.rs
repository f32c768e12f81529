//! Serves rows of the platform's store to other VMs.

use {
    crate::{
        HttpResponse, Node, frontend::text_response, http_client::ClientResponse,
        node::duration_ms, store,
    },
    bytes::Bytes,
    catalog::BatchState,
    hyper::{Request, StatusCode, body::Incoming, header::HeaderName, http::HeaderValue},
    std::{rc::Rc, str::FromStr, time::Duration},
    wire::{Batch, Revision},
};

/// Longest delay of a response without newer rows.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Response header: time since the store last responded to the sender, in milliseconds. Missing if it
/// never did.
pub(crate) const STORE_AGE_MS_HEADER: HeaderName =
    HeaderName::from_static("cicadalift-store-age-ms");

/// Query parameter by which a VM says that it takes compressed responses, and header of those.
pub(crate) const ENCODING_PARAMETER: &str = "encoding=deflate";
pub(crate) const ENCODING_HEADER: HeaderName = HeaderName::from_static("cicadalift-encoding");
/// Longest body after it is restored.
const MAX_RESTORED_BYTES: usize = 16 * 1024 * 1024;

/// Answers a request for the rows of the table `table` that changed after the revision `after`, both
/// in the query; without the former, for those of all tables.
///
/// Without newer rows, the response is delayed by up to `wait_ms` milliseconds until there are some,
/// or this VM loses the store.
pub(crate) async fn serve_records(node: Rc<Node>, request: Request<Incoming>) -> HttpResponse {
    let query = request.uri().query().unwrap_or_default();
    let Some(after) = parse_value(query, "after") else {
        return text_response(StatusCode::BAD_REQUEST, "no revision");
    };
    let tables = match query_value(query, "table") {
        Some(table) => vec![table.to_owned()],
        None => node.store.tables.clone(),
    };
    let wait = Duration::from_millis(parse_value(query, "wait_ms").unwrap_or(0));
    let deadline = node.now() + wait.min(MAX_WAIT);
    let mut replica_changes = node.subscribe_replica();
    let has_changes = || {
        let complete = node.replica().complete_revision(&tables);
        complete.is_some_and(|complete| complete > after)
    };
    while follows_store(&node) && !has_changes() {
        let changed =
            tokio::time::timeout_at(node.clock.instant_at(deadline), replica_changes.changed());
        if changed.await.is_err() {
            break;
        }
    }
    respond_with_batch(&node, after, &tables, takes_compressed(query))
}

/// Returns whether this VM currently receives changes directly from the store.
fn follows_store(node: &Node) -> bool {
    node.is_store_available() && store::watches_store(node)
}

fn respond_with_batch(
    node: &Rc<Node>,
    after: Revision,
    tables: &[String],
    compressed: bool,
) -> HttpResponse {
    let replica = node.replica();
    let state = BatchState {
        after,
        newest: replica.newest_revision(),
        complete: replica.complete_revision(tables),
        well: follows_store(node),
        settled: node.is_store_settled(),
        compressed,
    };
    let encode = || {
        let bytes = wire::encode(&Batch {
            well: state.well,
            settled: state.settled,
            ..replica.build_batch(after, tables)
        })?;
        if compressed {
            wire::compress(&bytes)
        } else {
            Ok(bytes)
        }
    };
    let mut batches = node.batch_cache.borrow_mut();
    match batches.get_or_encode(tables, state, encode) {
        Ok(bytes) => {
            let mut response = HttpResponse::new(bytes.into());
            if compressed {
                mark_compressed(&mut response);
            }
            if let Some(age) = node.time_since_store_contact() {
                let age_ms = HeaderValue::from(duration_ms(age));
                response.headers_mut().insert(STORE_AGE_MS_HEADER, age_ms);
            }
            response
        }
        Err(error) => {
            log::error!(event = "records_unwritable", reason:% = error; "rows cannot be encoded; a peer gets no update");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "rows cannot be written")
        }
    }
}

/// Returns whether the sender of a query takes compressed responses. Those of earlier builds do not.
pub(super) fn takes_compressed(query: &str) -> bool {
    query.split('&').any(|pair| pair == ENCODING_PARAMETER)
}

/// States that the body of a response is compressed.
pub(super) fn mark_compressed(response: &mut HttpResponse) {
    let headers = response.headers_mut();
    headers.insert(ENCODING_HEADER, HeaderValue::from_static("deflate"));
}

/// Returns the body of a response of another VM as it was before it was compressed, if it was.
pub(crate) fn restore_body(response: ClientResponse) -> Result<Bytes, wire::CodecError> {
    if !response.headers.contains_key(ENCODING_HEADER) {
        return Ok(response.body);
    }
    wire::decompress(&response.body, MAX_RESTORED_BYTES).map(Bytes::from)
}

/// Returns the text of a query parameter.
pub(super) fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| value)
}

/// Returns the value of a query parameter, or `None` if it is missing or cannot be parsed.
fn parse_value<T: FromStr>(query: &str, name: &str) -> Option<T> {
    query_value(query, name).and_then(|value| value.parse().ok())
}
