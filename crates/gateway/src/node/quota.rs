//! Admission of requests by the quotas of their customers. The decisions are those of
//! [`customer::quota`].

use {
    super::Node,
    crate::peers,
    customer::{
        Customer,
        quota::{
            Allowances, Entitlement, Fleet, Grant, Grantor, Handover, LEASE_TIME, Query, Refusal,
            Stance, Step, Token, rank_grantors,
        },
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
    wire::{Map, Member},
};

/// Interval at which the state of customers is brought up to date.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of questions of one customer that are passed on at a time, should VMs pass them on in a circle.
const MAX_FORWARDED: usize = 64;
/// Time after which a VM asks again whose question could not be passed on.
const NOT_FORWARDED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Number of customers whose refusals are counted by name; the others are counted together.
const MAX_COUNTED: usize = 100;

/// Tokens that this VM gives out, and those that it got for its own requests.
pub(crate) struct Quotas {
    grantor: RefCell<Grantor>,
    allowances: RefCell<Allowances>,
    /// By customer, the number of requests that wait for a token.
    waiting: RefCell<Map<String, u32>>,
    /// Wakes them, and questions that wait for a handover, when an answer arrives.
    answered: Notify,
    /// By its number, a question that was passed on to the VM that took the customer over.
    forwarded: RefCell<Map<u64, Forwarded>>,
    /// Number of the next question.
    next_number: Cell<u64>,
    /// Customers whose refusals are counted by name.
    counted: RefCell<BTreeSet<String>>,
    /// The fleet for one generation of the member view.
    pub(super) fleet: Cell<Option<(u64, Fleet)>>,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            grantor: RefCell::new(Grantor::new(Duration::ZERO)),
            allowances: RefCell::default(),
            waiting: RefCell::default(),
            answered: Notify::new(),
            forwarded: RefCell::default(),
            next_number: Cell::new(0),
            counted: RefCell::default(),
            fleet: Cell::default(),
        }
    }
}

/// A question that was passed on, and the VM that asked it first.
pub(crate) struct Forwarded {
    customer: String,
    pub(crate) asked_by: SocketAddr,
    /// Number that that VM gave it.
    pub(crate) number: u64,
    sent_at: Duration,
}

/// What this VM does with a question for tokens.
pub(crate) enum Reaction {
    Grant(Grant),
    /// It passes the question on to this VM.
    Forward(SocketAddr),
}

/// The VM that is asked for tokens.
enum Destination {
    /// This VM itself.
    Local,
    Remote(SocketAddr),
}

/// Counts a request as one that waits for a token until it is dropped.
struct Waiting<'a> {
    node: &'a Node,
    customer: &'a str,
}

impl<'a> Waiting<'a> {
    fn new(node: &'a Node, customer: &'a str) -> Self {
        let mut waiting = node.quotas.waiting.borrow_mut();
        *waiting.entry(customer.to_owned()).or_default() += 1;
        Self { node, customer }
    }

    fn count(&self) -> u32 {
        let waiting = self.node.quotas.waiting.borrow();
        waiting.get(self.customer).copied().unwrap_or_default()
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut waiting = self.node.quotas.waiting.borrow_mut();
        if let Some(count) = waiting.get_mut(self.customer) {
            *count -= 1;
            if *count == 0 {
                waiting.remove(self.customer);
            }
        }
    }
}

impl Node {
    /// Takes a token for a request of a customer, and asks for some if there is none. A customer
    /// without a rate limit needs none.
    ///
    /// # Errors
    /// The [`Refusal`] if there is no token.
    pub(crate) async fn admit_customer(
        self: &Rc<Self>,
        customer: &Customer,
    ) -> Result<Option<Token>, Refusal> {
        let Some(limit) = customer.quota() else {
            return Ok(None);
        };
        let entitlement = Entitlement {
            limit,
            version: self.route_table().version(),
        };
        let name = customer.name.as_str();
        let arrived_at = self.now();
        self.quotas
            .allowances
            .borrow_mut()
            .record_arrival(name, arrived_at);
        let waiting = Waiting::new(self, name);
        loop {
            // Created first, so that no answer is missed.
            let answered = self.quotas.answered.notified();
            let step =
                self.quotas
                    .allowances
                    .borrow_mut()
                    .next_step(name, waiting.count(), self.now());
            match step {
                Step::Admit { token, ask_ahead } => {
                    if let Some(query) = ask_ahead {
                        self.ask_for_tokens(name, entitlement, query);
                    }
                    self.record_wait(arrived_at);
                    return Ok(Some(token));
                }
                Step::Refuse(refusal) => return Err(refusal),
                Step::Ask(query) => self.ask_for_tokens(name, entitlement, query),
                Step::Wait(wait) => {
                    let _ = tokio::time::timeout(wait, answered).await;
                }
            }
        }
    }

