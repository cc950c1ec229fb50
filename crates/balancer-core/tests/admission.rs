//! Admission control: what is refused before it is sent, at one node and at hundreds.

use balancer_core::admission::{AdmissionController, AttemptEnd};
use balancer_core::{RequestClass, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1_000)
}

fn full(full: bool) -> AttemptEnd {
    if full {
        AttemptEnd::QueueFull
    } else {
        AttemptEnd::Answered
    }
}

/// Two classes of equal worth, of which the second takes four times the work.
const WORK: [f64; 2] = [1.0, 4.0];

fn classes() -> Vec<RequestClass> {
    vec![RequestClass::default(), RequestClass::default()]
}

/// The parts of each class that the controller admits, of 1,000 requests each within a second from `from` on.
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

#[test]
fn a_new_controller_admits_everything_and_does_so_still_while_a_few_attempts_fail() {
    // The danger: a node's first second, and a few bad servers among many, refuse for nothing.
    let mut controller = AdmissionController::default();
    assert_eq!(admitted(&mut controller, 0), [1.0, 1.0]);
    (0..1_000).for_each(|i| controller.record(at(1_000 + i), full(i % 20 == 0)));
    assert!(controller.level() > 0.9, "{}", controller.level());
}

#[test]
fn what_is_worth_least_for_its_work_is_refused_first_and_each_class_keeps_a_part() {
    let mut controller = AdmissionController::default();
    (0..12).for_each(|_| controller.record(at(0), AttemptEnd::QueueFull));
    let level = controller.level();
    assert!((0.4..0.6).contains(&level), "{level}");
    let [light, heavy] = admitted(&mut controller, 0);
    // Half of the work: the light class has a fifth of it, and is let in whole.
    assert!(light > 0.98, "{light}");
    assert!((heavy - (1.0 - (1.0 - level) * 5.0 / 4.0)).abs() < 0.05, "{heavy} at {level}");
    (0..100).for_each(|_| controller.record(at(1_000), AttemptEnd::QueueFull));
    let [light, heavy] = admitted(&mut controller, 1_000);
    assert!((0.05..0.95).contains(&light) && (0.05..0.2).contains(&heavy), "{light} and {heavy}");
}

#[test]
fn admission_is_full_again_within_a_hundred_answers_after_an_overload() {
    // The danger: a fleet that answers again is refused to for tens of seconds by nodes that see ten answers a second.
    let mut controller = AdmissionController::default();
    (0..100).for_each(|i| controller.record(at(i * 10), AttemptEnd::QueueFull));
    assert!(controller.level() < 0.15, "{}", controller.level());
    // 15 answers a second, from 2 s later on.
    (0..100).for_each(|i| controller.record(at(3_000 + i * 66), AttemptEnd::Answered));
    assert_eq!(controller.level(), 1.0);
}

/// What `nodes` controllers come to that share a fleet which bears `bears` of what is asked: their mean level after each has seen
/// 400 ends. An attempt comes to nothing as often as there are too many.
fn settled(nodes: u64, bears: f64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(nodes);
    let mut controllers = vec![AdmissionController::default(); nodes as usize];
    let mean = |controllers: &[AdmissionController]| {
        controllers.iter().map(AdmissionController::level).sum::<f64>() / nodes as f64
    };
    let mut late = Vec::new();
    for round in 0..400u64 {
        let lost = (1.0 - bears / mean(&controllers)).max(0.0);
        for controller in &mut controllers {
            // The more the node admits, the more ends it sees; each round is a part of a second.
            if rng.f64() < controller.level() {
                controller.record(at(round * 50), full(rng.f64() < lost));
            }
        }
        late.extend((round >= 200).then(|| mean(&controllers)));
    }
    late.iter().sum::<f64>() / late.len() as f64
}

#[test]
fn any_number_of_nodes_admits_what_one_would() {
    // No step anywhere: 15 to 17 and 100 to 101 nodes are where the program once had one.
    for bears in [0.3, 0.5, 0.7, 0.9] {
        // One alone, averaged over as many lives.
        let one = (0..100).map(|life| {
            let mut controller = AdmissionController::default();
            let mut rng = fastrand::Rng::with_seed(life);
            let mut late = 0.0;
            for round in 0..400u64 {
                let lost = (1.0 - bears / controller.level()).max(0.0);
                if rng.f64() < controller.level() {
                    controller.record(at(round * 50), full(rng.f64() < lost));
                }
                late += if round >= 200 { controller.level() / 200.0 } else { 0.0 };
            }
            late
        });
        let one = one.sum::<f64>() / 100.0;
        assert!((bears - 0.15..bears + 0.15).contains(&one), "one admits {one:.3} where {bears} is borne");
        for nodes in [2, 15, 16, 17, 60, 100, 101, 300, 450] {
            let all = settled(nodes, bears);
            assert!(
                (all - one).abs() < 0.1,
                "{nodes} nodes admit {all:.3}, one {one:.3}, where {bears} is borne"
            );
        }
    }
}

#[test]
fn a_third_of_the_servers_down_lowers_nothing_and_late_answers_everywhere_do() {
    // The danger: a zone is lost, and the nodes refuse what the other zones have room for.
    let mut dark = AdmissionController::default();
    (0..300).for_each(|i| {
        dark.record(at(i * 60), if i % 3 == 0 { AttemptEnd::TimedOut } else { AttemptEnd::Answered })
    });
    assert!(dark.level() > 0.9, "{}", dark.level());
    let mut slow = AdmissionController::default();
    (0..300).for_each(|i| {
        slow.record(at(i * 60), if i % 3 == 0 { AttemptEnd::Late } else { AttemptEnd::Answered })
    });
    assert!(slow.level() < 0.5, "{}", slow.level());
}

#[test]
fn a_class_that_stands_elsewhere_from_here_on_is_refused_as_before() {
    let mut controller = AdmissionController::default();
    (0..12).for_each(|_| controller.record(at(0), AttemptEnd::QueueFull));
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
