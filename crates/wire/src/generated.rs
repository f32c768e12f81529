#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Rows that changed after a given version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    #[doc = "Changed rows in the order of their versions."]
    pub records: ::std::vec::Vec<Record>,
    #[doc = "Revision up to which the sender knows all changes; version 0 if it knows none."]
    pub revision: ::wire::Revision,
    #[doc = "Whether the store has been reachable from the sender long enough that a deletion is not the expiry of a lease that could not be renewed during an outage."]
    pub settled: bool,
    #[doc = "Whether the sender currently receives changes directly from the store."]
    pub well: bool,
    #[doc = "Whether the batch is a full snapshot, so that a row that is not in it was deleted before the version."]
    pub whole: bool,
}
#[doc = "Change of the control document that an operator requests."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum Change {
    #[serde(rename = "preset")]
    Preset {
        #[doc = "Version of the control document that the operator has seen."]
        expect: u64,
        name: ::std::string::String,
    },
    #[serde(rename = "leaving")]
    Leaving(Mark),
    #[serde(rename = "back")]
    Back(Mark),
}
#[doc = "State of an idempotency key in the table service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    #[doc = "Stored response body; empty if it was not stored."]
    pub body: ::std::string::String,
    pub fingerprint: ::std::string::String,
    pub headers: ::std::vec::Vec<Header>,
    #[doc = "Identifier of the claim, unique to one attempt of the request."]
    pub id: ::std::string::String,
    #[doc = "Whether the response is stored and can be replayed."]
    pub kept: bool,
    pub phase: Phase,
    pub status: u16,
}
#[doc = "Number of targets that a request has crashed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    #[doc = "Number of targets that crashed while they ran the request."]
    pub count: u32,
    #[doc = "Hash that identifies the request."]
    pub fingerprint: ::std::string::String,
}
#[doc = "Message of the failure detector that VMs use to track membership."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Datagram {
    #[doc = "Member that the receiver is asked to ping; empty unless the signal is an ask."]
    pub about: ::std::string::String,
    #[doc = "Crash counts that increased recently."]
    pub crashes: ::std::vec::Vec<Crash>,
    pub from: Member,
    #[doc = "Membership records that changed recently."]
    pub news: ::std::vec::Vec<Member>,
    #[doc = "Sequence number; the acknowledgement repeats it."]
    pub number: u64,
    pub signal: Signal,
}
#[doc = "Response to an operator's proposal."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    #[doc = "VMs that confirmed that the version is in force."]
    pub confirmed: ::std::vec::Vec<::std::string::String>,
    #[doc = "Why the change was not accepted, or how to proceed if that is unknown; empty if it was accepted."]
    pub detail: ::std::string::String,
    pub document: Document,
    #[doc = "VMs that did not confirm that the version is in force."]
    pub unconfirmed: ::std::vec::Vec<::std::string::String>,
    pub verdict: Verdict,
}
#[doc = "Control document: the decisions of operators under one version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub marks: ::std::vec::Vec<Mark>,
    #[doc = "Most recently accepted operations, newest last: the identifier of each, after p: for a switch of the preset or m: for a change of a mark."]
    pub ops: ::std::vec::Vec<::std::string::String>,
    pub preset: ::std::string::String,
    pub version: u64,
}
#[doc = "VM that a caller may send requests to."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub name: ::std::string::String,
    pub url: ::std::string::String,
    pub zone: ::std::string::String,
}
#[doc = "Request forwarded to the VM that owns its pool; the body follows in the frame."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Forward {
    #[doc = "Time left until the deadline of the response, in milliseconds."]
    pub deadline_ms: u64,
    pub fingerprint: ::std::string::String,
    pub headers: ::std::vec::Vec<Header>,
    #[doc = "Idempotency key; empty if the request has none."]
    pub key: ::std::string::String,
    pub method: ::std::string::String,
    pub operation: ::std::string::String,
    #[doc = "Region of the caller."]
    pub origin: ::std::string::String,
    pub path: ::std::string::String,
    #[doc = "Longest expected wait for a slot at which the request is still admitted, in milliseconds."]
    pub patience_ms: u32,
    pub request: ::std::string::String,
    pub service: ::std::string::String,
    #[doc = "Site of the pool that the request is forwarded to."]
    pub site: ::std::string::String,
    #[doc = "Number of earlier attempts with this key whose outcome the caller does not know."]
    pub unresolved: u32,
}
#[doc = "Gossip message that two VMs send each other in one exchange."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    pub from: Member,
    pub members: ::std::vec::Vec<Member>,
    pub poisons: ::std::vec::Vec<Poison>,
    pub pools: ::std::vec::Vec<Pool>,
}
#[doc = "HTTP header."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Header {
    pub name: ::std::string::String,
    pub value: ::std::string::String,
}
#[doc = "Kind of object that a mark refers to."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Kind {
    #[serde(rename = "target")]
    Target,
    #[serde(rename = "service-zone")]
    ServiceZone,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "vm")]
    Vm,
}
impl ::std::fmt::Display for Kind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Target => f.write_str("target"),
            Self::ServiceZone => f.write_str("service-zone"),
            Self::Zone => f.write_str("zone"),
            Self::Vm => f.write_str("vm"),
        }
    }
}
impl ::std::str::FromStr for Kind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "target" => Ok(Self::Target),
            "service-zone" => Ok(Self::ServiceZone),
            "zone" => Ok(Self::Zone),
            "vm" => Ok(Self::Vm),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Kind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Kind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Rate of the network link of a VM, told to VMs that ask for it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Link {
    #[doc = "Start time of the incarnation that has the link, as in its membership record."]
    pub boot_ms: u64,
    #[doc = "Rate in megabits per second."]
    pub mbps: u32,
    pub vm: ::std::string::String,
}
#[doc = "Response to a caller that looks up which VMs to use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lookup {
    #[doc = "Time after which to look up again, in milliseconds; 0 if the response lists a VM."]
    pub retry_after_ms: u64,
    #[doc = "Time for which the caller may cache the response, in milliseconds."]
    pub ttl_ms: u64,
    pub vms: ::std::vec::Vec<Entry>,
}
#[doc = "Object that an operator marked as leaving."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    pub kind: Kind,
    pub name: ::std::string::String,
}
#[doc = "Membership record of a VM, spread by gossip."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    #[doc = "Version of the record within the incarnation; only the member itself raises it."]
    pub beat: u64,
    #[doc = "Start time of this incarnation, in milliseconds since the Unix epoch."]
    pub boot_ms: u64,
    #[doc = "Address at which callers reach the member."]
    pub caller: ::std::string::String,
    #[doc = "Revision of the control document, or of the newest row of the store, that the member has."]
    pub control: ::wire::Revision,
    pub name: ::std::string::String,
    #[doc = "Address at which other VMs reach the member."]
    pub peer: ::std::string::String,
    pub status: Status,
    pub zone: ::std::string::String,
}
#[doc = "What the caller may conclude about the execution of its request."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Outcome {
    #[serde(rename = "answered")]
    Answered,
    #[serde(rename = "not-run")]
    NotRun,
    #[serde(rename = "may-have-run")]
    MayHaveRun,
}
impl ::std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Answered => f.write_str("answered"),
            Self::NotRun => f.write_str("not-run"),
            Self::MayHaveRun => f.write_str("may-have-run"),
        }
    }
}
impl ::std::str::FromStr for Outcome {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "answered" => Ok(Self::Answered),
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Progress of a claimed request."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Phase {
    #[serde(rename = "claimed")]
    Claimed,
    #[serde(rename = "done")]
    Done,
}
impl ::std::fmt::Display for Phase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Claimed => f.write_str("claimed"),
            Self::Done => f.write_str("done"),
        }
    }
}
impl ::std::str::FromStr for Phase {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "claimed" => Ok(Self::Claimed),
            "done" => Ok(Self::Done),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Phase {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Phase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Crash count of a request whose exchange ended as if its target had crashed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Poison {
    pub count: u32,
    #[doc = "Expiry time of the count, in milliseconds since the Unix epoch."]
    pub expires_ms: u64,
    pub fingerprint: ::std::string::String,
}
#[doc = "Load report of the pool of one service at one site, sent by the VM that owns the pool."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    #[doc = "Sequence number within the incarnation of the owner; a report with a lower number is older."]
    pub beat: u64,
    #[doc = "Incarnation of the owner, as in its membership record."]
    pub boot_ms: u64,
    #[doc = "Number of free slots."]
    pub free: u32,
    pub owner: ::std::string::String,
    #[doc = "Number of queued requests."]
    pub queued: u32,
    pub service: ::std::string::String,
    pub site: ::std::string::String,
    #[doc = "Expected queueing time of a new request, in milliseconds."]
    pub wait_ms: u32,
}
#[doc = "Change with the identifier that makes its submission idempotent."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    pub change: Change,
    #[doc = "Identifier of the operation; a change submitted again under it takes effect only once, as long as the control document lists it."]
    pub op: ::std::string::String,
}
#[doc = "Datagram of the VM that owns a customer now to the one that it takes for the owner before: it asks what that one gave out lately."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaClaim {
    #[doc = "Name of the customer."]
    pub customer: ::std::string::String,
    #[doc = "Name of the VM that sends it."]
    pub from: ::std::string::String,
}
#[doc = "Tokens of one customer. They expire a fixed time after they were asked for."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaGrant {
    #[doc = "Name of the customer."]
    pub customer: ::std::string::String,
    #[doc = "Whether tokens are missing because the customer's limit is used up, and not because the sender does not know what others gave."]
    pub limited: bool,
    #[doc = "Time until there is a further token, in milliseconds; 0 if all were given."]
    pub retry_after_ms: u64,
    #[doc = "Number of tokens, at most as many as were asked for."]
    pub tokens: u32,
}
#[doc = "Datagram with what a VM gave out lately of a customer, to the VM that owns the customer now. The sender gives out no more of it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaHandover {
    #[doc = "Name of the customer."]
    pub customer: ::std::string::String,
    #[doc = "Name of the VM that sends it."]
    pub from: ::std::string::String,
    #[doc = "Tokens that still count, the oldest first."]
    pub grants: ::std::vec::Vec<QuotaSpan>,
    #[doc = "Tokens in the sender's bucket, in thousandths."]
    pub level_milli: u64,
    #[doc = "For how long the sender has been the customer's owner, in milliseconds; null if it was not."]
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub owner_for_ms: ::std::option::Option<u64>,
}
#[doc = "Datagram that answers a question for tokens."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaReply {
    pub grants: ::std::vec::Vec<QuotaGrant>,
    #[doc = "Sequence number of the question."]
    pub number: u64,
}
#[doc = "Datagram that asks a VM for tokens of customers whose requests are limited over all VMs together."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaRequest {
    #[doc = "Name of the VM that sends it."]
    pub from: ::std::string::String,
    #[doc = "Sequence number; the reply repeats it."]
    pub number: u64,
    pub wants: ::std::vec::Vec<QuotaWant>,
}
#[doc = "Tokens of one customer that were given out at about the same time."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaSpan {
    #[doc = "Time since then, in milliseconds."]
    pub age_ms: u64,
    #[doc = "Number of tokens."]
    pub tokens: u32,
}
#[doc = "Question for tokens of one customer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaWant {
    #[doc = "Requests that it may make at once beyond that."]
    pub burst: u64,
    #[doc = "Name of the customer."]
    pub customer: ::std::string::String,
    #[doc = "Requests per 1,000 seconds that the customer may make."]
    pub limit_per_1000_s: u64,
    #[doc = "Number of tokens; each is for one request."]
    pub tokens: u32,
    #[doc = "Version of the configuration that states the limit."]
    pub version: u64,
}
#[doc = "Why a request has no response from an upstream."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Reason {
    #[serde(rename = "none")]
    None,
    #[serde(rename = "malformed")]
    Malformed,
    #[serde(rename = "too-large")]
    TooLarge,
    #[serde(rename = "key-missing")]
    KeyMissing,
    #[serde(rename = "key-reused")]
    KeyReused,
    #[serde(rename = "past-deadline")]
    PastDeadline,
    #[serde(rename = "unknown-service")]
    UnknownService,
    #[serde(rename = "unknown-operation")]
    UnknownOperation,
    #[serde(rename = "overloaded")]
    Overloaded,
    #[serde(rename = "no-upstream")]
    NoUpstream,
    #[serde(rename = "cap-reached")]
    CapReached,
    #[serde(rename = "store-down")]
    StoreDown,
    #[serde(rename = "in-progress")]
    InProgress,
    #[serde(rename = "answer-lost")]
    AnswerLost,
    #[serde(rename = "upstream-timeout")]
    UpstreamTimeout,
    #[serde(rename = "upstream-broke")]
    UpstreamBroke,
    #[serde(rename = "quarantined")]
    Quarantined,
    #[serde(rename = "stopping")]
    Stopping,
    #[serde(rename = "not-ready")]
    NotReady,
    #[serde(rename = "not-owner")]
    NotOwner,
    #[serde(rename = "vm-unreachable")]
    VmUnreachable,
    #[serde(rename = "key-expired")]
    KeyExpired,
}
impl ::std::fmt::Display for Reason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::None => f.write_str("none"),
            Self::Malformed => f.write_str("malformed"),
            Self::TooLarge => f.write_str("too-large"),
            Self::KeyMissing => f.write_str("key-missing"),
            Self::KeyReused => f.write_str("key-reused"),
            Self::PastDeadline => f.write_str("past-deadline"),
            Self::UnknownService => f.write_str("unknown-service"),
            Self::UnknownOperation => f.write_str("unknown-operation"),
            Self::Overloaded => f.write_str("overloaded"),
            Self::NoUpstream => f.write_str("no-upstream"),
            Self::CapReached => f.write_str("cap-reached"),
            Self::StoreDown => f.write_str("store-down"),
            Self::InProgress => f.write_str("in-progress"),
            Self::AnswerLost => f.write_str("answer-lost"),
            Self::UpstreamTimeout => f.write_str("upstream-timeout"),
            Self::UpstreamBroke => f.write_str("upstream-broke"),
            Self::Quarantined => f.write_str("quarantined"),
            Self::Stopping => f.write_str("stopping"),
            Self::NotReady => f.write_str("not-ready"),
            Self::NotOwner => f.write_str("not-owner"),
            Self::VmUnreachable => f.write_str("vm-unreachable"),
            Self::KeyExpired => f.write_str("key-expired"),
        }
    }
}
impl ::std::str::FromStr for Reason {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "none" => Ok(Self::None),
            "malformed" => Ok(Self::Malformed),
            "too-large" => Ok(Self::TooLarge),
            "key-missing" => Ok(Self::KeyMissing),
            "key-reused" => Ok(Self::KeyReused),
            "past-deadline" => Ok(Self::PastDeadline),
            "unknown-service" => Ok(Self::UnknownService),
            "unknown-operation" => Ok(Self::UnknownOperation),
            "overloaded" => Ok(Self::Overloaded),
            "no-upstream" => Ok(Self::NoUpstream),
            "cap-reached" => Ok(Self::CapReached),
            "store-down" => Ok(Self::StoreDown),
            "in-progress" => Ok(Self::InProgress),
            "answer-lost" => Ok(Self::AnswerLost),
            "upstream-timeout" => Ok(Self::UpstreamTimeout),
            "upstream-broke" => Ok(Self::UpstreamBroke),
            "quarantined" => Ok(Self::Quarantined),
            "stopping" => Ok(Self::Stopping),
            "not-ready" => Ok(Self::NotReady),
            "not-owner" => Ok(Self::NotOwner),
            "vm-unreachable" => Ok(Self::VmUnreachable),
            "key-expired" => Ok(Self::KeyExpired),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Reason {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Reason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Row of the platform's store as VMs replicate it to each other."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Record {
    #[doc = "Key of the row."]
    pub key: ::std::string::String,
    #[doc = "Revision that the store assigned to the last change of the row."]
    pub revision: ::wire::Revision,
    #[doc = "Table that contains the row."]
    pub table: ::std::string::String,
    #[doc = "Value of the row as base64; null if the row was deleted."]
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub value: ::std::option::Option<::std::string::String>,
}
#[doc = "Body of a response that did not come from an upstream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    pub outcome: Outcome,
    pub reason: Reason,
    pub request: ::std::string::String,
    #[doc = "Time after which to retry the request, in milliseconds; 0 if a retry would not help."]
    pub retry_after_ms: u64,
}
#[doc = "Response returned to the VM that forwarded the request; the body follows in the frame."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Reply {
    pub headers: ::std::vec::Vec<Header>,
    pub outcome: Outcome,
    pub reason: Reason,
    #[doc = "Whether the response was stored for an earlier attempt with the same key."]
    pub replayed: bool,
    #[doc = "Time after which to retry the request, in milliseconds; 0 if a retry would not help or is not needed."]
    pub retry_after_ms: u64,
    pub status: u16,
    #[doc = "Target that responded; empty if none did."]
    pub target: ::std::string::String,
}
#[doc = "Type of a datagram: a ping, its acknowledgement, or the request to ping another member."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Signal {
    #[serde(rename = "ping")]
    Ping,
    #[serde(rename = "ack")]
    Ack,
    #[serde(rename = "ask")]
    Ask,
}
impl ::std::fmt::Display for Signal {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Ping => f.write_str("ping"),
            Self::Ack => f.write_str("ack"),
            Self::Ask => f.write_str("ask"),
        }
    }
}
impl ::std::str::FromStr for Signal {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "ping" => Ok(Self::Ping),
            "ack" => Ok(Self::Ack),
            "ask" => Ok(Self::Ask),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Signal {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Signal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What a target stated about itself, passed on by a VM."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    #[doc = "Time since the target made the statement, in milliseconds."]
    pub age_ms: u64,
    #[doc = "Whether the statement is that the target is about to stop; the limit is then stated separately."]
    pub leaving: bool,
    #[doc = "Requests per 1,000 seconds that the target accepts from all VMs together; null if it no longer states a limit, or the statement is another."]
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub limit_per_1000_s: ::std::option::Option<u64>,
    #[doc = "Start of the target's process, in milliseconds since the Unix epoch."]
    pub started_at_ms: u64,
    pub target: ::std::string::String,
}
#[doc = "Datagram with statements of targets. It is sent only while there are some, beside the datagrams of the failure detector."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Statements {
    #[doc = "Name of the VM that sends it."]
    pub from: ::std::string::String,
    pub statements: ::std::vec::Vec<Statement>,
}
#[doc = "Liveness of a member as another VM sees it."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Status {
    #[serde(rename = "alive")]
    Alive,
    #[serde(rename = "suspect")]
    Suspect,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::fmt::Display for Status {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Alive => f.write_str("alive"),
            Self::Suspect => f.write_str("suspect"),
            Self::Leaving => f.write_str("leaving"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for Status {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "alive" => Ok(Self::Alive),
            "suspect" => Ok(Self::Suspect),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Status {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Status {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Result of a proposal."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Verdict {
    #[serde(rename = "accepted")]
    Accepted,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "invalid")]
    Invalid,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Accepted => f.write_str("accepted"),
            Self::Conflict => f.write_str("conflict"),
            Self::Invalid => f.write_str("invalid"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Verdict {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "accepted" => Ok(Self::Accepted),
            "conflict" => Ok(Self::Conflict),
            "invalid" => Ok(Self::Invalid),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`Wire`"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(transparent)]
pub struct Wire(pub ::serde_json::Value);
impl ::std::ops::Deref for Wire {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Wire> for ::serde_json::Value {
    fn from(value: Wire) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Wire {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
