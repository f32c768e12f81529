//! Hands a request to the VM that keeps its target's queue.

use {
    super::{
        Broken, Client, NotRun, Outcome, Outgoing, Way,
        outcome::{ANSWERED, TIMED_OUT},
        send::{Raw, judge, read_load, with_deadline},
    },
    crate::HeaderNames,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    std::{rc::Rc, time::Duration},
};

/// Target that the request is to run on.
pub(crate) const TARGET: HeaderName = HeaderName::from_static("cicadalift-target");
/// Whether the target is the first in the order of the request's object.
pub(crate) const FIRST: HeaderName = HeaderName::from_static("cicadalift-first");
/// Milliseconds since the caller asked first, the way between the VMs included.
pub(crate) const WAITED_MS: HeaderName = HeaderName::from_static("cicadalift-waited-ms");
/// How the exchange with the target ended.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("cicadalift-outcome");
/// Milliseconds after which the target is expected to have room.
pub(crate) const AFTER_MS: HeaderName = HeaderName::from_static("cicadalift-after-ms");
/// Milliseconds that the target took.
pub(crate) const RAN_MS: HeaderName = HeaderName::from_static("cicadalift-ran-ms");

/// Word of an outcome without an exchange: there is no room in time.
pub(crate) const FULL: &str = "full";
/// The same: the other VM does not serve the target.
pub(crate) const UNSERVED: &str = "unserved";

/// Idle connections to other VMs are closed after this time.
const IDLE: Duration = Duration::from_secs(3);

/// What is to be told to the other VM.
pub(crate) struct Errand {
    pub(crate) first: bool,
    pub(crate) waited: Duration,
}

/// What the other VM made of a request.
pub(crate) enum Relayed {
    /// It sent the request to the target.
    Done {
        outcome: Outcome,
        ran: Option<Duration>,
    },
    /// It sees no room in time.
    Full { after: Duration },
    /// It did not take the request.
    Unserved,
    /// It cannot be reached.
    Unreachable,
    /// It did not answer, so that the request may have run.
    Silent(Outcome),
}

impl Client {
    /// Hands a request to another VM and reads the whole answer.
    pub(crate) async fn relay(
        self: &Rc<Self>,
        names: &HeaderNames,
        outgoing: &Outgoing,
        way: &Way<'_>,
        errand: &Errand,
    ) -> Relayed {
        let mut request = with_deadline(names, outgoing, way);
        let headers = request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(way.target) {
            headers.insert(TARGET, id);
        }
        headers.insert(FIRST, HeaderValue::from(u16::from(errand.first)));
        headers.insert(WAITED_MS, HeaderValue::from(millis(errand.waited)));
        let (raw, connection) = match self.transfer(request, way).await {
            Ok(transferred) => transferred,
            Err(Outcome::NotRun { .. }) => return Relayed::Unreachable,
            // The other VM waits for the target until the same moment.
            Err(outcome @ Outcome::TimedOut) => return Relayed::Done { outcome, ran: None },
            Err(outcome) => return Relayed::Silent(outcome),
        };
        self.keep_when_ready(way, connection, IDLE);
        read(names, outgoing, raw)
    }
}

fn read(names: &HeaderNames, outgoing: &Outgoing, mut raw: Raw) -> Relayed {
    let ran = number(&raw.headers, &RAN_MS);
    let after = number(&raw.headers, &AFTER_MS).unwrap_or_default();
    let word = raw.headers.remove(OUTCOME);
    raw.headers.remove(RAN_MS);
    raw.headers.remove(AFTER_MS);
    let word = word.as_ref().and_then(|word| word.to_str().ok());
    let outcome = match word.unwrap_or_default() {
        FULL => return Relayed::Full { after },
        UNSERVED => return Relayed::Unserved,
        ANSWERED => judge(names, outgoing, raw),
        TIMED_OUT => Outcome::TimedOut,
        word => match NotRun::read(word) {
            Some(why) => Outcome::NotRun {
                why,
                report: raw.headers.get(&names.load).and_then(read_load),
            },
            None => Outcome::Broken(Broken::read(word).unwrap_or(Broken::Foreign)),
        },
    };
    Relayed::Done { outcome, ran }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value = headers.get(name)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
