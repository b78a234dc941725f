//! A model of a large fleet on one machine, with which the balancer's figures at size are measured.
//!
//! Real balancer processes and hollow balancers (the decision module and the watch code without sockets for
//! clients) stand beside stand-in nodes and a stand-in control plane. Everything is on loopback.

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
