//! Tests of the history: repeated request ids are found, and its memory is bounded.

use super::*;

#[test]
fn an_id_is_remembered_for_a_generation_and_memory_is_bounded() {
    let mut history = OrderHistory::default();
    assert!(!history.record_run("first"));
    assert!(history.record_run("first"));
    for number in 0..IDS_PER_GENERATION {
        assert!(!history.record_run(&number.to_string()));
    }
    assert!(history.record_run("first"));
    for number in 0..3 * IDS_PER_GENERATION {
        history.record_run(&format!("more {number}"));
    }
    assert!(history.recent_ids.len() + history.older_ids.len() <= 2 * IDS_PER_GENERATION);
    assert!(!history.record_run("first"));
}
