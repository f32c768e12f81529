//! The ledgers of all customers for which a VM gives out tokens.

use {
    super::{Entitlement, Grant, Handover, Ledger, Rule, Stance, Usage, ledger::Shares},
    std::time::Duration,
    wire::Map,
};

/// A VM that did nothing for longer than this may have been replaced meanwhile.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);
/// Time after which a larger share of the limits is given out. VMs that gave out the rest have then
/// noticed that they no longer own the customers.
const RAISE_DELAY: Duration = Duration::from_secs(2);
/// Time without a change of the live VMs, beyond the lifetime of a token, after which no other VM can
/// have given out tokens that still count.
const QUIET_MARGIN: Duration = Duration::from_secs(3);

/// Time for which a VM passes on questions about a customer that another VM took over. All VMs have then
/// noticed that one.
const FORWARD_TIME: Duration = Duration::from_secs(2);

/// The VMs as one of them sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Differs if other VMs are alive.
    pub generation: u64,
    /// Number of VMs that are alive, this one included.
    pub alive: usize,
    /// Number of VMs that did not leave by themselves, this one included; `None` while this VM has not
    /// heard which ones there are.
    pub known: Option<usize>,
}

impl Fleet {
    /// Returns the part of all limits that the owners among the live VMs may give out, so that
    /// those of all parts of a partition together give out no more than the limits.
    ///
    /// Customers mostly use less than their limit, and callers move to the larger part. So a small part
    /// gives out less than in proportion to its VMs, and a large one more.
    #[allow(
        clippy::cast_precision_loss,
        reason = "there are far fewer than 2^52 VMs"
    )]
    fn share(self) -> f64 {
        let Some(known) = self.known else {
            return 0.0;
        };
        let present = self.alive.min(known) as f64 / known.max(1) as f64;
        if present <= 0.5 {
            2.0 * present * present
        } else {
            let absent = 1.0 - present;
            1.0 - 2.0 * absent * absent
        }
    }
}

/// Gives out the tokens of customers. The state is bounded by the customers that were active lately.
#[derive(Debug)]
pub struct Grantor {
    ledgers: Map<String, Ledger>,
    /// By customer, what another VM took over.
    released: Map<String, Release>,
    /// Part of the limits that may be given out; it falls at once and rises after [`RAISE_DELAY`].
    share: f64,
    /// Part of the limits by the VMs that are alive at this moment.
    current_share: f64,
    /// A larger share, and since when it could be given out.
    raised: Option<(f64, Duration)>,
    generation: Option<u64>,
    /// When the live VMs last changed, or this VM started or was paused.
    changed_at: Duration,
    stepped_at: Duration,
}

/// What another VM took over.
#[derive(Debug)]
struct Release {
    to: String,
    at: Duration,
    ledger: Option<Ledger>,
    /// Whether this VM has noticed the other one.
    is_noticed: bool,
}

