//! The command-line program of the fleet model.

fn main() {}
