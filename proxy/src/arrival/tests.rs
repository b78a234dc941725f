//! Which arriving request gives its memory back, and what happens to the others.

use super::*;
use std::future::Future;
use tokio::time::{advance, pause};

/// The body that the tests use, more than is held without a reservation.
const BODY_BYTES: usize = 10_000;

/// Runs a test in simulated time with memory for `bodies` bodies.
fn with_memory<F: Future<Output = ()>>(
    bodies: usize,
    test: impl FnOnce(Rc<ArrivalMemory>, Arc<MemoryPool>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    runtime.block_on(async {
        pause();
        let pool = MemoryPool::new(bodies * BODY_BYTES);
        test(ArrivalMemory::new(Arc::clone(&pool)), pool).await;
    });
}

/// A request whose body begins to arrive: a tenth of it has.
fn begin_body(memory: &Rc<ArrivalMemory>) -> (Rc<Arrival>, Result<(), OutOfMemory>) {
    let arrival = memory.register();
    arrival.begin_request();
    let result = arrival.push_body(&[b'x'; BODY_BYTES / 10], Some(BODY_BYTES));
    (arrival, result)
}

/// Guards requests that are just being sent: they keep their memory, and a further one is refused.
#[test]
fn a_request_that_has_just_begun_keeps_its_memory() {
    with_memory(1, async |memory, pool| {
        let (first, begun) = begin_body(&memory);
        assert_eq!(begun, Ok(()));
        advance(MIN_AGE_TO_EVICT / 2).await;
        assert_eq!(begin_body(&memory).1, Err(OutOfMemory));
        assert_eq!(first.push_body(&[b'x'; BODY_BYTES * 9 / 10], Some(BODY_BYTES)), Ok(()));
        assert_eq!(first.finish_body().map(|body| body.len()), Ok(BODY_BYTES));
        assert_eq!(pool.reserved_bytes(), 0);
    });
}

/// Guards new clients against those that stopped: the one that has held its memory for the longest loses it,
/// at once, and is told.
#[test]
fn the_request_that_has_waited_for_the_longest_is_evicted() {
    with_memory(2, async |memory, pool| {
        let (oldest, _) = begin_body(&memory);
        advance(MIN_AGE_TO_EVICT).await;
        let (older, _) = begin_body(&memory);
        advance(MIN_AGE_TO_EVICT).await;
        let (newest, begun) = begin_body(&memory);
        assert_eq!(begun, Ok(()));
        oldest.body_evicted().await;
        assert_eq!(oldest.push_body(b"more", Some(BODY_BYTES)), Err(OutOfMemory));
        assert_eq!(oldest.finish_body().map(|body| body.len()), Err(OutOfMemory));
        assert_eq!(older.push_body(b"more", Some(BODY_BYTES)), Ok(()));
        assert_eq!(newest.push_body(b"more", Some(BODY_BYTES)), Ok(()));
        assert_eq!(pool.reserved_bytes(), 2 * BODY_BYTES);
    });
}

/// Guards requests that were accepted: a complete one keeps its memory until it is dropped, and small ones
/// need none.
#[test]
fn complete_and_small_requests_are_not_evicted() {
    with_memory(1, async |memory, _| {
        let (complete, _) = begin_body(&memory);
        complete.push_body(&[b'x'; BODY_BYTES * 9 / 10], Some(BODY_BYTES)).expect("memory is reserved");
        let body = complete.finish_body().expect("complete");
        advance(MIN_AGE_TO_EVICT * 10).await;
        assert_eq!(begin_body(&memory).1, Err(OutOfMemory));
        let small = memory.register();
        assert_eq!(small.push_body(&[b'x'; 200], Some(200)), Ok(()));
        assert_eq!(small.push_body(&[b'x'; 200], None), Ok(()));
        drop(body);
        assert_eq!(begin_body(&memory).1, Ok(()));
    });
}

/// Guards connections that wait for an answer: only those between requests are closed for their buffers.
#[test]
fn a_connection_between_requests_is_closed_for_its_buffers() {
    with_memory(2, async |memory, _| {
        let (answering, idle) = (memory.register(), memory.register());
        answering.reserve_buffers(BODY_BYTES).expect("enough is available");
        answering.begin_request();
        idle.reserve_buffers(BODY_BYTES).expect("enough is available");
        advance(MIN_AGE_TO_EVICT * 2).await;
        assert_eq!(begin_body(&memory).1, Err(OutOfMemory), "memory is free once the connection is closed");
        idle.connection_evicted().await;
        assert!(!answering.closing.get());
        drop(idle);
        assert_eq!(begin_body(&memory).1, Ok(()));
    });
}

/// Guards a reload to a smaller limit: arriving requests give back what exceeds it.
#[test]
fn a_lower_limit_evicts_the_excess() {
    with_memory(2, async |memory, pool| {
        let (first, _) = begin_body(&memory);
        let (second, _) = begin_body(&memory);
        pool.set_limit(BODY_BYTES);
        memory.evict_excess();
        assert_eq!(pool.reserved_bytes(), BODY_BYTES);
        assert!(first.finish_body().is_err() != second.finish_body().is_err());
    });
}
