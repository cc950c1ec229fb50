use super::*;
use std::cell::Cell;
use tokio::sync::mpsc::unbounded_channel;

/// A watchdog that a timer feeds would not notice that the loop that does the work is stuck.
#[tokio::test(start_paused = true)]
async fn the_watchdog_is_fed_twice_in_its_time_while_all_drivers_answer() {
    let limit = Duration::from_secs(2);
    let ((one, mut one_asked), (other, mut other_asked)) = (unbounded_channel(), unbounded_channel());
    let drivers = [one, other];
    let fed = Cell::new(0);
    let answer = |input: Option<DriverInput>| match input {
        Some(DriverInput::LivenessCheck(answer)) => answer.send(()).is_ok(),
        _ => false,
    };
    let work = async {
        for _ in 0..4 {
            assert!(answer(one_asked.recv().await) && answer(other_asked.recv().await));
        }
        // The last answer may still be on its way.
        assert!((3..=4).contains(&fed.get()), "{}", fed.get());
        // From here on the second driver is stuck: it takes nothing out of its queue.
        for _ in 0..3 {
            assert!(answer(one_asked.recv().await));
        }
        assert_eq!(fed.get(), 4);
    };
    tokio::select! {
        () = feed(limit, || drivers.to_vec(), || fed.set(fed.get() + 1)) => {}
        // Without an answer to a question it would wait forever.
        done = timeout(limit * 50, work) => done.expect("a question to every driver"),
    }
}
