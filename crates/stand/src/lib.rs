//! Stand-ins for what surrounds the system: upstreams, the platform, a network
//! that fails, and callers. None of it is part of the product's processes.

pub mod caller;
pub mod fault;
pub mod platform;
pub mod upstream;
