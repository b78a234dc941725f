//! How tests of other modules reach into the driver.

use super::*;

impl Driver {
    /// The number of an upstream that is listed.
    pub(crate) fn number_of(&self, name: &str) -> UpstreamId {
        self.core.borrow().directory.number(name).expect("it is listed")
    }

    /// Takes in what the watch of that number tells.
    pub(crate) fn learn(self: &Rc<Self>, number: u64, update: Update) {
        self.updated(WatchNumber(number), update);
    }
}
