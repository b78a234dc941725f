//! A model of a large fleet on one machine, with which the balancer's figures at size are measured.
//!
//! Real balancer processes and hollow balancers (the decision module and the watch code without sockets for
//! clients) stand beside stand-in nodes and a stand-in control plane. Everything is on loopback.

pub mod cover;
pub mod record;
pub mod scenario;
pub mod topology;
