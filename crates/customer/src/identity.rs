//! Who a request comes from, by the key that it carries.

use {crate::Customer, std::sync::Arc};

/// Whom a request comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum Identity {
    /// The configuration lists no customers: nobody was asked.
    NotAsked,
    /// Its route is open to everyone.
    Anyone,
    /// It carries a key of this customer.
    Known(Arc<Customer>),
}

impl Identity {
    /// Returns the customer, if the request has one.
    #[must_use]
    pub fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Self::Known(customer) => Some(customer),
            Self::NotAsked | Self::Anyone => None,
        }
    }
}

/// Why a request is not served for the key that it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It carries no key.
    Missing,
    /// It carries several keys.
    Repeated,
    /// Its key is empty, too long or not printable ASCII.
    Malformed,
    /// No customer holds its key, or none does any more.
    Unknown,
    /// The configuration does not say clearly whose key it is, or what the customer may do.
    Unclear,
}

impl Refusal {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "no key",
            Self::Repeated => "repeated key",
            Self::Malformed => "malformed key",
            Self::Unknown => "unknown key",
            Self::Unclear => "unclear customer",
        }
    }

    /// Returns whether the same request will be refused again, unless the operator changes the
    /// configuration so that it holds the key.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Unclear
    }
}
