//! Polls the platform for the control document and the list of VMs.

mod poller;

pub(crate) use poller::{CONTROL_ROW_KEY, Poller, read_document};
