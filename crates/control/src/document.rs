//! Changes to the control document.

use {
    crate::Rejection,
    wire::{Change, Document, Kind},
};

/// Operations listed in the document, so that a repeated change is recognised.
const MAX_OPERATIONS: usize = 64;

/// Returns the document that is in force before the first change by an operator.
#[must_use]
pub fn initial_document(preset: &str) -> Document {
    Document {
        version: 1,
        preset: preset.to_owned(),
        marks: Vec::new(),
        ops: Vec::new(),
    }
}

/// Returns the version of the document that follows `base` with `change` applied, listed
/// as the operation `operation_id`.
///
/// Changes to marks commute, so they apply to any version. A switch of the preset names the
/// version that the operator has seen and is rejected when the preset was switched after it.
///
/// # Errors
/// Returns [`Rejection::Superseded`] when the preset was switched after that version.
pub fn apply_change(
    base: &Document,
    operation_id: &str,
    change: &Change,
) -> Result<Document, Rejection> {
    let mut next = base.clone();
    match change {
        Change::Preset { name, expect } => {
            if base.version != *expect && has_preset_switch_since(base, *expect) {
                return Err(Rejection::Superseded {
                    current_preset: base.preset.clone(),
                    version: base.version,
                });
            }
            next.preset.clone_from(name);
        }
        Change::Leaving(mark) => {
            if !next.marks.contains(mark) {
                next.marks.push(mark.clone());
            }
        }
        Change::Back(mark) => next.marks.retain(|existing| existing != mark),
    }
    next.version += 1;
    next.ops.push(operation_tag(operation_id, change));
    if next.ops.len() > MAX_OPERATIONS {
        next.ops.remove(0);
    }
    Ok(next)
}

/// Whether the document lists the operation `operation_id`.
#[must_use]
pub(crate) fn contains_change(document: &Document, operation_id: &str) -> bool {
    let suffix = format!(":{operation_id}");
    document.ops.iter().any(|listed| listed.ends_with(&suffix))
}

/// Whether the document marks the target as leaving: by its name, by its zone or by its
/// service in that zone. Marks of VMs concern no target.
#[must_use]
pub fn is_leaving(document: &Document, service: &str, zone: &str, target: &str) -> bool {
    document.marks.iter().any(|mark| match mark.kind {
        Kind::Target => mark.name == target,
        Kind::Zone => mark.name == zone,
        Kind::ServiceZone => mark.name.split_once('/') == Some((service, zone)),
        Kind::Vm => false,
    })
}

/// Returns the entry of an operation in the document. The prefix is `p` for a switch of
/// the preset and `m` for a change of a mark, so that switches can be recognised later.
fn operation_tag(operation_id: &str, change: &Change) -> String {
    match change {
        Change::Preset { .. } => format!("p:{operation_id}"),
        Change::Leaving(_) | Change::Back(_) => format!("m:{operation_id}"),
    }
}

/// Whether an operation after `seen_version` switched the preset. Operations that are no
/// longer listed count as switches.
fn has_preset_switch_since(base: &Document, seen_version: u64) -> bool {
    let newer_count =
        usize::try_from(base.version.saturating_sub(seen_version)).unwrap_or(usize::MAX);
    if newer_count > base.ops.len() || seen_version > base.version {
        return true;
    }
    let newer = &base.ops[base.ops.len() - newer_count..];
    newer.iter().any(|op| op.starts_with("p:"))
}
