//! Fitting lines to the figures of runs of several sizes.

use testbed::random::RandomSource;
use testbed::scale::fit::{fit, FitError, Line, Variable};
use testbed::scale::messages::ReplicaCapacity;
use testbed::scale::plot;
use testbed::scale::propagation::{PropagationFigures, ReadinessFigures};
use testbed::scale::report::{largest_over_mean, ScaleReport, WindowFigures, VERSION};

/// A result in which each node uses 5 us of processor time per second and 40,000 bytes of memory plus 300 for
/// each server. The processor time of all nodes has a constant part of 0.01 s/s as well.
fn result(nodes: u32, servers: u32) -> ScaleReport {
    let node_bytes = 40_000.0 + 300.0 * f64::from(servers);
    let rest = WindowFigures {
        seconds: 10.0,
        hollow_processor_s: 10.0 * (0.01 + 5e-6 * f64::from(nodes)),
        hollow_resident_bytes: (f64::from(nodes) * node_bytes) as u64,
        node_resident_bytes: node_bytes,
        ..WindowFigures::default()
    };
    ScaleReport {
        version: VERSION,
        name: "quiet".into(),
        seed: 1,
        nodes,
        real_nodes: 0,
        servers,
        hollow_processes: 4,
        replicas: 16,
        mechanism: true,
        capacity: ReplicaCapacity {
            lines_per_second: 1.0,
            call_lines: 1.0,
            continued_call_lines: 1.0,
            queue_limit_ms: 1,
        },
        longest_step_delay_ms: 0.0,
        rest,
        active: None,
        propagation: PropagationFigures::default(),
        readiness: ReadinessFigures::default(),
        node_delta_us: None,
        node_snapshot_us: None,
        replica_loads: Vec::new(),
        calls_largest_over_mean: 1.0,
        lines_largest_over_mean: 1.0,
        real: None,
    }
}

#[test]
fn a_line_without_noise_is_fitted_exactly_and_predicts_another_size() {
    let results = [result(500, 100), result(1_000, 200), result(2_000, 400)];
    let fit = fit(&results, Some(&result(5_900, 1_100))).unwrap();
    assert_eq!(fit.predicted_size, Some((5_900, 1_100)));
    let line = |over, name: &str| {
        fit.lines.iter().find(|line| line.over == over && line.figure.contains(name)).unwrap()
    };
    let processor = line(Variable::Nodes, "processor at rest");
    assert!(
        (processor.slope - 5e-6).abs() < 1e-12 && (processor.intercept - 0.01).abs() < 1e-9,
        "{processor:?}"
    );
    assert!(processor.residual_largest < 1e-9);
    let prediction = processor.prediction.unwrap();
    assert!((prediction.predicted - 0.0395).abs() < 1e-9 && prediction.miss.abs() < 1e-9, "{prediction:?}");
    let memory = line(Variable::Servers, "one node's resident");
    assert!((memory.slope - 300.0).abs() < 1e-6 && (memory.intercept - 40_000.0).abs() < 1e-3, "{memory:?}");
    assert!(fit.text().contains("5900 x 1100 predicted"), "{}", fit.text());
}

#[test]
fn a_line_with_noise_is_fitted_within_the_noise() {
    let noise = 0.02;
    let points: Vec<_> = (1..=40)
        .map(|n| {
            let size = f64::from(n) * 100.0;
            let figure = 3.0 + 0.5 * size;
            (size, figure * RandomSource::new(5).derive(n as u64).uniform_between(1.0 - noise, 1.0 + noise))
        })
        .collect();
    let line = Line::least_squares(points).unwrap();
    assert!((line.slope - 0.5).abs() < 0.5 * noise, "{line:?}");
    assert!(line.residual_rms > 0.0 && line.residual_largest > 0.0, "{line:?}");
}

#[test]
fn least_squares_matches_a_line_computed_by_hand() {
    // Points (1, 1), (2, 2), (3, 4): slope 3/2, intercept -2/3, and residuals 1/6, -1/3, 1/6.
    let line = Line::least_squares(vec![(1.0, 1.0), (2.0, 2.0), (3.0, 4.0)]).unwrap();
    assert!((line.slope - 1.5).abs() < 1e-12 && (line.intercept + 2.0 / 3.0).abs() < 1e-12);
    assert!((line.residual_rms - (1.0_f64 / 18.0).sqrt()).abs() < 1e-12);
    assert!((line.residual_largest - 1.0 / 6.0).abs() < 1e-12);
}

#[test]
fn a_prediction_error_is_a_fraction_of_the_measured_figure() {
    let results = [result(500, 100), result(1_000, 200), result(2_000, 400)];
    let mut larger = result(4_000, 800);
    larger.rest.hollow_processor_s *= 2.0;
    let fit = fit(&results, Some(&larger)).unwrap();
    let prediction = fit.lines[0].prediction.unwrap();
    assert!((prediction.miss + 0.5).abs() < 1e-9, "{prediction:?}");
}

#[test]
fn fewer_than_three_sizes_are_rejected() {
    let two = [result(500, 100), result(1_000, 200), result(1_000, 200)];
    assert_eq!(fit(&two, None), Err(FitError::TooFewSizes { found: 2 }));
    assert_eq!(fit(&[], None), Err(FitError::TooFewSizes { found: 0 }));
    assert!(Line::least_squares(vec![(1.0, 1.0), (2.0, 2.0), (2.0, 3.0)]).is_none());
}

#[test]
fn results_of_different_scripts_or_mechanisms_are_rejected() {
    let mut other = result(2_000, 400);
    other.mechanism = false;
    let mixed = fit(&[result(500, 100), result(1_000, 200), other], None).unwrap_err();
    assert_eq!(
        mixed.to_string(),
        "all results have to be of one script, replicas and mechanism: expected quiet with 16 replicas, mechanism on, \
         found quiet with 16 replicas, mechanism off"
    );
}

#[test]
fn a_report_survives_a_round_trip_through_json() {
    let report = result(500, 100);
    assert_eq!(ScaleReport::parse(&report.json().unwrap()).unwrap(), report);
    let newer = report.json().unwrap().replacen("\"version\":1", "\"version\":2", 1);
    assert!(ScaleReport::parse(&newer).unwrap_err().to_string().contains("expected version 1, found 2"));
}

#[test]
fn largest_over_mean_is_the_ratio_or_zero() {
    assert_eq!(largest_over_mean([1.0, 2.0, 3.0].into_iter()), 1.5);
    assert_eq!(largest_over_mean([0.0, 0.0].into_iter()), 0.0);
}

#[test]
fn plots_show_fitted_lines_with_points_and_the_propagation_distribution() {
    let results = [result(500, 100), result(1_000, 200), result(2_000, 400)];
    let fit = fit(&results, Some(&result(5_900, 1_100))).unwrap();
    let svg = plot::fits(&fit).unwrap();
    assert_eq!(svg.matches("<circle").count(), fit.lines.len() * 4);
    // Hollow nodes over two variables, and replicas.
    assert_eq!(svg.matches("processor at rest, s/s").count(), 3);
    let mut report = result(500, 100);
    report.propagation.distribution = vec![(0.0, 1.0), (0.5, 20.0), (1.0, 80.0)];
    assert!(plot::propagation(&report).unwrap().contains("<polyline"));
    // A plot without data does not fail.
    assert!(plot::propagation(&result(500, 100)).unwrap().contains("500 nodes"));
}
