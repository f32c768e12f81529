//! Types exchanged between processes, and their codec.
//!
//! The types are generated from `schema/wire.json`; see `docs/DESIGN.md`,
//! section "Protocols between VMs".

mod codec;
mod compression;
mod errors;
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
mod generated;
pub mod header;
mod revision;
pub mod status;

// The generated code names the hand-written types by the path of this crate.
extern crate self as wire;

pub use codec::{decode, decode_frame, encode, encode_frame};
pub use compression::{compress, decompress};
pub use errors::CodecError;
pub use generated::{
    Batch, Change, Claim, Crash, Datagram, Decision, Document, Entry, Forward, Gossip, Header,
    Kind, Link, Lookup, Mark, Member, Outcome, Phase, Poison, Pool, Proposal, QuotaClaim,
    QuotaGrant, QuotaHandover, QuotaReply, QuotaRequest, QuotaSpan, QuotaWant, Reason, Record,
    Refusal, Reply, Signal, Statement, Statements, Status, Verdict,
};
pub use revision::{InvalidRevision, Revision};

/// Hash map with a fast hash function; its iteration order is unspecified.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
