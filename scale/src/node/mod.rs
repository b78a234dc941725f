//! The stand-in nodes that balancers send to.

mod alarm;
mod handler;
pub mod model;
mod onward;
mod orders;
mod request;
pub mod server;
mod socket;
mod state;
