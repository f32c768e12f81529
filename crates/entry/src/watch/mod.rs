//! Watches the platform: the control document and the list of VMs.

mod poller;

pub(crate) use poller::{CONTROL_ROW, Poller, read_document};
