//! Ids that come again.

use super::*;

#[test]
fn an_id_is_known_for_a_generation_and_memory_is_bounded() {
    let mut orders = Orders::default();
    assert!(!orders.run("first"));
    assert!(orders.run("first"));
    for number in 0..GENERATION {
        assert!(!orders.run(&number.to_string()));
    }
    assert!(orders.run("first"));
    for number in 0..3 * GENERATION {
        orders.run(&format!("more {number}"));
    }
    assert!(orders.recent.len() + orders.older.len() <= 2 * GENERATION);
    assert!(!orders.run("first"));
}
