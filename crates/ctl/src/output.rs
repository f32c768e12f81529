//! What the command line prints for people.

use {
    serde::Deserialize,
    wire::{Decision, Document, Member, Verdict},
};

/// What a VM says about what is in force.
#[derive(Debug, Deserialize, serde::Serialize)]
pub(crate) struct Status {
    pub(crate) control: Option<Document>,
    pub(crate) members: Vec<Member>,
}

/// Lines about what is in force, and where.
pub(crate) fn format_status(status: &Status) -> String {
    let Some(control) = &status.control else {
        return "the VM has not learned what is in force yet".to_owned();
    };
    let mut lines = format_document(control);
    lines.push(format!(
        "{:<16} {:<12} {:<9} {:>8}",
        "VM", "zone", "status", "version"
    ));
    for member in &status.members {
        lines.push(format!(
            "{:<16} {:<12} {:<9} {:>8}",
            member.name,
            member.zone,
            member.status.to_string(),
            member.control
        ));
    }
    lines.join("\n")
}

/// Lines about what became of a change.
pub(crate) fn format_decision(decision: &Decision) -> String {
    let summary = match decision.verdict {
        Verdict::Accepted => "accepted",
        Verdict::Conflict => "not accepted: another operator came first",
        Verdict::Invalid => "not accepted",
        Verdict::Unknown => "not known",
    };
    let mut lines = vec![summary.to_owned()];
    if !decision.detail.is_empty() {
        lines.push(decision.detail.clone());
    }
    lines.extend(format_document(&decision.document));
    if decision.verdict == Verdict::Accepted {
        lines.push(format!("in force on {} VMs", decision.confirmed.len()));
    }
    if !decision.unconfirmed.is_empty() {
        lines.push(format!(
            "not confirmed by {}",
            decision.unconfirmed.join(", ")
        ));
    }
    lines.join("\n")
}

fn format_document(document: &Document) -> Vec<String> {
    let mut lines = vec![format!(
        "preset {} at version {}",
        document.preset, document.version
    )];
    for mark in &document.marks {
        lines.push(format!("leaving: {} {}", mark.kind, mark.name));
    }
    lines
}
