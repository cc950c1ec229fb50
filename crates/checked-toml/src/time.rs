//! Parses and formats durations such as `"1.5s"`.

use std::time::Duration;

/// Units of a duration, with their lengths in microseconds.
const UNITS: [(&str, f64); 4] = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6)];

/// Exclusive upper limit of a duration, in microseconds: one year.
const MAX_MICROS: f64 = 365.0 * 86_400e6;

/// Parses a duration such as `"150us"`, `"20ms"`, `"1.5s"` or `"2min"`. Returns `None` for any other text, and for
/// durations of a year or more.
pub fn parse_time(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (count, unit) = text.split_at(split);
    let micros = count.parse::<f64>().ok()? * UNITS.iter().find(|(name, _)| *name == unit)?.1;
    (micros < MAX_MICROS).then(|| Duration::from_micros(micros.round() as u64))
}

/// Formats a duration as a whole number of the largest possible unit, in a form that [`parse_time`] reads. Fractions of a
/// microsecond are dropped.
pub fn time_text(time: Duration) -> String {
    let micros = time.as_micros();
    match micros {
        0 => "0s".into(),
        _ if micros.is_multiple_of(60_000_000) => format!("{}min", micros / 60_000_000),
        _ if micros.is_multiple_of(1_000_000) => format!("{}s", micros / 1_000_000),
        _ if micros.is_multiple_of(1_000) => format!("{}ms", micros / 1_000),
        _ => format!("{micros}us"),
    }
}
