//! Which arriving request gives its memory back, and what happens to the others.

use super::*;
use std::future::Future;
use tokio::task::{JoinHandle, LocalSet, spawn_local, yield_now};
use tokio::time::{advance, pause};

/// The body that the tests use, more than is held without a reservation.
const BODY_BYTES: usize = 10_000;

/// Runs a test in simulated time with memory for `bodies` bodies.
fn with_memory<F: Future<Output = ()>>(
    bodies: usize,
    test: impl FnOnce(Rc<ArrivalMemory>, Arc<MemoryPool>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        pause();
        let pool = MemoryPool::new(bodies * BODY_BYTES);
        let memory = ArrivalMemory::new(Arc::clone(&pool));
        spawn_local(Rc::clone(&memory).serve_queue());
        test(memory, pool).await;
    });
}

/// A request whose body begins to arrive: a tenth of it has.
async fn begin_body(memory: &Rc<ArrivalMemory>) -> (Rc<Arrival>, Result<(), OutOfMemory>) {
    let arrival = memory.register();
    arrival.begin_request();
    let result = arrival.push_body(&[b'x'; BODY_BYTES / 10], Some(BODY_BYTES)).await;
    (arrival, result)
}

/// A request whose body begins to arrive, and which has to wait for its memory.
async fn begin_body_that_waits(memory: &Rc<ArrivalMemory>) -> JoinHandle<Result<(), OutOfMemory>> {
    let memory_of_body = Rc::clone(memory);
    let waiting = spawn_local(async move { begin_body(&memory_of_body).await.1 });
    while memory.queue.is_empty() {
        yield_now().await;
    }
    waiting
}

/// Guards requests that are just being sent: they keep their memory, and a further one waits until they are
/// complete.
#[test]
fn a_request_that_has_just_begun_keeps_its_memory() {
    with_memory(1, async |memory, pool| {
        let (first, begun) = begin_body(&memory).await;
        assert_eq!(begun, Ok(()));
        advance(MIN_AGE_TO_EVICT / 2).await;
        let second = begin_body_that_waits(&memory).await;
        advance(MIN_AGE_TO_EVICT / 4).await;
        assert!(!second.is_finished());
        assert_eq!(first.push_body(&[b'x'; BODY_BYTES * 9 / 10], Some(BODY_BYTES)).await, Ok(()));
        assert_eq!(first.finish_body().map(|body| body.len()), Ok(BODY_BYTES));
        assert_eq!(second.await.expect("the task completes"), Ok(()));
        assert_eq!(pool.reserved_bytes(), 0);
    });
}

/// Guards requests whose deadline is short: a refusal still reaches the client in time.
#[test]
fn a_request_does_not_wait_for_memory_for_long() {
    with_memory(1, async |memory, _| {
        let complete = begin_body(&memory).await.0.finish_body();
        let began_at = Instant::now();
        let (waiting, begun) = begin_body(&memory).await;
        assert_eq!(
            (begun, began_at.elapsed() <= MAX_WAIT + Duration::from_millis(10)),
            (Err(OutOfMemory), true)
        );
        assert_eq!(waiting.push_body(&[b'x'; BODY_BYTES], Some(BODY_BYTES)).await, Err(OutOfMemory));
        assert!(began_at.elapsed() <= MAX_WAIT + Duration::from_millis(20), "a request waits once");
        drop(complete);
    });
}

/// Guards the order among requests that wait for memory: a later one does not overtake an earlier one.
#[test]
fn requests_wait_for_memory_in_the_order_of_their_arrival() {
    with_memory(1, async |memory, _| {
        let complete = begin_body(&memory).await.0.finish_body();
        let earlier = begin_body_that_waits(&memory).await;
        let small = memory.register();
        assert_eq!(small.try_reserve_buffers(1), Err(OutOfMemory));
        drop(complete);
        assert_eq!(earlier.await.expect("the task completes"), Ok(()));
        assert_eq!(small.try_reserve_buffers(1), Ok(()));
    });
}