impl Grantor {
    /// Creates the state of a VM that has just started.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            ledgers: Map::default(),
            released: Map::default(),
            share: 0.0,
            current_share: 0.0,
            raised: None,
            generation: None,
            changed_at: now,
            stepped_at: now,
        }
    }

    /// Takes note of the time and of the VMs. Called before each grant and at an interval, shorter than
    /// one second. `is_owner` tells whether this VM owns a customer.
    pub fn observe(
        &mut self,
        fleet: Fleet,
        rule: &Rule,
        is_owner: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        let was_paused = now.saturating_sub(self.stepped_at) > PAUSE_THRESHOLD;
        self.stepped_at = self.stepped_at.max(now);
        self.current_share = fleet.share();
        self.observe_share(self.current_share, now);
        if was_paused {
            self.changed_at = now;
            for ledger in self.ledgers.values_mut() {
                ledger.restart(now);
            }
        }
        if self.generation != Some(fleet.generation) {
            self.generation = Some(fleet.generation);
            self.changed_at = now;
            for (customer, ledger) in &mut self.ledgers {
                ledger.set_owner(is_owner(customer), now);
            }
            self.restore_released(is_owner, now);
        }
        self.ledgers.retain(|_, ledger| !ledger.is_idle(rule, now));
        let is_over = |release: &Release| now.saturating_sub(release.at) >= FORWARD_TIME;
        self.released.retain(|_, release| !is_over(release));
    }

    /// Decides what to do with a question for tokens of a customer. Called after
    /// [`Grantor::observe`].
    pub fn stance(
        &mut self,
        customer: &str,
        entitlement: Entitlement,
        rule: &Rule,
        is_owner: bool,
        now: Duration,
    ) -> Stance {
        if let Some(release) = self.released.get(customer) {
            let to = release.to.clone();
            return Stance::Forward { to };
        }
        let ledger = self.ledger(customer, entitlement, rule, is_owner, now);
        ledger.stance(now)
    }

    /// Records that there is no VM that a claim could be sent to.
    pub fn give_up_claim(&mut self, customer: &str) {
        if let Some(ledger) = self.ledgers.get_mut(customer) {
            ledger.give_up_claim();
        }
    }

    /// Gives a customer to the VM that owns it now. Gives out no tokens of it from then on, and tells the
    /// same again if it is asked again. `is_owner` tells whether this VM still counts itself as the owner.
    pub fn hand_over(
        &mut self,
        customer: &str,
        to: &str,
        rule: &Rule,
        is_owner: bool,
        now: Duration,
    ) -> Handover {
        let was_released = self.released.contains_key(customer);
        let ledger = match self.released.remove(customer) {
            Some(release) => release.ledger,
            None => self.ledgers.remove(customer),
        };
        let Some(mut ledger) = ledger else {
            if is_owner || was_released {
                self.release(customer, to, None, now);
            }
            return Handover::default();
        };
        let handover = ledger.handover(rule, now);
        self.release(customer, to, Some(ledger), now);
        handover
    }

    /// Returns the customers that this VM gave tokens of lately as their owner.
    #[must_use]
    pub fn owned_customers(&self) -> Vec<String> {
        let ledgers = self.ledgers.iter();
        let owned = ledgers.filter(|(_, ledger)| ledger.is_owner());
        owned.map(|(customer, _)| customer.clone()).collect()
    }

    /// Takes note of what the owner before gave out.
    pub fn take_over(
        &mut self,
        customer: &str,
        entitlement: Entitlement,
        handover: &Handover,
        rule: &Rule,
        now: Duration,
    ) {
        self.released.remove(customer);
        let ledger = self.ledger(customer, entitlement, rule, false, now);
        ledger.take_over(handover, rule, now);
    }

    /// Takes customers back whose new owner was noticed, and then was lost.
    fn restore_released(&mut self, is_owner: impl Fn(&str) -> bool, now: Duration) {
        let mut restored = Vec::new();
        for (customer, release) in &mut self.released {
            let is_owner = is_owner(customer);
            if is_owner && release.is_noticed {
                restored.push(customer.clone());
            }
            release.is_noticed |= !is_owner;
        }
        for customer in restored {
            let release = self.released.remove(&customer);
            if let Some(mut ledger) = release.and_then(|release| release.ledger) {
                ledger.restart(now);
                self.ledgers.insert(customer, ledger);
            }
        }
    }

    fn release(&mut self, customer: &str, to: &str, ledger: Option<Ledger>, now: Duration) {
        let release = Release {
            to: to.to_owned(),
            at: now,
            ledger,
            is_noticed: false,
        };
        self.released.insert(customer.to_owned(), release);
    }

    /// Gives out up to `wanted` tokens of a customer.
    pub fn grant(
        &mut self,
        customer: &str,
        entitlement: Entitlement,
        wanted: u32,
        rule: &Rule,
        is_owner: bool,
        now: Duration,
    ) -> Grant {
        let shares = Shares {
            settled: self.share,
            current: self.current_share,
        };
        let ledger = self.ledger(customer, entitlement, rule, is_owner, now);
        ledger.set_entitlement(entitlement);
        ledger.grant(wanted, rule, shares, now)
    }

    /// Returns the use of each customer that this VM gave tokens of lately.
    pub fn usages(&mut self, rule: &Rule, now: Duration) -> Vec<(&str, Usage)> {
        let share = self.share;
        let ledgers = self.ledgers.iter_mut();
        let usages = ledgers.map(|(name, ledger)| (name.as_str(), ledger.usage(rule, share, now)));
        usages.collect()
    }

    /// Returns the number of customers of which there is state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ledgers.len() + self.released.len()
    }

    /// Returns whether there is no state of any customer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the part of the limits that this VM gives out.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    fn ledger(
        &mut self,
        customer: &str,
        entitlement: Entitlement,
        rule: &Rule,
        is_owner: bool,
        now: Duration,
    ) -> &mut Ledger {
        if !self.ledgers.contains_key(customer) {
            let quiet_time = now.saturating_sub(self.changed_at);
            let mut ledger = Ledger::new(entitlement, rule, self.share, now);
            ledger.set_owner(is_owner, self.changed_at);
            if is_owner && quiet_time > rule.token_lifetime() + QUIET_MARGIN {
                ledger.fill();
            }
            self.ledgers.insert(customer.to_owned(), ledger);
        }
        let ledger = self.ledgers.get_mut(customer);
        ledger.expect("the ledger was inserted above")
    }

    /// Lowers the share at once, and raises it after [`RAISE_DELAY`].
    fn observe_share(&mut self, share: f64, now: Duration) {
        if share <= self.share {
            self.share = share;
            self.raised = None;
            return;
        }
        let (lowest, since) = self.raised.unwrap_or((share, now));
        let lowest = lowest.min(share);
        if now.saturating_sub(since) >= RAISE_DELAY {
            self.share = lowest;
            self.raised = None;
        } else {
            self.raised = Some((lowest, since));
        }
    }
}
