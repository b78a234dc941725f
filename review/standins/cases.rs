//! The cases, one file each.

pub mod drain;
pub mod memory;
pub mod second_answers;
pub mod traffic;
