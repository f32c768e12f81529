//! Relays a request through the VM that owns its target's queue.

use {
    super::{
        Attempt, Client, NotExecutedReason, Outcome, PartialResponse, Reply, ResponseFault,
        TargetRequest,
        classify::{RawResponse, classify_response},
        outcome::{ANSWERED, TIMED_OUT},
        target_request::build_request_with_deadline,
    },
    crate::HeaderNames,
    balance::Feedback,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    std::{rc::Rc, time::Duration},
};

/// Request header: identifier of the target that is to run the request.
pub(crate) const TARGET_HEADER: HeaderName = HeaderName::from_static("cicadalift-target");
/// Request header: `1` if the target is expected to have the request's object cached, `0` if
/// it is a fallback.
pub(crate) const FIRST_CHOICE_HEADER: HeaderName = HeaderName::from_static("cicadalift-first");
/// Request header: present if the request also runs at another target. It is handed back instead of
/// waiting.
pub(crate) const COPY_HEADER: HeaderName = HeaderName::from_static("cicadalift-copy");
/// Request header: present if the request may be handed back to run at another target. Milliseconds of
/// the round trip that it takes to go there.
pub(crate) const ELSEWHERE_HEADER: HeaderName = HeaderName::from_static("cicadalift-elsewhere-ms");
/// Request header: present if the target is the second home of the request's object, so that it is
/// handed back unless the target has the object (`0`) or may load it (`1`).
pub(crate) const DIVERTED_HEADER: HeaderName = HeaderName::from_static("cicadalift-diverted");
/// Request header: milliseconds since the caller's first attempt, including the round trip
/// between the VMs.
pub(crate) const WAITED_MS_HEADER: HeaderName = HeaderName::from_static("cicadalift-waited-ms");
/// Request header: name of the customer that makes the request; missing without one.
pub(crate) const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("cicadalift-customer");
/// Request header: name of the VM that relays the request, so that the request does not wait for
/// longer than that VM lives.
pub(crate) const RELAYED_BY_HEADER: HeaderName = HeaderName::from_static("cicadalift-from");
/// Request header: milliseconds until the VM that relays the request ends; missing unless it leaves.
pub(crate) const ENDS_IN_MS_HEADER: HeaderName = HeaderName::from_static("cicadalift-ends-ms");
/// Response header: outcome of the exchange with the target.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cicadalift-outcome");
/// Response header: milliseconds until the target is expected to have room.
pub(crate) const RETRY_AFTER_MS_HEADER: HeaderName = HeaderName::from_static("cicadalift-after-ms");
/// Response header: milliseconds that the target took to respond.
pub(crate) const RUNNING_TIME_MS_HEADER: HeaderName = HeaderName::from_static("cicadalift-ran-ms");

/// Response header, beside the outcome [`NOT_SERVED`]: present if the VM reaches no target.
pub(crate) const CUT_OFF_HEADER: HeaderName = HeaderName::from_static("cicadalift-cut-off");

/// Response header, beside the outcome [`NOT_SERVED`]: present if the VM ends before the request could
/// be answered.
pub(crate) const LEAVING_HEADER: HeaderName = HeaderName::from_static("cicadalift-leaving");

/// Response header, beside the outcomes [`FULL`] and [`NOT_SERVED`]: when the process of the target
/// started of which the VM knows, in milliseconds of its own clock. Missing if the target is not known.
pub(crate) const STARTED_AT_MS_HEADER: HeaderName =
    HeaderName::from_static("cicadalift-started-at-ms");

/// Response header, beside the outcomes [`FULL`] and [`NOT_SERVED`]: milliseconds since the target
/// last stated the rate limit that the response names. Missing without one.
pub(crate) const LIMIT_AGE_MS_HEADER: HeaderName =
    HeaderName::from_static("cicadalift-limit-age-ms");

/// Response header, beside the outcome [`ELSEWHERE`]: `1` if the other target may load the object.
pub(crate) const MAY_LOAD_HEADER: HeaderName = HeaderName::from_static("cicadalift-may-load");

/// Value of [`OUTCOME_HEADER`] when the request is to run at another target of its object.
pub(crate) const ELSEWHERE: &str = "elsewhere";
/// Value of [`OUTCOME_HEADER`] when the target has no room before the deadline.
pub(crate) const FULL: &str = "full";
/// Value of [`OUTCOME_HEADER`] when the VM does not accept requests for the target.
pub(crate) const NOT_SERVED: &str = "unserved";

