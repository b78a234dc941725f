//! A load balancer on real sockets. All decisions are made by `stilelead-decision`; this crate turns
//! what happens on the network into its events and carries out its actions.
//!
//! One thread, one runtime: [`driver::Driver`] owns the state behind a `RefCell` that is never
//! borrowed across an await.

pub mod clock;
pub mod config;
pub mod directory;
pub mod discovery;
pub mod driver;
pub mod framing;
pub mod in_force;
pub mod logging;
pub mod metrics;
pub mod permit;
pub mod reload;
pub mod server;
pub mod subscription;
pub mod upstream;
