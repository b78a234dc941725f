//! A load balancer on real sockets. `stilelead-decision` makes all decisions; this crate turns what happens
//! on the network into its events and carries out its actions.
//!
//! The balancer runs on a single thread: [`driver::Driver`] owns the state in a `RefCell` that is never
//! borrowed across an await.

pub mod active_config;
pub mod arrival;
pub mod body;
pub mod clock;
pub mod config;
pub mod directory;
pub mod discovery;
pub mod driver;
pub mod framing;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod permit;
pub mod reload;
pub mod request_ids;
pub mod server;
pub mod subscription;
pub mod upstream;
