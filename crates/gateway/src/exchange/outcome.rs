//! How an exchange with a target ended.

use {
    balance::LoadReport,
    bytes::Bytes,
    hyper::{HeaderMap, StatusCode},
    std::fmt,
};

/// A whole answer that a target made for this request.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) report: Option<LoadReport>,
}

/// How it is known that the target did not run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No connection was made.
    Unreachable,
    /// The connection ended before a byte was sent.
    Unsent,
    /// The target is full or leaving.
    Shed,
    /// Another target has the address.
    Misdirected,
}

/// Why nothing is known of a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Broken {
    /// The connection ended without an answer.
    Lost,
    /// The answer ended early.
    Cut,
    /// The answer belongs to another request.
    Foreign,
    /// The answer bears no signature.
    Unsigned,
    /// The answer is longer than this VM holds.
    TooLong,
}

/// Word for a whole answer, in logs and between VMs.
pub(super) const ANSWERED: &str = "answered";
/// Word for the end of the time.
pub(super) const TIMED_OUT: &str = "timed-out";

/// The end of an exchange.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The target answered.
    Answered(Box<Response>),
    /// The target did not run the request.
    NotRun {
        why: NotRun,
        report: Option<LoadReport>,
    },
    /// The request may have run.
    Broken(Broken),
    /// The time was up.
    TimedOut,
}

impl Outcome {
    /// No connection to the target was or could be made.
    pub(crate) fn unreachable() -> Self {
        Self::NotRun {
            why: NotRun::Unreachable,
            report: None,
        }
    }

    /// Word for logs and metrics.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Self::Answered(_) => ANSWERED,
            Self::NotRun { why, .. } => why.word(),
            Self::Broken(why) => why.word(),
            Self::TimedOut => TIMED_OUT,
        }
    }
}

impl NotRun {
    const ALL: [Self; 4] = [
        Self::Unreachable,
        Self::Unsent,
        Self::Shed,
        Self::Misdirected,
    ];

    /// The reason that a word stands for.
    pub(super) fn read(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|why| why.word() == word)
    }

    pub(crate) fn word(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
        }
    }

    /// Whether the target saw the request.
    pub(crate) fn arrived(self) -> bool {
        matches!(self, Self::Shed | Self::Misdirected)
    }
}

impl Broken {
    const ALL: [Self; 5] = [
        Self::Lost,
        Self::Cut,
        Self::Foreign,
        Self::Unsigned,
        Self::TooLong,
    ];

    /// The fault that a word stands for.
    pub(super) fn read(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|why| why.word() == word)
    }

    fn word(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Cut => "cut",
            Self::Foreign => "foreign",
            Self::Unsigned => "unsigned",
            Self::TooLong => "too-long",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}
