//! For how long ids are remembered, and how many.

use super::*;

/// Guards requests that must not run twice, and the memory of the program against ever new ids.
#[test]
fn ids_that_may_have_run_are_remembered_within_limits() {
    let (mut ids, start) = (RequestIds::default(), Instant::now());
    let run = |ids: &mut RequestIds, id: &str, may_have_run, now| {
        let opened = ids.open(id.as_bytes(), now);
        if let Ok(digest) = opened {
            assert_eq!(ids.open(id.as_bytes(), now), Err(RepeatedId::Open));
            ids.close(digest, may_have_run, now);
        }
        opened.err()
    };
    assert_eq!(run(&mut ids, "harmless", false, start), None);
    assert_eq!(run(&mut ids, "harmless", false, start), None);
    assert_eq!(run(&mut ids, "run", true, start), None);
    let soon = start + REMEMBERED_FOR / 2;
    assert_eq!(run(&mut ids, "run", true, soon), Some(RepeatedId::MayHaveRun));
    assert_eq!(run(&mut ids, "run", true, start + REMEMBERED_FOR), None);
    for number in 0..MAX_REMEMBERED {
        assert_eq!(run(&mut ids, &number.to_string(), true, start + REMEMBERED_FOR), None);
    }
    assert_eq!(ids.executed.len(), MAX_REMEMBERED);
    assert_eq!(ids.executed_in_order.len(), MAX_REMEMBERED);
    assert_eq!(run(&mut ids, "0", true, start + REMEMBERED_FOR), Some(RepeatedId::MayHaveRun));
    assert_eq!(run(&mut ids, "run", true, start + REMEMBERED_FOR), None, "the oldest is forgotten");
}
