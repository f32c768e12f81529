//! Classifies the responses of targets.

use {
    super::{
        NotExecutedReason, Outcome, PartialResponse, Reply, ResponseBody, ResponseFault,
        TargetRequest, TargetResponse, connection::Connection, partial_response::Rest,
        send_tracker::Transmission,
    },
    crate::HeaderNames,
    balance::{Feedback, Field},
    hyper::{HeaderMap, StatusCode},
};

/// A response that has not been checked.
pub(super) struct RawResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: RawBody,
    /// The connection, unless the body holds it.
    pub(super) connection: Option<Connection>,
    pub(super) transmission: Transmission,
}

/// Body of a response that has not been checked.
pub(super) enum RawBody {
    /// It is complete, or streamed.
    Ready(ResponseBody),
    /// It states no length.
    Partial(Box<Rest>),
}

/// Classifies a response whose body was received, or goes on arriving.
pub(super) fn classify_response(
    header_names: &HeaderNames,
    request: &TargetRequest,
    raw: RawResponse,
) -> Reply {
    let feedback = match check_head(header_names, request, raw.status, &raw.headers) {
        Ok(feedback) => feedback,
        Err(outcome) => return Reply::Ended(outcome),
    };
    match raw.body {
        RawBody::Ready(body) => Reply::Ended(Outcome::Answered(Box::new(TargetResponse {
            status: raw.status,
            headers: raw.headers,
            body,
            feedback,
        }))),
        RawBody::Partial(rest) => Reply::Partial(Box::new(PartialResponse {
            status: raw.status,
            headers: raw.headers,
            feedback,
            rest: *rest,
            _transmission: raw.transmission,
        })),
    }
}

/// Checks the status, the request identifier, the statement of non-execution and the signature. Returns
/// what the target states about itself, or the outcome if the response cannot be used.
pub(super) fn check_head(
    header_names: &HeaderNames,
    request: &TargetRequest,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Feedback, Outcome> {
    if !wire::status::is_final(status.as_u16()) {
        return Err(Outcome::Indeterminate(ResponseFault::Malformed));
    }
    let mut feedback = (header_names.feedback.decode)(headers);
    // With another status the header does not concern this VM.
    if status != StatusCode::SERVICE_UNAVAILABLE {
        feedback.rest = Field::Absent;
    }
    let echoed_id = headers.get(&header_names.request_id);
    if echoed_id.is_some_and(|echoed_id| *echoed_id != request.request_id) {
        return Err(Outcome::Indeterminate(ResponseFault::RequestIdMismatch));
    }
    let states_not_executed = headers.contains_key(&header_names.not_executed);
    if status == StatusCode::MISDIRECTED_REQUEST || states_not_executed {
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        return Err(Outcome::NotExecuted {
            reason: if is_misdirected {
                NotExecutedReason::Misdirected
            } else {
                NotExecutedReason::Shed
            },
            // Another target may have sent a misdirected response.
            feedback: (!is_misdirected).then_some(feedback),
        });
    }
    if echoed_id.is_none() {
        return Err(Outcome::Indeterminate(ResponseFault::RequestIdMismatch));
    }
    if status.is_success() && !headers.contains_key(&header_names.signature) {
        return Err(Outcome::Indeterminate(ResponseFault::Unsigned));
    }
    Ok(feedback)
}
