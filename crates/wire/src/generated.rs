#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "Rows that changed after a version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    #[doc = "In the order of their versions."]
    pub records: ::std::vec::Vec<Record>,
    #[doc = "Whether the store has answered the sender for a while: a deletion is then no lapse that an outage brought about."]
    pub settled: bool,
    #[doc = "Version up to which the sender knows all changes."]
    pub version: u64,
    #[doc = "Whether the sender hears changes from the store itself."]
    pub well: bool,
    #[doc = "Whether these are all rows: what is not among them was deleted before the version."]
    pub whole: bool,
}
#[doc = "What an operator asks for."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum Change {
    #[serde(rename = "preset")]
    Preset {
        #[doc = "Version that the operator has seen."]
        expect: u64,
        name: ::std::string::String,
    },
    #[serde(rename = "leaving")]
    Leaving(Mark),
    #[serde(rename = "back")]
    Back(Mark),
}
#[doc = "What the table service remembers of an idempotency key."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    #[doc = "Kept answer; empty when it was not kept."]
    pub body: ::std::string::String,
    pub fingerprint: ::std::string::String,
    pub headers: ::std::vec::Vec<Header>,
    #[doc = "Identifier of the claim, unique to one send of the request."]
    pub id: ::std::string::String,
    #[doc = "Whether the answer is kept."]
    pub kept: bool,
    pub phase: Phase,
    pub status: u16,
}
#[doc = "How many targets a request has crashed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    #[doc = "Targets that ended while they ran it."]
    pub count: u32,
    #[doc = "Hash of the request."]
    pub fingerprint: ::std::string::String,
}
#[doc = "Message by which VMs find out who is there."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Datagram {
    #[doc = "Member that the receiver shall ping; empty but for an ask."]
    pub about: ::std::string::String,
    #[doc = "Crash counts that rose lately."]
    pub crashes: ::std::vec::Vec<Crash>,
    pub from: Member,
    #[doc = "Records that changed lately."]
    pub news: ::std::vec::Vec<Member>,
    #[doc = "Repeated in the answer."]
    pub number: u64,
    pub signal: Signal,
}
#[doc = "Answer to an operator's proposal."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    #[doc = "VMs where the version is in force."]
    pub confirmed: ::std::vec::Vec<::std::string::String>,
    pub detail: ::std::string::String,
    pub document: Document,
    #[doc = "VMs that did not confirm it."]
    pub unconfirmed: ::std::vec::Vec<::std::string::String>,
    pub verdict: Verdict,
}
#[doc = "The control document: what operators decided, with its version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub marks: ::std::vec::Vec<Mark>,
    #[doc = "Identifiers of the last accepted changes, newest last."]
    pub ops: ::std::vec::Vec<::std::string::String>,
    pub preset: ::std::string::String,
    pub version: u64,
}
#[doc = "A VM that a caller may use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub name: ::std::string::String,
    pub url: ::std::string::String,
    pub zone: ::std::string::String,
}
#[doc = "A request on its way to the VM that owns its pool; the body follows."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Forward {
    #[doc = "Time left for the answer, in milliseconds."]
    pub deadline_ms: u64,
    pub fingerprint: ::std::string::String,
    pub headers: ::std::vec::Vec<Header>,
    #[doc = "Idempotency key; empty when the request has none."]
    pub key: ::std::string::String,
    pub method: ::std::string::String,
    pub operation: ::std::string::String,
    #[doc = "Region of the caller."]
    pub origin: ::std::string::String,
    pub path: ::std::string::String,
    #[doc = "Longest expected wait for a slot that the request accepts, in milliseconds."]
    pub patience_ms: u32,
    pub request: ::std::string::String,
    pub service: ::std::string::String,
    #[doc = "Site whose pool is meant."]
    pub site: ::std::string::String,
    #[doc = "Earlier sends of this key whose outcome the caller does not know."]
    pub unresolved: u32,
}
#[doc = "What two VMs tell each other in one exchange."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    pub from: Member,
    pub members: ::std::vec::Vec<Member>,
    pub poisons: ::std::vec::Vec<Poison>,
    pub pools: ::std::vec::Vec<Pool>,
}
#[doc = "One HTTP header."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Header {
    pub name: ::std::string::String,
    pub value: ::std::string::String,
}
#[doc = "What a mark names."]
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
#[doc = "Answer to a caller that asks which VM to use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lookup {
    pub retry_after_ms: u64,
    pub ttl_ms: u64,
    pub vms: ::std::vec::Vec<Entry>,
}
#[doc = "Something that an operator marked as leaving."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    pub kind: Kind,
    pub name: ::std::string::String,
}
#[doc = "A VM as gossip describes it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    #[doc = "Counter that the member alone raises."]
    pub beat: u64,
    #[doc = "Start of this incarnation, in milliseconds since the epoch."]
    pub boot_ms: u64,
    #[doc = "Address for callers."]
    pub caller: ::std::string::String,
    #[doc = "Version of the control document in force there."]
    pub control: u64,
    pub name: ::std::string::String,
    #[doc = "Address for other VMs."]
    pub peer: ::std::string::String,
    pub status: Status,
    pub zone: ::std::string::String,
}
#[doc = "What a caller may conclude from an answer."]
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
#[doc = "How far a claimed request has come."]
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
#[doc = "A request that ended like a crash of its target."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Poison {
    pub count: u32,
    #[doc = "When the count is forgotten, in milliseconds since the epoch."]
    pub expires_ms: u64,
    pub fingerprint: ::std::string::String,
}
#[doc = "Load of one service at one site, as its owner reports it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    #[doc = "Owner's counter; a report with a lower one is older."]
    pub beat: u64,
    #[doc = "Slots that are free."]
    pub free: u32,
    pub owner: ::std::string::String,
    #[doc = "Requests that wait."]
    pub queued: u32,
    pub service: ::std::string::String,
    pub site: ::std::string::String,
    #[doc = "Expected wait of a new request, in milliseconds."]
    pub wait_ms: u32,
}
#[doc = "A change with the identifier that makes it idempotent."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    pub change: Change,
    pub op: ::std::string::String,
}
#[doc = "Why a request got no upstream's answer."]
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
#[doc = "Row of the platform's store, as one VM passes it on to another."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Record {
    #[doc = "Key of the row."]
    pub key: ::std::string::String,
    #[doc = "Table of the row."]
    pub table: ::std::string::String,
    #[doc = "Bytes of the row as base64; null when the row was deleted."]
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub value: ::std::option::Option<::std::string::String>,
    #[doc = "The store's counter at the last change of the row."]
    pub version: u64,
}
#[doc = "Body of an answer that no upstream gave."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    pub outcome: Outcome,
    pub reason: Reason,
    pub request: ::std::string::String,
    pub retry_after_ms: u64,
}
#[doc = "An answer on its way back to the VM that forwarded; the body follows."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Eq, Hash, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Reply {
    pub headers: ::std::vec::Vec<Header>,
    pub outcome: Outcome,
    pub reason: Reason,
    pub replayed: bool,
    pub retry_after_ms: u64,
    pub status: u16,
    #[doc = "Target that answered; empty when none did."]
    pub target: ::std::string::String,
}
#[doc = "What a datagram between VMs asks or answers."]
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
#[doc = "State of a member as another VM sees it."]
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
#[doc = "What became of a proposal."]
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
