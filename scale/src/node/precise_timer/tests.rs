//! Tests of the timer: waits end at their time, independent of the order in which they were added.

use std::time::Duration;

use super::*;

#[test]
fn waits_are_due_at_their_time_earliest_first() {
    let start = Instant::now();
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    let mut waits = Waits::default();
    for milliseconds in [30, 10, 40, 20] {
        waits.pending.push(Wait { at: at(milliseconds), completion: oneshot::channel().0 });
    }
    let mut due =
        |milliseconds| waits.take_due(at(milliseconds)).iter().map(|wait| wait.at).collect::<Vec<_>>();
    assert_eq!(due(9), []);
    assert_eq!(due(30), [at(10), at(20), at(30)]);
    assert_eq!(due(50), [at(40)]);
}

#[tokio::test]
async fn a_wait_does_not_end_early_and_ends_before_a_longer_one_added_first() {
    let timer = PreciseTimer::start().unwrap();
    let start = Instant::now();
    let mut long = std::pin::pin!(timer.wait_until(start + Duration::from_secs(1_000_000)));
    let short = async {
        timer.wait_until(start + Duration::from_millis(5)).await;
        start.elapsed()
    };
    let elapsed = tokio::select! {
        biased;
        () = &mut long => panic!("the long wait is over"),
        elapsed = short => elapsed,
    };
    assert!(elapsed >= Duration::from_millis(5), "{elapsed:?}");
}

#[tokio::test]
async fn the_thread_ends_while_waits_are_pending() {
    let timer = Arc::new(PreciseTimer::start().unwrap());
    let waiting = tokio::spawn({
        let timer = Arc::downgrade(&timer);
        async move {
            let timer = timer.upgrade().unwrap();
            timer.wait_until(Instant::now() + Duration::from_secs(1_000_000)).await;
        }
    });
    while timer.shared.waits().pending.is_empty() {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    assert!(waiting.await.unwrap_err().is_cancelled());
    let shared = Arc::downgrade(&timer.shared);
    drop(timer);
    assert!(shared.upgrade().is_none());
}
