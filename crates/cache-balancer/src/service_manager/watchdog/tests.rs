use super::*;
use std::cell::Cell;
use tokio::sync::mpsc::unbounded_channel;

/// If a timer alone fed the watchdog, it would not detect a stuck driver.
#[tokio::test(start_paused = true)]
async fn the_watchdog_is_fed_twice_per_limit_while_all_drivers_respond() {
    let limit = Duration::from_secs(2);
    let ((first, mut first_inputs), (second, mut second_inputs)) = (unbounded_channel(), unbounded_channel());
    let drivers = [first, second];
    let fed = Cell::new(0);
    let respond = |input: Option<DriverInput>| match input {
        Some(DriverInput::LivenessCheck(reply)) => reply.send(()).is_ok(),
        _ => false,
    };
    let work = async {
        for _ in 0..4 {
            assert!(respond(first_inputs.recv().await) && respond(second_inputs.recv().await));
        }
        // The watchdog may not have received the last response yet.
        assert!((3..=4).contains(&fed.get()), "{}", fed.get());
        // From here on the second driver is stuck: it does not read its queue.
        for _ in 0..3 {
            assert!(respond(first_inputs.recv().await));
        }
        assert_eq!(fed.get(), 4);
    };
    tokio::select! {
        () = feed(limit, || drivers.to_vec(), || fed.set(fed.get() + 1)) => {}
        // The timeout ends the test if the watchdog does not check every driver.
        done = timeout(limit * 50, work) => done.expect("a liveness check of every driver"),
    }
}
