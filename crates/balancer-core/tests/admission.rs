//! Admission control: what is rejected before it is sent, by one node and by hundreds.

use balancer_core::admission::{AdmissionController, LoadSignal};
use balancer_core::{RequestClass, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1_000)
}

/// A full queue, or an answer in time.
fn full_queue_if(full: bool) -> LoadSignal {
    if full {
        LoadSignal::QueueFull
    } else {
        LoadSignal::Answered
    }
}

/// Work of the requests of two classes of equal weight.
const WORK: [f64; 2] = [1.0, 4.0];

fn classes() -> Vec<RequestClass> {
    vec![RequestClass::default(), RequestClass::default()]
}

/// The admitted fraction of each class, of 1,000 requests of each in the second from `from` on.
fn admitted(controller: &mut AdmissionController, from: u64) -> [f64; 2] {
    let mut taken = [0; 2];
    for i in 0..1_000 {
        for (class, taken) in taken.iter_mut().enumerate() {
            // Spread evenly, and not in the order of time.
            let random = (i * 617 % 1_000) as f64 / 1_000.0;
            let admitted = controller.admits(at(from + i), class, &classes(), &WORK, random);
            *taken += u32::from(admitted);
        }
    }
    taken.map(|taken| f64::from(taken) / 1_000.0)
}

/// A node in its first second, or one that meets a few bad servers among many, must not reject requests: the
/// fleet has capacity, and clients would be rejected for nothing.
#[test]
fn a_new_controller_admits_everything_despite_a_few_failures() {
    let mut controller = AdmissionController::default();
    assert_eq!(admitted(&mut controller, 0), [1.0, 1.0]);
    (0..1_000).for_each(|i| controller.record(at(1_000 + i), full_queue_if(i % 20 == 0)));
    assert!(controller.level() > 0.9, "{}", controller.level());
}

/// An overloaded fleet that rejects classes alike serves less weight than it can. One that rejects a class
/// altogether gets no more evidence from it, and never admits it again.
#[test]
fn least_weight_for_its_work_is_rejected_first_and_each_class_keeps_a_part() {
    let mut controller = AdmissionController::default();
    (0..12).for_each(|_| controller.record(at(0), LoadSignal::QueueFull));
    let level = controller.level();
    assert!((0.4..0.6).contains(&level), "{level}");
    let [light, heavy] = admitted(&mut controller, 0);
    // The light class is a fifth of the work, and is admitted whole.
    assert!(light > 0.98, "{light}");
    assert!((heavy - (1.0 - (1.0 - level) * 5.0 / 4.0)).abs() < 0.05, "{heavy} at {level}");
    (0..100).for_each(|_| controller.record(at(1_000), LoadSignal::QueueFull));
    let [light, heavy] = admitted(&mut controller, 1_000);
    assert!((0.05..0.95).contains(&light) && (0.05..0.2).contains(&heavy), "{light} and {heavy}");
}

/// A fleet that answers again must not be spared for tens of seconds by nodes that see ten answers a second.
#[test]
fn admission_is_full_again_a_hundred_answers_after_an_overload() {
    let mut controller = AdmissionController::default();
    (0..100).for_each(|i| controller.record(at(i * 10), LoadSignal::QueueFull));
    assert!(controller.level() < 0.15, "{}", controller.level());
    // 15 answers a second, from 2 s later on.
    (0..100).for_each(|i| controller.record(at(3_000 + i * 66), LoadSignal::Answered));
    assert_eq!(controller.level(), 1.0);
}

/// The mean level of `nodes` controllers that share a fleet with this capacity, as a fraction of the demand, after 400
/// rounds. An attempt fails with the probability by which the admitted demand exceeds the capacity.
fn settled_level(nodes: u64, capacity: f64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(nodes);
    let mut controllers = vec![AdmissionController::default(); nodes as usize];
    let mean = |controllers: &[AdmissionController]| {
        controllers.iter().map(AdmissionController::level).sum::<f64>() / nodes as f64
    };
    let mut late = Vec::new();
    for round in 0..400u64 {
        let lost = (1.0 - capacity / mean(&controllers)).max(0.0);
        for controller in &mut controllers {
            // The more a node admits, the more results it sees. A round is 50 ms.
            if rng.f64() < controller.level() {
                controller.record(at(round * 50), full_queue_if(rng.f64() < lost));
            }
        }
        late.extend((round >= 200).then(|| mean(&controllers)));
    }
    late.iter().sum::<f64>() / late.len() as f64
}

/// Nodes that share a fleet must together admit what one would. A rule that depends on the number of nodes
/// fails where a fleet grows past a threshold: the nodes then overload it, or reject what it could serve.
#[test]
fn any_number_of_nodes_admits_what_one_would() {
    // Numbers of nodes side by side (15 to 17, 100 and 101) show a step if there is one.
    for capacity in [0.3, 0.5, 0.7, 0.9] {
        // One controller alone, averaged over 100 runs.
        let one = (0..100).map(|seed| {
            let mut controller = AdmissionController::default();
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut late = 0.0;
            for round in 0..400u64 {
                let lost = (1.0 - capacity / controller.level()).max(0.0);
                if rng.f64() < controller.level() {
                    controller.record(at(round * 50), full_queue_if(rng.f64() < lost));
                }
                late += if round >= 200 { controller.level() / 200.0 } else { 0.0 };
            }
            late
        });
        let one = one.sum::<f64>() / 100.0;
        assert!(
            (capacity - 0.15..capacity + 0.15).contains(&one),
            "one node admits {one:.3} at a capacity of {capacity}"
        );
        for nodes in [2, 15, 16, 17, 60, 100, 101, 300, 450] {
            let all = settled_level(nodes, capacity);
            assert!(
                (all - one).abs() < 0.1,
                "{nodes} nodes admit {all:.3}, one {one:.3}, at a capacity of {capacity}"
            );
        }
    }
}

/// When a zone is lost, a third of the attempts time out. Nodes that took that for overload would reject what
/// the other zones have capacity for. Late answers everywhere are overload.
#[test]
fn time_outs_at_a_third_of_servers_lower_nothing_and_late_answers_do() {
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

/// After a reload that changes the order of classes, one class must not be rejected in the place of another.
#[test]
fn a_class_that_changes_places_is_rejected_as_before() {
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
