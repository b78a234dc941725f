//! The simulator's side of the decision library: the settings object, which the real balancer reads as
//! well, and the host of the line protocol.

mod host;
pub mod setup;
mod wire;

pub use host::{Host, HostError};
pub use wire::Malformed;
