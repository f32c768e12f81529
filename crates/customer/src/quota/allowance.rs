//! Tokens that a VM got for the requests of customers.

use {
    super::{Grant, LEASE_TIME},
    std::{collections::VecDeque, time::Duration},
    wire::Map,
};

/// Time after which a question without an answer is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// For each question of a request, the rank of the VM that is asked.
const RANKS_ASKED: [usize; 4] = [0, 0, 1, 2];
/// Time for which tokens are asked for ahead of need.
const ASK_AHEAD: Duration = Duration::from_millis(150);
/// Time after which a VM that had no answer asks again, and for which callers are sent away.
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time over which the rate of requests is averaged.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Time after which nothing is known of a customer without requests.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Time for which an answer is accepted, so that a late one is not lost. Its tokens expire then.
const QUERY_LIFETIME: Duration = LEASE_TIME;

/// Why a request gets no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The customer's limit is used up.
    Limited {
        /// Time until there is a token.
        retry_after: Duration,
    },
    /// No VM could tell whether there is a token.
    Unknown {
        /// Time until one may be able to.
        retry_after: Duration,
    },
}

/// A question to a VM that gives out tokens of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// Number of tokens.
    pub wanted: u32,
    /// Rank of the VM that is asked; its owner has rank 0.
    pub rank: usize,
}

/// The right of one request to be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// When the lease that it is from ends.
    expires_at: Duration,
}

/// What a request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It has its token. `ask_ahead` is asked at the same time, for requests to come.
    Admit {
        /// Its token.
        token: Token,
        /// Question for further tokens.
        ask_ahead: Option<Query>,
    },
    /// It is refused.
    Refuse(Refusal),
    /// This is asked, and the request waits.
    Ask(Query),
    /// It waits for an answer, at most so long.
    Wait(Duration),
}

/// The tokens of all customers at a VM. The state is bounded by the customers that were active lately.
#[derive(Debug, Clone, Default)]
pub struct Allowances {
    by_customer: Map<String, Allowance>,
}

impl Allowances {
    /// Records that a request of a customer arrived.
    pub fn record_arrival(&mut self, customer: &str, now: Duration) {
        if let Some(allowance) = self.by_customer.get_mut(customer) {
            allowance.record_arrival(now);
            return;
        }
        let mut allowance = Allowance::default();
        allowance.record_arrival(now);
        self.by_customer.insert(customer.to_owned(), allowance);
    }

    /// Decides what a request of a customer does next. `waiting` requests of it wait, this one
    /// included.
    pub fn next_step(&mut self, customer: &str, waiting: u32, now: Duration) -> Step {
        let allowance = self.by_customer.entry(customer.to_owned()).or_default();
        allowance.next_step(waiting, now)
    }

    /// Records that a question was sent, under a number that no other has.
    pub fn record_query(&mut self, customer: &str, number: u64, query: Query, now: Duration) {
        let allowance = self.by_customer.entry(customer.to_owned()).or_default();
        let rank = query.rank;
        let at = now;
        allowance.queries.push_back(Asked { number, rank, at });
    }

    /// Takes the answer to a question. An answer that is not expected, or no longer, is dropped.
    pub fn record_grant(&mut self, customer: &str, number: u64, grant: Grant, now: Duration) {
        if let Some(allowance) = self.by_customer.get_mut(customer) {
            allowance.record_grant(number, grant, now);
        }
    }

    /// Takes back the token of a request that was sent to no target. It serves another one until its lease
    /// ends.
    pub fn give_back(&mut self, customer: &str, token: Token, now: Duration) {
        if token.expires_at <= now {
            return;
        }
        if let Some(allowance) = self.by_customer.get_mut(customer) {
            allowance.leases.push_front((token.expires_at, 1));
        }
    }

    /// Forgets the customers that made no requests lately.
    pub fn expire(&mut self, now: Duration) {
        let is_idle = |allowance: &Allowance| now.saturating_sub(allowance.arrived_at) >= IDLE_TIME;
        self.by_customer.retain(|_, allowance| !is_idle(allowance));
    }

    /// Returns the number of customers of which there is state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_customer.len()
    }

    /// Returns whether there is no state of any customer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_customer.is_empty()
    }
}

/// A question that was sent.
#[derive(Debug, Clone, Copy)]
struct Asked {
    number: u64,
    rank: usize,
    at: Duration,
}