/// Guards new clients against those that stopped: the one that has held its memory for the longest loses it,
/// at once, and is told.
#[test]
fn the_request_that_has_waited_for_the_longest_is_evicted() {
    with_memory(2, async |memory, pool| {
        let (oldest, _) = begin_body(&memory).await;
        advance(MIN_AGE_TO_EVICT).await;
        let (older, _) = begin_body(&memory).await;
        advance(MIN_AGE_TO_EVICT).await;
        let (newest, begun) = begin_body(&memory).await;
        assert_eq!(begun, Ok(()));
        oldest.body_evicted().await;
        assert_eq!(oldest.push_body(b"more", Some(BODY_BYTES)).await, Err(OutOfMemory));
        assert_eq!(oldest.finish_body().map(|body| body.len()), Err(OutOfMemory));
        assert_eq!(older.push_body(b"more", Some(BODY_BYTES)).await, Ok(()));
        assert_eq!(newest.push_body(b"more", Some(BODY_BYTES)).await, Ok(()));
        assert_eq!(pool.reserved_bytes(), 2 * BODY_BYTES);
    });
}

/// Guards requests that were accepted: a complete one keeps its memory until it is dropped, and small ones
/// need none.
#[test]
fn complete_and_small_requests_are_not_evicted() {
    with_memory(1, async |memory, _| {
        let (complete, _) = begin_body(&memory).await;
        complete.push_body(&[b'x'; BODY_BYTES * 9 / 10], Some(BODY_BYTES)).await.expect("memory is reserved");
        let body = complete.finish_body().expect("complete");
        advance(MIN_AGE_TO_EVICT * 10).await;
        assert_eq!(begin_body(&memory).await.1, Err(OutOfMemory));
        let small = memory.register();
        assert_eq!(small.push_body(&[b'x'; 200], Some(200)).await, Ok(()));
        assert_eq!(small.push_body(&[b'x'; 200], None).await, Ok(()));
        drop(body);
        assert_eq!(begin_body(&memory).await.1, Ok(()));
    });
}

/// Guards connections that wait for an answer, and requests that wait for memory: a connection between
/// requests is closed for its buffers, no other one is, and the waiting request gets the memory.
#[test]
fn a_connection_between_requests_is_closed_for_its_buffers() {
    with_memory(2, async |memory, _| {
        let (answering, idle) = (memory.register(), memory.register());
        answering.try_reserve_buffers(BODY_BYTES).expect("enough is available");
        answering.begin_request();
        idle.try_reserve_buffers(BODY_BYTES).expect("enough is available");
        advance(MIN_AGE_TO_EVICT * 2).await;
        let waiting = begin_body_that_waits(&memory).await;
        idle.connection_evicted().await;
        assert!(!answering.closing.get());
        assert!(!waiting.is_finished(), "memory is free once the connection is closed");
        drop(idle);
        assert_eq!(waiting.await.expect("the task completes"), Ok(()));
    });
}

/// Guards clients that keep their connection after a large request: it is closed for its buffers only if a request
/// would be refused otherwise.
#[test]
fn a_recently_used_connection_keeps_its_buffers_while_others_can_give_theirs_back() {
    with_memory(2, async |memory, _| {
        let (used, stopped) = (memory.register(), memory.register());
        for arrival in [&used, &stopped] {
            arrival.try_reserve_buffers(BODY_BYTES).expect("enough is available");
        }
        used.begin_request();
        used.end_request();
        advance(MIN_AGE_TO_EVICT).await;
        let waiting = begin_body_that_waits(&memory).await;
        stopped.connection_evicted().await;
        drop(stopped);
        assert_eq!(waiting.await.expect("the task completes"), Ok(()));
        assert!(!used.closing.get());
        let complete = begin_body(&memory).await.0.finish_body();
        let waiting_at = Instant::now();
        let waiting = begin_body_that_waits(&memory).await;
        used.connection_evicted().await;
        assert!(waiting_at.elapsed() >= MAX_WAIT / 2);
        drop((used, complete));
        assert_eq!(waiting.await.expect("the task completes"), Ok(()));
    });
}

/// Guards a reload to a smaller limit: arriving requests give back what exceeds it.
#[test]
fn a_lower_limit_evicts_the_excess() {
    with_memory(2, async |memory, pool| {
        let (first, _) = begin_body(&memory).await;
        let (second, _) = begin_body(&memory).await;
        pool.set_limit(BODY_BYTES);
        memory.evict_excess();
        assert_eq!(pool.reserved_bytes(), BODY_BYTES);
        assert!(first.finish_body().is_err() != second.finish_body().is_err());
    });
}
