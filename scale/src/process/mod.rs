//! Real balancer processes, what is measured of them, and the configuration of any copy.

pub mod settings;

pub use settings::configuration;
