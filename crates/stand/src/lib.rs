//! Stand-ins (test doubles) for the systems around the product: upstreams, the platform, a faulty
//! network and callers. None of it runs in a process of the product.

pub mod caller;
pub mod fault;
pub mod platform;
pub mod upstream;
