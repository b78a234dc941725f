//! The cases, one file each.

pub mod memory;
pub mod pipeline;
pub mod second_answers;
pub mod traffic;
