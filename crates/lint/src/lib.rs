//! Checks a configuration before the operators send it.
//!
//! What is valid is decided by the parser, the route table and the customer registry that run in
//! production; this crate states what follows for callers, and what else is likely a mistake. See
//! `docs/design/configuration-check.md`.

mod differences;
mod errors;
mod finding;
mod limits;
mod unmatched;

use {customer::Listing, route::RouteConfiguration};

pub use finding::{Finding, Report, Rule, Severity};

/// One version of the configuration.
#[derive(Clone, Copy)]
pub struct Version<'a> {
    /// Routes, services and limits on callers.
    pub routes: &'a RouteConfiguration,
    /// The list of customers, if there is one.
    pub customers: Option<&'a Listing>,
}

/// Checks a version, and compares it with the one in force if that is known.
#[must_use]
pub fn check(new: Version<'_>, in_force: Option<Version<'_>>) -> Report {
    let mut findings = errors::check(new, in_force);
    findings.extend(unmatched::check(new));
    findings.extend(limits::check(new));
    if let Some(in_force) = in_force {
        findings.extend(differences::compare(in_force, new));
    }
    Report { findings }
}
