//! Simulated service nodes, the upstreams of the balancers.

mod balancer_client;
mod handler;
pub mod model;
mod order_history;
mod precise_timer;
mod request;
pub mod server;
mod socket;
mod state;