    /// Takes back the token of a request that no target ran.
    pub(crate) fn give_back_token(&self, customer: &str, token: Token) {
        let now = self.now();
        let mut allowances = self.quotas.allowances.borrow_mut();
        allowances.give_back(customer, token, now);
        metrics::counter!("cicadalift_quota_tokens_returned_total").increment(1);
    }

    /// Counts a request that was refused for the quota of its customer.
    pub(crate) fn count_quota_refusal(&self, customer: &str, reason: &'static str) {
        metrics::counter!("cicadalift_quota_refusals_total", "reason" => reason).increment(1);
        let mut counted = self.quotas.counted.borrow_mut();
        if counted.len() < MAX_COUNTED {
            counted.insert(customer.to_owned());
        }
        let label = if counted.contains(customer) {
            customer
        } else {
            "others"
        };
        metrics::counter!("cicadalift_quota_customer_refusals_total", "customer" => label.to_owned())
            .increment(1);
    }

    /// Decides what to do with a question of another VM: one that this VM has no tokens for and is not the
    /// owner of, by the VMs that it sees, goes to the owner, unless it came from there.
    pub(crate) fn pass_on(
        &self,
        customer: &str,
        reaction: Reaction,
        asked_by: SocketAddr,
    ) -> Reaction {
        let reaction = match reaction {
            Reaction::Grant(grant) if grant.tokens == 0 && !grant.is_limited => {
                match self.destination(customer, 0) {
                    Some(Destination::Remote(owner)) => Reaction::Forward(owner),
                    Some(Destination::Local) | None => reaction,
                }
            }
            Reaction::Grant(_) | Reaction::Forward(_) => reaction,
        };
        match reaction {
            Reaction::Forward(to) if to == asked_by || !self.can_forward(customer) => {
                Reaction::Grant(Grant {
                    retry_after: NOT_FORWARDED_RETRY_AFTER,
                    ..Grant::default()
                })
            }
            Reaction::Grant(_) | Reaction::Forward(_) => reaction,
        }
    }

    fn can_forward(&self, customer: &str) -> bool {
        let forwarded = self.quotas.forwarded.borrow();
        let of_customer = forwarded.values().filter(|f| f.customer == customer);
        of_customer.count() < MAX_FORWARDED
    }

    /// Decides what to do with a question for tokens as soon as that is known.
    pub(crate) async fn react(
        self: &Rc<Self>,
        customer: &str,
        entitlement: Entitlement,
        wanted: u32,
    ) -> Reaction {
        loop {
            // Created first, so that no handover is missed.
            let answered = self.quotas.answered.notified();
            match self.react_at_once(customer, entitlement, wanted) {
                Ok(reaction) => return reaction,
                Err(wait) => {
                    let _ = tokio::time::timeout(wait, answered).await;
                }
            }
        }
    }

    /// Decides what to do with a question for tokens, or returns how long to wait for the handover of
    /// the customer at most.
    pub(crate) fn react_at_once(
        self: &Rc<Self>,
        customer: &str,
        entitlement: Entitlement,
        wanted: u32,
    ) -> Result<Reaction, Duration> {
        self.observe_fleet();
        let entitlement = self.newest_entitlement(customer, entitlement);
        let is_owner = self.owns_customer(customer);
        loop {
            let stance = self.quotas.grantor.borrow_mut().stance(
                customer,
                entitlement,
                &self.bounds().quota,
                is_owner,
                self.now(),
            );
            match stance {
                Stance::Claim => self.claim_customer(customer),
                Stance::Wait(wait) => return Err(wait),
                Stance::Forward { to } => {
                    if let Ok(successor) = to.parse() {
                        return Ok(Reaction::Forward(successor));
                    }
                    break;
                }
                Stance::Grant => break,
            }
        }
        let grant = self.grant_tokens(customer, entitlement, wanted, is_owner);
        Ok(Reaction::Grant(grant))
    }

