//! The stand-in nodes that balancers send to.

pub mod model;
