//! Formats responses of a VM as text for people.

use {
    serde::Deserialize,
    wire::{Decision, Document, Member, Verdict},
};

/// Response of `/v1/status`: the control document in force and the members known to the VM.
#[derive(Debug, Deserialize, serde::Serialize)]
pub(crate) struct Status {
    pub(crate) control: Option<Document>,
    pub(crate) members: Vec<Member>,
}

/// Returns the preset and the leaving marks in force, and a table of all VMs with the version
/// that each has applied.
pub(crate) fn format_status(status: &Status) -> String {
    let Some(control) = &status.control else {
        return "the VM has not received a control document yet".to_owned();
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
            member.control.version()
        ));
    }
    lines.join("\n")
}

/// Returns whether a proposed change was accepted, why not, and which VMs have confirmed it.
pub(crate) fn format_decision(decision: &Decision) -> String {
    let summary = match decision.verdict {
        Verdict::Accepted => "accepted",
        Verdict::Conflict => "not accepted: conflict with another operator's change",
        Verdict::Invalid => "not accepted",
        Verdict::Unknown => "unknown whether the change was accepted",
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