    /// Passes a question of another VM on to the VM that took the customer over.
    pub(crate) fn forward_query(
        self: &Rc<Self>,
        successor: SocketAddr,
        (asked_by, number): (SocketAddr, u64),
        customer: &str,
        entitlement: Entitlement,
        wanted: u32,
    ) {
        let own_number = self.next_query_number();
        let forwarded = Forwarded {
            customer: customer.to_owned(),
            asked_by,
            number,
            sent_at: self.now(),
        };
        self.quotas
            .forwarded
            .borrow_mut()
            .insert(own_number, forwarded);
        peers::send_query(self, successor, own_number, customer, entitlement, wanted);
    }

    /// Returns the question of another VM that was passed on under this number, and forgets it.
    pub(crate) fn take_forwarded(&self, number: u64) -> Option<Forwarded> {
        self.quotas.forwarded.borrow_mut().remove(&number)
    }

    /// Gives a customer to the VM that owns it now.
    pub(crate) fn hand_over_customer(&self, customer: &str, to: SocketAddr) -> Handover {
        self.observe_fleet();
        log::info!(event = "customer_handed_over", customer = customer, to:% = to; "another VM owns the customer's quota now");
        metrics::counter!("cicadalift_quota_handovers_total").increment(1);
        self.quotas.grantor.borrow_mut().hand_over(
            customer,
            &to.to_string(),
            &self.bounds().quota,
            self.owns_customer(customer),
            self.now(),
        )
    }

    /// Returns the customers that this VM owns, with the VM that owns each of them once this one has left.
    pub(crate) fn successors(&self) -> Vec<(String, SocketAddr)> {
        let owned = self.quotas.grantor.borrow().owned_customers();
        let successor = |customer: String| match self.destination(&customer, 0) {
            Some(Destination::Remote(address)) => Some((customer, address)),
            Some(Destination::Local) | None => None,
        };
        owned.into_iter().filter_map(successor).collect()
    }

    /// Takes note of what the owner before gave out of a customer.
    pub(crate) fn take_customer_over(&self, customer: &str, handover: &Handover) {
        let registry = self.customers();
        let known = registry
            .as_ref()
            .and_then(|registry| registry.find(customer));
        let Some(limit) = known.and_then(|customer| customer.quota()) else {
            return;
        };
        let entitlement = Entitlement {
            limit,
            version: self.route_table().version(),
        };
        let rule = self.bounds().quota;
        let now = self.now();
        let mut grantor = self.quotas.grantor.borrow_mut();
        grantor.take_over(customer, entitlement, handover, &rule, now);
        self.quotas.answered.notify_waiters();
    }

    /// Asks the next VM in rank, which was the owner before this one came, what it gave out.
    fn claim_customer(self: &Rc<Self>, customer: &str) {
        match self.destination(customer, 1) {
            Some(Destination::Remote(address)) => peers::send_claim(self, address, customer),
            Some(Destination::Local) | None => {
                self.quotas.grantor.borrow_mut().give_up_claim(customer);
            }
        }
    }

    /// Gives out tokens of a customer.
    fn grant_tokens(
        &self,
        customer: &str,
        entitlement: Entitlement,
        wanted: u32,
        is_owner: bool,
    ) -> Grant {
        let grant = self.quotas.grantor.borrow_mut().grant(
            customer,
            entitlement,
            wanted,
            &self.bounds().quota,
            is_owner,
            self.now(),
        );
        metrics::counter!("cicadalift_quota_tokens_total").increment(u64::from(grant.tokens));
        if grant.tokens < wanted {
            let reason = if grant.is_limited {
                "limit"
            } else {
                "unsettled"
            };
            metrics::counter!("cicadalift_quota_tokens_denied_total", "reason" => reason)
                .increment(u64::from(wanted - grant.tokens));
        }
        grant
    }

    /// Returns the limit of the newer configuration: that of this VM, or that of the VM that asks.
    fn newest_entitlement(&self, customer: &str, asked: Entitlement) -> Entitlement {
        let version = self.route_table().version();
        if version <= asked.version {
            return asked;
        }
        let registry = self.customers();
        let known = registry
            .as_ref()
            .and_then(|registry| registry.find(customer));
        let limit = known.and_then(|customer| customer.quota());
        limit.map_or(asked, |limit| Entitlement { limit, version })
    }

    /// Takes the answer to a question and wakes the requests that wait.
    pub(crate) fn record_grant(&self, customer: &str, number: u64, grant: Grant) {
        let now = self.now();
        self.quotas
            .allowances
            .borrow_mut()
            .record_grant(customer, number, grant, now);
        self.quotas.answered.notify_waiters();
    }

