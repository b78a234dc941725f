//! Counts open sockets against the budget of the process.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one socket against the budget until it is dropped.
#[derive(Debug)]
pub struct Permit(
    /// The number of sockets counted as open.
    Rc<Cell<usize>>,
);

impl Permit {
    /// Adds one to `open_sockets` until the permit is dropped.
    #[must_use]
    pub fn acquire(open_sockets: &Rc<Cell<usize>>) -> Self {
        open_sockets.set(open_sockets.get() + 1);
        Self(Rc::clone(open_sockets))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
