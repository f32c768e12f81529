//! Gives other VMs the rows that they miss.

use {
    crate::{Answer, Node, front::plain},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, StatusCode, body::Incoming},
    std::rc::Rc,
};

/// Rows that changed after the version in the query.
pub(crate) fn records(node: &Rc<Node>, request: &Request<Incoming>) -> Answer {
    let query = request.uri().query().unwrap_or_default();
    let after = query
        .strip_prefix("after=")
        .and_then(|text| text.parse().ok());
    let Some(after) = after else {
        return plain(StatusCode::BAD_REQUEST, "no version");
    };
    let batch = node.records().batch(after, &node.store.tables);
    match wire::encode(&batch) {
        Ok(bytes) => Answer::new(Full::new(Bytes::from(bytes))),
        Err(error) => {
            log::error!(event = "records_unwritable", reason:% = error; "rows not given");
            plain(StatusCode::INTERNAL_SERVER_ERROR, "rows cannot be written")
        }
    }
}
