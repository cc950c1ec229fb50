//! Tests of admission control: which requests a controller rejects, for one node and for hundreds of nodes.

use balancer_core::admission::{AdmissionController, LoadSignal};
use balancer_core::{RequestClass, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1_000)
}

/// Returns the signal of a full queue if `full`, and otherwise of an answer in time.
fn full_queue_if(full: bool) -> LoadSignal {
    if full {
        LoadSignal::QueueFull
    } else {
        LoadSignal::Answered
    }
}

/// Work of a request of each of two classes of equal weight.
const WORK: [f64; 2] = [1.0, 4.0];

fn classes() -> Vec<RequestClass> {
    vec![RequestClass::default(), RequestClass::default()]
}

/// Returns the admitted fraction of each class, for 1,000 requests of each class in the second that starts at
/// `from` ms.
fn admitted(controller: &mut AdmissionController, from: u64) -> [f64; 2] {
    let mut counts = [0; 2];
    for i in 0..1_000 {
        for (class, count) in counts.iter_mut().enumerate() {
            // Evenly distributed, but not increasing with time.
            let random = (i * 617 % 1_000) as f64 / 1_000.0;
            let admitted = controller.admits(at(from + i), class, &classes(), &WORK, random);
            *count += u32::from(admitted);
        }
    }
    counts.map(|count| f64::from(count) / 1_000.0)
}

/// A node in its first second, or one that uses a few bad servers among many, must not reject requests,
/// because the fleet has capacity.
#[test]
fn a_new_controller_admits_everything_despite_a_few_failures() {
    let mut controller = AdmissionController::default();
    assert_eq!(admitted(&mut controller, 0), [1.0, 1.0]);
    (0..1_000).for_each(|i| controller.record(at(1_000 + i), full_queue_if(i % 20 == 0)));
    assert!(controller.level() > 0.9, "{}", controller.level());
}

/// An overloaded fleet that rejects all classes in equal parts serves less weight than it could. A node that
/// rejects a whole class gets no more results of that class and would never admit it again.
#[test]
fn classes_of_least_weight_per_work_are_rejected_first_down_to_their_minimum() {
    let mut controller = AdmissionController::default();
    (0..12).for_each(|_| controller.record(at(0), LoadSignal::QueueFull));
    let level = controller.level();
    assert!((0.4..0.6).contains(&level), "{level}");
    let [light, heavy] = admitted(&mut controller, 0);
    // The light class is a fifth of the work and is admitted completely.
    assert!(light > 0.98, "{light}");
    assert!((heavy - (1.0 - (1.0 - level) * 5.0 / 4.0)).abs() < 0.05, "{heavy} at {level}");
    (0..100).for_each(|_| controller.record(at(1_000), LoadSignal::QueueFull));
    let [light, heavy] = admitted(&mut controller, 1_000);
    assert!((0.05..0.95).contains(&light) && (0.05..0.2).contains(&heavy), "{light} and {heavy}");
}

/// Nodes that see about ten answers a second must not restrict a fleet for tens of seconds after it has
/// recovered.
#[test]
fn a_hundred_answers_in_time_restore_full_admission() {
    let mut controller = AdmissionController::default();
    (0..100).for_each(|i| controller.record(at(i * 10), LoadSignal::QueueFull));
    assert!(controller.level() < 0.15, "{}", controller.level());
    // 15 answers a second, starting 2 s after the overload.
    (0..100).for_each(|i| controller.record(at(3_000 + i * 66), LoadSignal::Answered));
    assert_eq!(controller.level(), 1.0);
}