/// Data by which the VM that owns the queue determines the position of the request.
pub(crate) struct RelayContext<'a> {
    /// Name of this VM.
    pub(crate) relayed_by: &'a str,
    /// Time until this VM ends, if it leaves.
    pub(crate) ends_in: Option<Duration>,
    /// Name of the customer; empty without one.
    pub(crate) customer: &'a str,
    /// Whether the target is expected to have the request's object cached.
    pub(crate) is_first_choice: bool,
    /// Whether the request also runs at another target.
    pub(crate) is_copy: bool,
    /// What is possible beside its first target.
    pub(crate) diversion: Diversion,
    /// Time since the caller's first attempt.
    pub(crate) waited: Duration,
}

/// Whether a request may run at another target of its object than the first one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Diversion {
    /// Not by the VM that owns the target's queue.
    #[default]
    None,
    /// It may be handed back to run there.
    Possible {
        /// Round trip that it takes to go there.
        way: Duration,
    },
    /// This target is the other one.
    Diverted {
        /// Whether it may load the object.
        may_load: bool,
    },
}

/// What a VM that refuses a relayed request knows of its target.
pub(crate) struct OwnerStatements {
    /// What the target stated.
    pub(crate) feedback: Feedback,
    /// Start time of the process that stated it; `None` if the VM does not know the target, or is of
    /// a build that does not say.
    pub(crate) started_at_ms: Option<u64>,
    /// Time since the target last stated its rate limit; zero if the VM is of a build that does not
    /// say.
    pub(crate) limit_age: Duration,
}

impl OwnerStatements {
    fn parse(header_names: &HeaderNames, headers: &HeaderMap) -> Self {
        Self {
            feedback: (header_names.feedback.decode)(headers),
            started_at_ms: parse_number(headers, &STARTED_AT_MS_HEADER),
            limit_age: parse_millis(headers, &LIMIT_AGE_MS_HEADER).unwrap_or_default(),
        }
    }
}

/// Result of relaying a request through another VM.
pub(crate) enum RelayOutcome {
    /// The VM accepted the request and returned the outcome, or the deadline passed first.
    Completed {
        outcome: Outcome,
        /// Time that the target took to respond, if the VM states it.
        running_time: Option<Duration>,
    },
    /// The response goes on arriving, although the VM has awaited it for a while.
    Partial(Box<PartialResponse>),
    /// The target has no room before the deadline; the request was not sent.
    Full {
        retry_after: Duration,
        statements: OwnerStatements,
    },
    /// The request is to run at another target of its object; it was not sent.
    Elsewhere {
        /// Whether that target may load the object for it.
        may_load: bool,
    },
    /// The VM did not accept the request.
    NotServed {
        statements: OwnerStatements,
        /// Whether the VM reaches no target.
        is_cut_off: bool,
    },
    /// The VM ends before the request could be answered. It was not sent.
    Leaving,
    /// The VM cannot be reached.
    Unreachable,
    /// The VM returned no response, so the target may have run the request.
    NoResponse(Outcome),
}

impl Client {
    /// Relays a request through another VM, and returns how it ended.
    pub(crate) async fn relay(
        self: &Rc<Self>,
        header_names: &HeaderNames,
        request: &TargetRequest,
        attempt: &Attempt<'_>,
        context: &RelayContext<'_>,
    ) -> RelayOutcome {
        let mut http_request = build_request_with_deadline(header_names, request, attempt);
        let headers = http_request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(attempt.target_id) {
            headers.insert(TARGET_HEADER, id);
        }
        // A caller may have sent them.
        headers.remove(CUSTOMER_HEADER);
        headers.remove(COPY_HEADER);
        set_diversion(headers, context.diversion);
        headers.remove(RELAYED_BY_HEADER);
        if let Ok(name) = HeaderValue::from_str(context.relayed_by) {
            headers.insert(RELAYED_BY_HEADER, name);
        }
        headers.remove(ENDS_IN_MS_HEADER);
        if let Some(ends_in) = context.ends_in {
            headers.insert(ENDS_IN_MS_HEADER, HeaderValue::from(to_millis(ends_in)));
        }
        if !context.customer.is_empty()
            && let Ok(name) = HeaderValue::from_str(context.customer)
        {
            headers.insert(CUSTOMER_HEADER, name);
        }
        headers.insert(
            FIRST_CHOICE_HEADER,
            HeaderValue::from(u16::from(context.is_first_choice)),
        );
        headers.insert(
            WAITED_MS_HEADER,
            HeaderValue::from(to_millis(context.waited)),
        );
        if context.is_copy {
            headers.insert(COPY_HEADER, HeaderValue::from_static("1"));
        }
        let mut raw = match self.send_and_receive(http_request, attempt).await {
            Ok(raw) => raw,
            Err(Outcome::NotExecuted { .. }) => return RelayOutcome::Unreachable,
            // The other VM waits for the target until the same deadline.
            Err(outcome @ Outcome::TimedOut) => {
                return RelayOutcome::Completed {
                    outcome,
                    running_time: None,
                };
            }
            Err(outcome) => return RelayOutcome::NoResponse(outcome),
        };
        if let Some(connection) = raw.connection.take() {
            self.check_in_for(attempt, &raw.headers)
                .check_in_when_ready(connection);
        }
        parse_response(header_names, request, raw)
    }
}

