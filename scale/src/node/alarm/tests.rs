//! Waits end at their times, whatever the order in which they were asked for.

use std::time::Duration;

use super::*;

#[test]
fn waits_are_due_at_their_time_the_earliest_first() {
    let begun = Instant::now();
    let at = |milliseconds| begun + Duration::from_millis(milliseconds);
    let mut waits = Waits::default();
    for milliseconds in [30, 10, 40, 20] {
        waits.open.push(Wait { at: at(milliseconds), over: oneshot::channel().0 });
    }
    let mut due =
        |milliseconds| waits.take_due(at(milliseconds)).iter().map(|wait| wait.at).collect::<Vec<_>>();
    assert_eq!(due(9), []);
    assert_eq!(due(30), [at(10), at(20), at(30)]);
    assert_eq!(due(50), [at(40)]);
}

#[tokio::test]
async fn a_wait_ends_not_early_and_ahead_of_a_longer_one_that_was_asked_for_first() {
    let alarm = Alarm::start().unwrap();
    let begun = Instant::now();
    let mut long = std::pin::pin!(alarm.until(begun + Duration::from_secs(1_000_000)));
    let short = async {
        alarm.until(begun + Duration::from_millis(5)).await;
        begun.elapsed()
    };
    let took = tokio::select! {
        biased;
        () = &mut long => panic!("the long wait is over"),
        took = short => took,
    };
    assert!(took >= Duration::from_millis(5), "{took:?}");
}

#[tokio::test]
async fn the_thread_ends_while_waits_are_open() {
    let alarm = Arc::new(Alarm::start().unwrap());
    let waiting = tokio::spawn({
        let alarm = Arc::downgrade(&alarm);
        async move {
            let alarm = alarm.upgrade().unwrap();
            alarm.until(Instant::now() + Duration::from_secs(1_000_000)).await;
        }
    });
    while alarm.shared.waits().open.is_empty() {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    assert!(waiting.await.unwrap_err().is_cancelled());
    let shared = Arc::downgrade(&alarm.shared);
    drop(alarm);
    assert!(shared.upgrade().is_none());
}
