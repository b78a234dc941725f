//! How the memory limit is divided, and that reserved memory is counted exactly.

use super::*;
use std::task::{Context, Poll, Waker};

/// Guards the limit itself: the shares and the program together are never more than it, and each share has
/// room for some large messages.
#[test]
fn the_shares_are_within_the_limit() {
    for megabytes in [16, 32, 48, 96, 192, 4096] {
        let limit_bytes = megabytes * BYTES_PER_MEGABYTE;
        let plan = MemoryPlan::for_limit(limit_bytes);
        let peer_bytes = plan.max_connections * CONNECTION_BYTES
            + plan.request_bytes
            + plan.answer_bytes
            + plan.list_bytes;
        assert!(PROGRAM_BYTES + peer_bytes <= limit_bytes, "{megabytes} MB: {plan:?}");
        assert!(megabytes < 32 || plan.max_list_entries() > 3200, "{megabytes} MB: {plan:?}");
        assert!(plan.request_bytes.min(plan.answer_bytes) > 16 * 64 * 1024, "{megabytes} MB: {plan:?}");
    }
}

/// Guards the count of reserved bytes: a reservation is released with its last owner, and what does not fit
/// is not reserved.
#[test]
fn reservations_are_counted_until_they_are_dropped() {
    let pool = MemoryPool::new(100);
    let mut first = pool.try_reserve(60).expect("enough is available");
    assert!(pool.try_reserve(41).is_none());
    first.merge(pool.try_reserve(40).expect("enough is available"));
    assert_eq!((first.bytes(), pool.reserved_bytes()), (100, 100));
    first.shrink_to(30);
    assert_eq!(pool.reserved_bytes(), 30);
    let body = ReservedBytes::new(Bytes::from_static(b"body"), Some(first));
    let copy = body.clone();
    drop(body);
    assert_eq!(pool.reserved_bytes(), 30);
    drop(copy);
    assert_eq!(pool.reserved_bytes(), 0);
}

/// Guards a lower limit, as after a reload: what is reserved stays, and nothing is added until it fits.
#[test]
fn a_lower_limit_binds_new_reservations() {
    let pool = MemoryPool::new(100);
    let held = pool.try_reserve(80).expect("enough is available");
    pool.set_limit(50);
    assert_eq!(pool.excess_bytes(), 30);
    assert!(pool.try_reserve(1).is_none());
    drop(held);
    assert_eq!(pool.excess_bytes(), 0);
    assert!(pool.try_reserve(50).is_some());
}

/// Guards answers that wait for memory: the wait ends as soon as enough is released.
#[test]
fn a_waiting_reservation_is_made_after_a_release() {
    let pool = MemoryPool::new(100);
    let held = pool.try_reserve(80).expect("enough is available");
    let mut context = Context::from_waker(Waker::noop());
    let mut waiting = Box::pin(pool.reserve(50));
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    drop(held);
    let Poll::Ready(reservation) = waiting.as_mut().poll(&mut context) else { panic!("still waiting") };
    assert_eq!((reservation.bytes(), pool.reserved_bytes()), (50, 50));
}