fn parse_response(
    header_names: &HeaderNames,
    request: &TargetRequest,
    mut raw: RawResponse,
) -> RelayOutcome {
    let text = raw.headers.get(OUTCOME_HEADER);
    if text.is_some_and(|text| states_not_run(text.to_str().unwrap_or_default())) {
        raw.transmission.record_not_run();
    }
    let running_time = parse_millis(&raw.headers, &RUNNING_TIME_MS_HEADER);
    let retry_after = parse_millis(&raw.headers, &RETRY_AFTER_MS_HEADER).unwrap_or_default();
    let outcome = raw.headers.remove(OUTCOME_HEADER);
    raw.headers.remove(RUNNING_TIME_MS_HEADER);
    raw.headers.remove(RETRY_AFTER_MS_HEADER);
    let outcome = outcome.as_ref().and_then(|outcome| outcome.to_str().ok());
    let outcome = match outcome.unwrap_or_default() {
        FULL => {
            return RelayOutcome::Full {
                retry_after,
                statements: OwnerStatements::parse(header_names, &raw.headers),
            };
        }
        ELSEWHERE => {
            let may_load = raw.headers.get(MAY_LOAD_HEADER);
            return RelayOutcome::Elsewhere {
                may_load: may_load.is_some_and(|value| value == "1"),
            };
        }
        NOT_SERVED if raw.headers.contains_key(LEAVING_HEADER) => return RelayOutcome::Leaving,
        NOT_SERVED => {
            return RelayOutcome::NotServed {
                statements: OwnerStatements::parse(header_names, &raw.headers),
                is_cut_off: raw.headers.contains_key(CUT_OFF_HEADER),
            };
        }
        ANSWERED => match classify_response(header_names, request, raw) {
            Reply::Ended(outcome) => outcome,
            Reply::Partial(response) => return RelayOutcome::Partial(response),
        },
        TIMED_OUT => Outcome::TimedOut,
        text => match NotExecutedReason::parse(text) {
            Some(reason) => Outcome::NotExecuted {
                reason,
                feedback: reason
                    .is_rejection()
                    .then(|| (header_names.feedback.decode)(&raw.headers)),
            },
            None => Outcome::Indeterminate(
                ResponseFault::parse(text).unwrap_or(ResponseFault::RequestIdMismatch),
            ),
        },
    };
    RelayOutcome::Completed {
        outcome,
        running_time,
    }
}

/// Returns whether an outcome means that no target ran the request.
fn states_not_run(outcome: &str) -> bool {
    matches!(outcome, FULL | ELSEWHERE | NOT_SERVED) || NotExecutedReason::parse(outcome).is_some()
}

/// States whether the request may be handed back, in place of what a caller may have sent.
fn set_diversion(headers: &mut HeaderMap, diversion: Diversion) {
    headers.remove(ELSEWHERE_HEADER);
    headers.remove(DIVERTED_HEADER);
    match diversion {
        Diversion::None => {}
        Diversion::Possible { way } => {
            headers.insert(ELSEWHERE_HEADER, HeaderValue::from(to_millis(way)));
        }
        Diversion::Diverted { may_load } => {
            headers.insert(DIVERTED_HEADER, HeaderValue::from(u16::from(may_load)));
        }
    }
}

fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    parse_number(headers, name).map(Duration::from_millis)
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
