//! Makes the next version of the control document.

use {
    crate::Rejection,
    wire::{Change, Document, Kind},
};

/// Changes remembered by identifier, so that a repeated proposal is recognised.
const MAX_OPERATIONS: usize = 64;

/// The document in force before any operator's change.
#[must_use]
pub fn initial_document(preset: &str) -> Document {
    Document {
        version: 1,
        preset: preset.to_owned(),
        marks: Vec::new(),
        ops: Vec::new(),
    }
}

/// The document that follows `base` when `change` is made under the identifier `op`.
///
/// Marks commute, so they apply to any version. A switch names the version that
/// the operator has seen and loses when the preset was switched after it.
///
/// # Errors
/// [`Rejection::Superseded`] when another switch came first.
pub fn apply_change(
    base: &Document,
    operation_id: &str,
    change: &Change,
) -> Result<Document, Rejection> {
    let mut next = base.clone();
    match change {
        Change::Preset { name, expect } => {
            if base.version != *expect && switched_since(base, *expect) {
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
        Change::Back(mark) => next.marks.retain(|held| held != mark),
    }
    next.version += 1;
    next.ops.push(operation_tag(operation_id, change));
    if next.ops.len() > MAX_OPERATIONS {
        next.ops.remove(0);
    }
    Ok(next)
}

/// Whether the change with the identifier `op` is part of the document.
#[must_use]
pub(crate) fn contains_change(document: &Document, operation_id: &str) -> bool {
    let suffix = format!(":{operation_id}");
    document.ops.iter().any(|held| held.ends_with(&suffix))
}

/// Whether a mark of the document covers a target of a service in a zone.
#[must_use]
pub fn is_leaving(document: &Document, service: &str, zone: &str, target: &str) -> bool {
    document.marks.iter().any(|mark| match mark.kind {
        Kind::Target => mark.name == target,
        Kind::Zone => mark.name == zone,
        Kind::ServiceZone => mark.name.split_once('/') == Some((service, zone)),
        Kind::Vm => false,
    })
}

/// A switch is tagged `p`, so that later switches can be told from marks.
fn operation_tag(operation_id: &str, change: &Change) -> String {
    match change {
        Change::Preset { .. } => format!("p:{operation_id}"),
        Change::Leaving(_) | Change::Back(_) => format!("m:{operation_id}"),
    }
}

/// Whether any of the changes after version `seen_version` switched the preset. Changes
/// that are no longer listed count as switches.
fn switched_since(base: &Document, seen_version: u64) -> bool {
    let since = usize::try_from(base.version.saturating_sub(seen_version)).unwrap_or(usize::MAX);
    if since > base.ops.len() || seen_version > base.version {
        return true;
    }
    let newer = &base.ops[base.ops.len() - since..];
    newer.iter().any(|op| op.starts_with("p:"))
}
