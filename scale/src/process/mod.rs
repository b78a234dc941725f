//! Real balancer processes, their resource usage, and the configuration of real and hollow balancers.

pub mod balancer;
pub mod error;
mod health;
mod log;
pub mod port;
pub mod procfs;
pub mod program;
pub mod settings;

pub use balancer::BalancerProcess;
pub use error::ProcessError;
pub use port::ReservedPort;
pub use procfs::Sampler;
pub use program::find_balancer_program;
pub use settings::configuration;
