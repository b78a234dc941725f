//! Models a large fleet of load balancers on one machine to measure how the balancer behaves at scale.
//!
//! A run has real balancer processes and hollow balancers (the decision module and the discovery watch inside this
//! process, without sockets for clients). Stand-in nodes and a stand-in control plane serve both. All traffic stays
//! on loopback.

pub mod cli;
pub mod client;
pub mod control;
pub mod cover;
pub mod faults;
pub mod fit;
pub mod hollow;
pub mod interrupt;
pub mod node;
pub mod plan;
pub mod port;
pub mod process;
pub mod record;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod table;
pub mod topology;