/// Returns the mean level of `nodes` controllers over the second half of 400 rounds. The controllers share a
/// fleet with this capacity, given as a fraction of the demand. An attempt fails with a probability equal to
/// the fraction of the admitted demand that exceeds the capacity.
fn converged_level(nodes: u64, capacity: f64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(nodes);
    let mut controllers = vec![AdmissionController::default(); nodes as usize];
    let mean = |controllers: &[AdmissionController]| {
        controllers.iter().map(AdmissionController::level).sum::<f64>() / nodes as f64
    };
    let mut levels = Vec::new();
    for round in 0..400u64 {
        let failure_rate = (1.0 - capacity / mean(&controllers)).max(0.0);
        for controller in &mut controllers {
            // The more a node admits, the more results it sees. A round is 50 ms.
            if rng.f64() < controller.level() {
                controller.record(at(round * 50), full_queue_if(rng.f64() < failure_rate));
            }
        }
        levels.extend((round >= 200).then(|| mean(&controllers)));
    }
    levels.iter().sum::<f64>() / levels.len() as f64
}

/// All nodes of a fleet together must admit as much as a single node would. With a rule that depends on the
/// number of nodes, a fleet that grows past a threshold is overloaded or rejects requests that it could
/// serve.
#[test]
fn the_admitted_fraction_does_not_depend_on_the_number_of_nodes() {
    // Adjacent numbers of nodes (15 to 17, 100 and 101) reveal a threshold.
    for capacity in [0.3, 0.5, 0.7, 0.9] {
        // One controller alone, averaged over 100 runs.
        let one = (0..100).map(|seed| {
            let mut controller = AdmissionController::default();
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut mean_level = 0.0;
            for round in 0..400u64 {
                let failure_rate = (1.0 - capacity / controller.level()).max(0.0);
                if rng.f64() < controller.level() {
                    controller.record(at(round * 50), full_queue_if(rng.f64() < failure_rate));
                }
                mean_level += if round >= 200 { controller.level() / 200.0 } else { 0.0 };
            }
            mean_level
        });
        let one = one.sum::<f64>() / 100.0;
        assert!(
            (capacity - 0.15..capacity + 0.15).contains(&one),
            "one node admits {one:.3} at a capacity of {capacity}"
        );
        for nodes in [2, 15, 16, 17, 60, 100, 101, 300, 450] {
            let all = converged_level(nodes, capacity);
            assert!(
                (all - one).abs() < 0.1,
                "{nodes} nodes admit {all:.3}, one {one:.3}, at a capacity of {capacity}"
            );
        }
    }
}

/// When a zone is lost, a third of the attempts time out. Nodes that treat this as overload would reject
/// requests that the other zones have capacity for. Late answers from all servers are overload.
#[test]
fn late_answers_lower_the_level_and_timeouts_at_a_third_of_servers_do_not() {
    let mut zone_lost = AdmissionController::default();
    (0..300).for_each(|i| {
        zone_lost.record(at(i * 60), if i % 3 == 0 { LoadSignal::TimedOut } else { LoadSignal::Answered })
    });
    assert!(zone_lost.level() > 0.9, "{}", zone_lost.level());
    let mut overloaded = AdmissionController::default();
    (0..300).for_each(|i| {
        overloaded.record(at(i * 60), if i % 3 == 0 { LoadSignal::Late } else { LoadSignal::Answered })
    });
    assert!(overloaded.level() < 0.5, "{}", overloaded.level());
}

/// After a reload that changes the order of classes, each class must be rejected by its own demand.
#[test]
fn reordered_classes_keep_their_demand() {
    let mut controller = AdmissionController::default();
    (0..12).for_each(|_| controller.record(at(0), LoadSignal::QueueFull));
    admitted(&mut controller, 0);
    let mut swapped = controller.clone();
    swapped.reassign_classes(&[Some(1), Some(0), None]);
    let (mut before, mut after) = (0, 0);
    let three = [RequestClass::default(), RequestClass::default(), RequestClass::default()];
    for i in 0..100 {
        let random = f64::from(i) / 100.0;
        before += u32::from(controller.admits(at(1_000), 1, &classes(), &WORK, random));
        after += u32::from(swapped.admits(at(1_000), 0, &three, &[4.0, 1.0, 1.0], random));
    }
    assert!((10..90).contains(&before) && before == after, "{before} and {after} of 100");
}
