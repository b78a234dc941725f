//! The adapter between the simulator and the decision library: it hosts balancer instances on the
//! simulator's line protocol and parses the settings object, which the proxy reads as well.

mod host;
pub mod setup;
mod wire;

pub use host::{Host, HostError};
pub use wire::LineError;
