//! Settings and load reports as the platform words them, on the simulator's wire and in a node's configuration.

use crate::api::*;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Text of the platform's that can't be read.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// A line of the wire.
    #[error("{0}")]
    Line(String),
    /// A setting that is there and of no use.
    #[error("{name}: expected {expected}, found {found:?}")]
    Setting {
        /// Its path.
        name: String,
        /// What it may be.
        expected: String,
        /// What stands there, or the beginning of it.
        found: String,
    },
    /// A setting that must be there.
    #[error("{name}: expected {expected}, found nothing")]
    Missing {
        /// Its path.
        name: String,
        /// What it may be.
        expected: &'static str,
    },
}

impl PlatformError {
    /// Of a line, with this text.
    pub fn new(text: impl Into<String>) -> Self {
        Self::Line(text.into())
    }
}

/// No time in settings is longer: it is safe to add to a clock.
const LONGEST: Duration = Duration::from_secs(366 * 24 * 3_600);

/// The pairs of name and value in a line, or in nested settings.
#[derive(Debug)]
pub struct Fields<'a> {
    line: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
    /// What lies outside its range, and a word that is not known, is an error. On the wire the default stands in for it: an
    /// adapter that ends takes all instances with it.
    strict: bool,
}

impl<'a> Fields<'a> {
    /// Of `rest`, the part of `line` that holds them.
    pub fn new(line: &'a str, rest: &'a str) -> Self {
        Self { line, pairs: rest.split(' ').filter_map(|part| part.split_once('=')).collect(), strict: false }
    }

    /// An error that shows the line.
    pub fn bad(&self, what: &str) -> PlatformError {
        let shown: String = self.line.chars().take(200).collect();
        PlatformError::Line(format!("malformed line, {what}: {shown}"))
    }

    /// The value of this name.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// The value of this name, if it is there.
    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, PlatformError> {
        let parse = |text: &str| text.parse().map_err(|_| self.bad(&format!("unreadable {name}")));
        self.text(name).map(parse).transpose()
    }

    /// The value of this name, which must be there.
    pub fn need<T: FromStr>(&self, name: &str) -> Result<T, PlatformError> {
        self.optional(name)?.ok_or_else(|| self.bad(&format!("no {name}")))
    }

    /// A number from 0 to `most`; one that is not finite or lies outside is passed over.
    pub fn number(&self, name: &str, most: f64) -> Result<Option<f64>, PlatformError> {
        Ok(self.optional::<f64>(name)?.filter(|value| (0.0..=most).contains(value)))
    }

    /// A time in microseconds.
    pub fn micros(&self, name: &str) -> Result<Option<Duration>, PlatformError> {
        Ok(self.optional(name)?.map(Duration::from_micros))
    }

    /// `1`, `0`, `true` or `false`.
    pub fn flag(&self, name: &str) -> Result<Option<bool>, PlatformError> {
        match self.text(name) {
            None => Ok(None),
            Some("1" | "true") => Ok(Some(true)),
            Some("0" | "false") => Ok(Some(false)),
            Some(_) => Err(self.bad(&format!("unreadable {name}"))),
        }
    }

    /// The setting of this name, if it is there and `read` can use it: `None` for what is of the wrong type, and for what is
    /// not and still of no use `Some(None)`.
    fn setting<T>(
        &self,
        name: &str,
        expected: &str,
        read: impl Fn(&str) -> Option<Option<T>>,
    ) -> Result<Option<T>, PlatformError> {
        let Some(text) = self.text(name) else { return Ok(None) };
        match read(text) {
            Some(None) if !self.strict => Ok(None),
            Some(Some(value)) => Ok(Some(value)),
            Some(None) | None => Err(PlatformError::Setting {
                name: name.to_owned(),
                expected: expected.to_owned(),
                found: text.chars().take(60).collect(),
            }),
        }
    }

    fn count<T>(&self, name: &str, least: T) -> Result<Option<T>, PlatformError>
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let read = |text: &str| Some(Some(text.parse::<T>().ok()?).filter(|count| *count >= least));
        self.setting(name, &format!("a whole number from {least} up"), read)
    }

    fn bounded(&self, name: &str, most: f64) -> Result<Option<f64>, PlatformError> {
        let upper = if most < f64::MAX { format!("to {most}") } else { "up".into() };
        let read = |text: &str| Some(Some(text.parse().ok()?).filter(|value| (0.0..=most).contains(value)));
        self.setting(name, &format!("a number from 0 {upper}"), read)
    }

    fn time(&self, name: &str) -> Result<Option<Duration>, PlatformError> {
        let within = |time: &Duration| !self.strict || *time <= LONGEST;
        let read = |text: &str| Some(Some(Duration::from_micros(text.parse().ok()?)).filter(within));
        self.setting(name, "a whole number of microseconds, a year at the most", read)
    }

    fn switch(&self, name: &str) -> Result<Option<bool>, PlatformError> {
        self.setting(name, "true or false", |text| match text {
            "1" | "true" => Some(Some(true)),
            "0" | "false" => Some(Some(false)),
            _ => None,
        })
    }

    /// The place among these words of the one that stands there.
    fn word(&self, name: &str, words: &[&str]) -> Result<Option<usize>, PlatformError> {
        let expected = format!("one of {}", words.join(", "));
        self.setting(name, &expected, |text| Some(words.iter().position(|word| *word == text)))
    }

    fn name(&self, name: &str) -> Result<Name, PlatformError> {
        let missing = || PlatformError::Missing { name: name.to_owned(), expected: "a name" };
        self.text(name).filter(|text| !text.is_empty()).map(Name::from).ok_or_else(missing)
    }
}