    /// Writes the customers of which this VM gave out tokens, with their limit and use.
    pub(crate) fn dump_quotas(&self, out: &mut String) {
        use std::fmt::Write as _;
        let mut grantor = self.quotas.grantor.borrow_mut();
        let share = grantor.share();
        for (customer, usage) in grantor.usages(&self.bounds().quota, self.now()) {
            let role = if usage.is_settled {
                "owned here"
            } else {
                "new here"
            };
            // Writing to a String cannot fail, so the result is ignored.
            let _ = writeln!(
                out,
                "customer {customer} {role} used {} of {:.0} in the window, share {share:.2}",
                usage.granted, usage.limit
            );
        }
    }

    fn ask_for_tokens(self: &Rc<Self>, customer: &str, entitlement: Entitlement, query: Query) {
        let number = self.next_query_number();
        let now = self.now();
        self.quotas
            .allowances
            .borrow_mut()
            .record_query(customer, number, query, now);
        match self.destination(customer, query.rank) {
            Some(Destination::Local) => {
                self.ask_itself(customer, entitlement, query.wanted, number);
            }
            Some(Destination::Remote(address)) => {
                metrics::counter!("cicadalift_quota_queries_total").increment(1);
                if query.rank > 0 {
                    log::info!(event = "quota_owner_silent", customer = customer, rank = query.rank; "no answer for tokens of the customer, or none from one that knows; asking the next VM in rank");
                }
                peers::send_query(self, address, number, customer, entitlement, query.wanted);
            }
            None => {}
        }
    }

    /// Answers a question of this VM's own requests.
    fn ask_itself(
        self: &Rc<Self>,
        customer: &str,
        entitlement: Entitlement,
        wanted: u32,
        number: u64,
    ) {
        let conclude = move |node: &Rc<Self>, customer: &str, reaction| match reaction {
            Reaction::Grant(grant) => node.record_grant(customer, number, grant),
            Reaction::Forward(successor) => {
                peers::send_query(node, successor, number, customer, entitlement, wanted);
            }
        };
        if let Ok(reaction) = self.react_at_once(customer, entitlement, wanted) {
            conclude(self, customer, reaction);
            return;
        }
        let node = self.clone();
        let customer = customer.to_owned();
        tokio::task::spawn_local(async move {
            let reaction = node.react(&customer, entitlement, wanted).await;
            conclude(&node, &customer, reaction);
        });
    }

    fn next_query_number(&self) -> u64 {
        let number = self.quotas.next_number.get();
        self.quotas.next_number.set(number + 1);
        number
    }

    /// Forgets the questions that were passed on and got no answer in time.
    fn expire_forwarded(&self) {
        let now = self.now();
        let is_late = |sent_at| now.saturating_sub(sent_at) >= LEASE_TIME;
        let mut forwarded = self.quotas.forwarded.borrow_mut();
        forwarded.retain(|_, question| !is_late(question.sent_at));
    }

    /// Returns the VM that is asked for tokens of a customer.
    fn destination(&self, customer: &str, rank: usize) -> Option<Destination> {
        let view = self.member_view();
        let members = view.serving_members().into_iter();
        let ranked = rank_grantors(customer, members.filter(|m| view.is_alive(&m.name)));
        let member: &Member = ranked.get(rank)?;
        if member.name == self.settings.name {
            return Some(Destination::Local);
        }
        peers::peer_address(member).map(Destination::Remote)
    }

    fn owns_customer(&self, customer: &str) -> bool {
        matches!(self.destination(customer, 0), Some(Destination::Local))
    }

    /// Tells the grantor of the time and of the VMs that are alive.
    fn observe_fleet(&self) {
        let fleet = self.fleet();
        let rule = self.bounds().quota;
        let is_owner = |customer: &str| self.owns_customer(customer);
        let mut grantor = self.quotas.grantor.borrow_mut();
        grantor.observe(fleet, &rule, is_owner, self.now());
    }

    fn record_wait(&self, arrived_at: Duration) {
        let waited = self.now().saturating_sub(arrived_at);
        metrics::histogram!("cicadalift_quota_wait_seconds").record(waited.as_secs_f64());
    }
}

/// Brings the state of customers up to date at an interval, until the process ends.
pub(crate) async fn maintain_quotas(node: Rc<Node>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        node.observe_fleet();
        node.expire_forwarded();
        let mut allowances = node.quotas.allowances.borrow_mut();
        allowances.expire(node.now());
        let grantor = node.quotas.grantor.borrow();
        metrics::gauge!("cicadalift_quota_share").set(grantor.share());
        node.report_shares();
    }
}