/// Tokens of one customer.
#[derive(Debug, Clone, Default)]
struct Allowance {
    /// Tokens, each with the end of its lease.
    leases: VecDeque<(Duration, u32)>,
    /// The questions that may still be answered.
    queries: VecDeque<Asked>,
    /// Number of questions since the last answer, those to higher ranks that were passed over included.
    unanswered: usize,
    /// Until when requests are refused, and whether the customer's limit is the reason.
    refused: Option<(Duration, bool)>,
    /// Number of requests, which decays with [`RATE_TIME`].
    recent: f64,
    arrived_at: Duration,
}

impl Allowance {
    fn record_arrival(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.arrived_at).as_secs_f64();
        self.recent = self.recent * (-elapsed / RATE_TIME.as_secs_f64()).exp() + 1.0;
        self.arrived_at = now;
    }

    fn next_step(&mut self, waiting: u32, now: Duration) -> Step {
        self.leases.retain(|(expires_at, _)| now < *expires_at);
        if let Some(token) = self.spend() {
            let ask_ahead = self.ask_ahead(waiting, now);
            return Step::Admit { token, ask_ahead };
        }
        if let Some(refusal) = self.refusal(now) {
            return Step::Refuse(refusal);
        }
        if let Some(wait) = self.time_until_timeout(now) {
            return Step::Wait(wait);
        }
        let Some(rank) = RANKS_ASKED.get(self.unanswered).copied() else {
            self.unanswered = 0;
            self.refused = Some((now + NO_ANSWER_RETRY_AFTER, false));
            return Step::Refuse(Refusal::Unknown {
                retry_after: NO_ANSWER_RETRY_AFTER,
            });
        };
        self.unanswered += 1;
        Step::Ask(Query {
            wanted: self.expected().max(waiting).max(1),
            rank,
        })
    }

    fn record_grant(&mut self, number: u64, grant: Grant, now: Duration) {
        let Some(index) = self.queries.iter().position(|query| query.number == number) else {
            return;
        };
        let Some(query) = self.queries.remove(index) else {
            return;
        };
        self.unanswered = 0;
        if grant.tokens > 0 {
            let expires_at = query.at + LEASE_TIME;
            self.leases.push_back((expires_at, grant.tokens));
        } else if !grant.is_limited
            && let Some(next) = RANKS_ASKED.iter().position(|rank| *rank > query.rank)
        {
            // That VM does not know what there is. Another one may.
            self.unanswered = next;
            return;
        }
        self.refused =
            (!grant.retry_after.is_zero()).then_some((now + grant.retry_after, grant.is_limited));
    }

    fn spend(&mut self) -> Option<Token> {
        let (expires_at, tokens) = self.leases.front_mut()?;
        let token = Token {
            expires_at: *expires_at,
        };
        *tokens -= 1;
        if *tokens == 0 {
            self.leases.pop_front();
        }
        Some(token)
    }

    /// Asks for further tokens if several requests are expected within [`ASK_AHEAD`], and at most
    /// half of the tokens for them are left.
    fn ask_ahead(&mut self, waiting: u32, now: Duration) -> Option<Query> {
        let expected = self.expected();
        let held: u32 = self.leases.iter().map(|(_, tokens)| tokens).sum();
        let is_refused = self.refused.is_some_and(|(until, _)| now < until);
        if expected < 2 || 2 * held > expected || is_refused {
            return None;
        }
        if self.time_until_timeout(now).is_some() || self.unanswered > 0 {
            return None;
        }
        self.unanswered = 1;
        Some(Query {
            wanted: (expected + waiting).saturating_sub(held),
            rank: RANKS_ASKED[0],
        })
    }

    fn refusal(&self, now: Duration) -> Option<Refusal> {
        let (until, is_limited) = self.refused.filter(|(until, _)| now < *until)?;
        let retry_after = until.saturating_sub(now);
        Some(if is_limited {
            Refusal::Limited { retry_after }
        } else {
            Refusal::Unknown { retry_after }
        })
    }

    /// Returns how much longer the last question is given for its answer, if it is.
    fn time_until_timeout(&mut self, now: Duration) -> Option<Duration> {
        self.queries
            .retain(|query| now.saturating_sub(query.at) < QUERY_LIFETIME);
        let timeout_at = self.queries.back()?.at + ANSWER_TIMEOUT;
        let is_awaited = self.unanswered > 0 && now < timeout_at;
        is_awaited.then(|| timeout_at.saturating_sub(now))
    }

    /// Returns the number of requests that are expected while tokens are asked for ahead, rounded
    /// down: a token that is not spent counts against the customer all the same.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are not negative; huge ones saturate"
    )]
    fn expected(&self) -> u32 {
        (self.recent / RATE_TIME.as_secs_f64() * ASK_AHEAD.as_secs_f64()) as u32
    }
}