/// Reads a load report, its values set apart by commas and each from its name by `separator`. A value goes
/// by its name on the wire or on the sockets; one that is no finite number from 0 up is passed over.
pub fn read_load(text: &str, separator: char) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|part| part.split_once(separator)) {
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "avg_ms" | "latency_ms" => {
                report.service_time = value.map(|ms| Duration::from_micros((ms * 1000.0) as u64));
            }
            "cpu" | "util" => report.cpu_utilization = value,
            "waiting" | "queue" => report.queue_length = value,
            _ => {}
        }
    }
    report
}

/// Reads start-up settings from their pairs of path and value.
pub fn read_settings(pairs: &[(String, String)]) -> Result<Settings, PlatformError> {
    let pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    settings(&Fields { line: "settings", pairs, strict: true })
}

/// The same from a line that holds them.
pub fn settings(fields: &Fields) -> Result<Settings, PlatformError> {
    let base = Settings::default();
    let mut classes = Vec::new();
    for i in 0..fields.count("lanes.count", 0)?.unwrap_or(0) {
        let at = |name: &str| format!("lanes.{i}.{name}");
        let other = RequestClass::default();
        let window = fields.time(&at("repeat_window_us"))?.unwrap_or_default();
        // Of what is not told the most careful.
        let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
        let scope = fields
            .word(&at("dedup_scope"), &["all", "zone", "cell"])?
            .map_or(DeduplicationScope::Cell, |i| scopes[i]);
        let effects =
            [Idempotency::Idempotent, Idempotency::WithKey { scope, window }, Idempotency::NotIdempotent];
        let effect = fields.word(&at("effect"), &["safe", "keyed", "unsafe"])?;
        classes.push(RequestClass {
            name: fields.name(&at("name"))?,
            idempotency: effect.map_or(Idempotency::NotIdempotent, |i| effects[i]),
            latency_objective: fields.time(&at("promise_us"))?.unwrap_or(other.latency_objective),
            deadline: fields.time(&at("hard_limit_us"))?.unwrap_or(other.deadline),
            priority_weight: fields.bounded(&at("worth"), f64::MAX)?.unwrap_or(other.priority_weight),
            late_weight_fraction: fields
                .bounded(&at("late_value"), 1.0)?
                .unwrap_or(other.late_weight_fraction),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..fields.count("orgs.count", 0)?.unwrap_or(0) {
        tenants.push(Tenant {
            name: fields.name(&format!("orgs.{i}.name"))?,
            quota_per_second: fields
                .bounded(&format!("orgs.{i}.quota_per_s"), f64::MAX)?
                .unwrap_or(f64::INFINITY),
        });
    }
    let origin = fields.count::<i64>("family_info.origin_kind", -1)?.unwrap_or(-1);
    let kinds = fields.text("shapes").unwrap_or("");
    let origin_kind = usize::try_from(origin).ok().and_then(|kind| kinds.split(',').nth(kind));
    let retry_after = fields.switch("limits.retry_after")?.unwrap_or(false);
    let or = |name: &str, other: Duration| Ok::<_, PlatformError>(fields.time(name)?.unwrap_or(other));
    Ok(Settings {
        zone: fields.text("az").map(Name::from),
        nodes: fields.count("balancers", 1)?.unwrap_or(base.nodes),
        classes,
        tenants,
        over_quota_weight_fraction: fields
            .bounded("over_share_worth", 1.0)?
            .unwrap_or(base.over_quota_weight_fraction),
        mode: match (fields.text("family_info.mode"), origin_kind) {
            (Some("aside"), Some(kind)) => CacheMode::Aside { origin_kind: kind.into() },
            _ => CacheMode::Through,
        },
        weights_reflect_speed: matches!(fields.text("weights"), None | Some("nominal")),
        discovery_is_polled: fields.text("membership_mode") == Some("subscribe"),
        start_times_reported: base.start_times_reported,
        max_attempts: fields.count("limits.most_tries", 1)?.unwrap_or(base.max_attempts),
        hedging_allowed: fields.switch("limits.second_copies")?.unwrap_or(base.hedging_allowed),
        cancellation_allowed: fields.switch("limits.cancelling")?.unwrap_or(base.cancellation_allowed),
        health_checks_allowed: fields.switch("limits.probing")?.unwrap_or(base.health_checks_allowed),
        max_retry_after: or("limits.max_retry_after_us", base.max_retry_after)?
            .saturating_mul(retry_after.into()),
        connect_timeout: or("limits.connect_timeout_us", base.connect_timeout)?,
        server_idle_timeout: or("limits.keepalive_us", base.server_idle_timeout)?,
        slow_start_min_fraction: fields
            .bounded("safety.cold_share", 1.0)?
            .unwrap_or(base.slow_start_min_fraction),
        slow_start_window: or("safety.warm_within_us", base.slow_start_window)?,
        slow_start_overload_factor: fields
            .bounded("safety.fall_multiple", f64::MAX)?
            .unwrap_or(base.slow_start_overload_factor),
        slow_start_overload_window: or("safety.fall_us", base.slow_start_overload_window)?,
        max_poll_interval: or("safety.ask_within_us", base.max_poll_interval)?,
        drain_grace: or("safety.stop_sending_within_us", base.drain_grace)?,
    })
}
