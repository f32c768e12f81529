//! The customers of a configuration by their keys and names.
//!
//! Every request on a route that is not public asks for its key here, also those of callers who send
//! many times their usual load, so that the cost must not depend on the number of customers.

use {
    crate::{Customer, Fault, Listing, Refusal, Row},
    std::{collections::hash_map::Entry, fmt, sync::Arc},
    wire::Map,
};

/// Length of the longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// What is known of a key.
#[derive(Clone)]
enum Holder {
    Customer(Arc<Customer>),
    /// Several customers hold it, or the row of the one that does cannot be used.
    Unclear,
}

/// A customer whose requests are refused, all or some, until the configuration changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultyRow {
    /// Name of the customer; empty if it cannot be read.
    pub name: String,
    /// What is wrong.
    pub fault: Fault,
}

/// All customers. Its debug output shows no keys.
#[derive(Clone, Default)]
pub struct Registry {
    holders: Map<String, Holder>,
    customers: Map<String, Arc<Customer>>,
    faults: Vec<FaultyRow>,
    is_list_unreadable: bool,
    largest_rate: f64,
}

impl Registry {
    /// Checks the rows of a list and indexes them. A row that cannot be used affects no other.
    #[must_use]
    pub fn new(listing: Listing) -> Self {
        let mut registry = Self::default();
        match listing.rows {
            Ok(rows) => registry.add_rows(rows),
            Err(fault) => {
                registry.is_list_unreadable = true;
                registry.add_fault("", fault);
            }
        }
        registry
    }

    fn add_rows(&mut self, rows: Vec<Row>) {
        let mut name_counts: Map<String, usize> = Map::default();
        for row in &rows {
            *name_counts.entry(row.name.clone()).or_default() += 1;
        }
        for row in rows {
            let is_duplicate = name_counts.get(&row.name).is_some_and(|count| *count > 1);
            self.add_row(row, is_duplicate);
        }
    }

    fn add_row(&mut self, row: Row, is_duplicate: bool) {
        let checked = if is_duplicate {
            Err(Fault::DuplicateName)
        } else {
            check_row(&row)
        };
        let holder = match checked {
            Ok(customer) => {
                let rate = customer.quota().map_or(0.0, |limit| limit.requests_per_s);
                self.largest_rate = self.largest_rate.max(rate);
                let customer = Arc::new(customer);
                self.customers.insert(row.name.clone(), customer.clone());
                Holder::Customer(customer)
            }
            Err(fault) => {
                self.add_fault(&row.name, fault);
                Holder::Unclear
            }
        };
        for key in row.keys {
            self.add_key(key, &holder, &row.name);
        }
    }

    fn add_key(&mut self, key: String, holder: &Holder, name: &str) {
        let other = match self.holders.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(holder.clone());
                return;
            }
            Entry::Occupied(mut entry) => match (entry.get(), holder) {
                (Holder::Customer(known), Holder::Customer(added)) if known.name == added.name => {
                    return;
                }
                _ => entry.insert(Holder::Unclear),
            },
        };
        if let Holder::Customer(other) = other {
            self.add_fault(&other.name, Fault::SharedKey);
        }
        self.add_fault(name, Fault::SharedKey);
    }

    fn add_fault(&mut self, name: &str, fault: Fault) {
        let fault = FaultyRow {
            name: name.to_owned(),
            fault,
        };
        if !self.faults.contains(&fault) {
            self.faults.push(fault);
        }
    }

    /// Returns the highest rate limit of all customers, in requests per second; zero if there is none.
    #[must_use]
    pub fn largest_rate(&self) -> f64 {
        self.largest_rate
    }

    /// Returns the customer who holds the key among the values of the key header.
    ///
    /// # Errors
    /// A [`Refusal`] unless there is exactly one key and one customer who holds it.
    pub fn identify<'k>(
        &self,
        keys: impl IntoIterator<Item = &'k [u8]>,
    ) -> Result<&Arc<Customer>, Refusal> {
        if self.is_list_unreadable {
            return Err(Refusal::Unclear);
        }
        let mut keys = keys.into_iter();
        let key = keys.next().ok_or(Refusal::Missing)?;
        if keys.next().is_some() {
            return Err(Refusal::Repeated);
        }
        let text = str::from_utf8(key).map_err(|_| Refusal::Malformed)?;
        match self.holders.get(text) {
            Some(Holder::Customer(customer)) => Ok(customer),
            Some(Holder::Unclear) if !text.is_empty() => Err(Refusal::Unclear),
            _ if is_valid_key(text) => Err(Refusal::Unknown),
            _ => Err(Refusal::Malformed),
        }
    }

    /// Returns the customer with a name, as another VM states it.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.get(name)
    }

    /// Returns the customers whose requests can be served, in no particular order.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.customers.values()
    }

    /// Returns the number of customers whose requests can be served.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether no customer's requests can be served.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns what is wrong with the list.
    #[must_use]
    pub fn faults(&self) -> &[FaultyRow] {
        &self.faults
    }
}

impl fmt::Debug for Registry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Registry")
            .field("customers", &self.customers.len())
            .field("faults", &self.faults)
            .finish_non_exhaustive()
    }
}

fn check_row(row: &Row) -> Result<Customer, Fault> {
    let customer = row.customer.clone()?;
    if !is_valid_name(&row.name) {
        return Err(Fault::Name);
    }
    if !row.keys.iter().all(|key| is_valid_key(key)) {
        return Err(Fault::Key);
    }
    let is_negative = |number: f64| !number.is_finite() || number < 0.0;
    let limit = customer.rate_limit;
    if limit.is_some_and(|limit| is_negative(limit.requests_per_s) || is_negative(limit.burst)) {
        return Err(Fault::RateLimit);
    }
    Ok(customer)
}

fn is_valid_key(key: &str) -> bool {
    let is_printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && is_printable
}

/// Returns whether a name survives as the value of a header, from which outer blanks are removed.
fn is_valid_name(name: &str) -> bool {
    let is_printable = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
    !name.is_empty() && name.trim() == name && name.bytes().all(is_printable)
}
