//! Maps the platform's settings to [`Settings`].

use super::error::PlatformError;
use super::fields::{parse_flag, Fields};
use crate::names::Name;
use crate::settings::{CacheMode, DeduplicationScope, Idempotency, RequestClass, Settings, Tenant};
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

/// Maximum duration in settings: a year, which can safely be added to any point in time.
const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 3_600);
/// Maximum number of characters of a value that an error shows.
const MAX_SHOWN_CHARS: usize = 60;

/// How to treat a value that has the right type but is invalid: a number out of range, or an unknown word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidValuePolicy {
    /// Report an error.
    Fail,
    /// Use the default instead.
    UseDefault,
}

/// The result of parsing a value.
enum Parsed<T> {
    Valid(T),
    /// The value has the right type, but is out of range or unknown.
    Invalid,
    WrongType,
}

impl<T> Parsed<T> {
    /// Classifies a parsed value: valid if `is_valid` holds, and of the wrong type if it is `None`.
    fn valid_if(value: Option<T>, is_valid: impl Fn(&T) -> bool) -> Self {
        match value {
            Some(value) if is_valid(&value) => Self::Valid(value),
            Some(_) => Self::Invalid,
            None => Self::WrongType,
        }
    }
}

/// Reads the settings of a configuration from pairs of path and value.
///
/// # Errors
///
/// [`PlatformError::InvalidSetting`] for an invalid value, [`PlatformError::MissingSetting`] for a class or
/// tenant without a name.
pub fn read_settings(pairs: &[(String, String)]) -> Result<Settings, PlatformError> {
    let fields = Fields::of_pairs(pairs);
    SettingsReader { fields: &fields, on_invalid: InvalidValuePolicy::Fail }.settings()
}

/// Reads the settings of a wire message. Numbers out of range and unknown words are replaced by defaults: an
/// adapter that ended because of them would end all instances with it.
///
/// # Errors
///
/// [`PlatformError::InvalidSetting`] for a value of the wrong type, [`PlatformError::MissingSetting`] for a
/// class or tenant without a name.
pub fn read_wire_settings(fields: &Fields) -> Result<Settings, PlatformError> {
    SettingsReader { fields, on_invalid: InvalidValuePolicy::UseDefault }.settings()
}

struct SettingsReader<'a> {
    fields: &'a Fields<'a>,
    on_invalid: InvalidValuePolicy,
}

impl SettingsReader<'_> {
    fn settings(&self) -> Result<Settings, PlatformError> {
        let base = Settings::default();
        let classes = self.classes()?;
        let tenants = self.tenants()?;
        let mode = self.cache_mode()?;
        let sends_retry_after = self.flag("limits.retry_after")?.unwrap_or(false);
        Ok(Settings {
            zone: self.fields.text("az").map(Name::from),
            nodes: self.count("balancers", 1)?.unwrap_or(base.nodes),
            classes,
            tenants,
            over_quota_weight_fraction: self
                .number("over_share_worth", 1.0)?
                .unwrap_or(base.over_quota_weight_fraction),
            mode,
            weights_reflect_speed: matches!(self.fields.text("weights"), None | Some("nominal")),
            discovery_is_polled: self.fields.text("membership_mode") == Some("subscribe"),
            start_times_reported: base.start_times_reported,
            max_attempts: self.count("limits.most_tries", 1)?.unwrap_or(base.max_attempts),
            hedging_allowed: self.flag("limits.second_copies")?.unwrap_or(base.hedging_allowed),
            cancellation_allowed: self.flag("limits.cancelling")?.unwrap_or(base.cancellation_allowed),
            health_checks_allowed: self.flag("limits.probing")?.unwrap_or(base.health_checks_allowed),
            max_retry_after: self
                .duration_or("limits.max_retry_after_us", base.max_retry_after)?
                .saturating_mul(sends_retry_after.into()),
            connect_timeout: self.duration_or("limits.connect_timeout_us", base.connect_timeout)?,
            server_idle_timeout: self.duration_or("limits.keepalive_us", base.server_idle_timeout)?,
            slow_start_min_fraction: self
                .number("safety.cold_share", 1.0)?
                .unwrap_or(base.slow_start_min_fraction),
            slow_start_window: self.duration_or("safety.warm_within_us", base.slow_start_window)?,
            slow_start_overload_factor: self
                .number("safety.fall_multiple", f64::MAX)?
                .unwrap_or(base.slow_start_overload_factor),
            slow_start_overload_window: self
                .duration_or("safety.fall_us", base.slow_start_overload_window)?,
            max_poll_interval: self.duration_or("safety.ask_within_us", base.max_poll_interval)?,
            drain_grace: self.duration_or("safety.stop_sending_within_us", base.drain_grace)?,
        })
    }

    fn classes(&self) -> Result<Vec<RequestClass>, PlatformError> {
        let count = self.count("lanes.count", 0)?.unwrap_or(0);
        (0..count).map(|index: i32| self.class(index)).collect()
    }

    fn class(&self, index: i32) -> Result<RequestClass, PlatformError> {
        let path = |name: &str| format!("lanes.{index}.{name}");
        let base = RequestClass::default();
        let idempotency = self.idempotency(index)?;
        Ok(RequestClass {
            name: self.name(&path("name"))?,
            idempotency,
            latency_objective: self.duration_or(&path("promise_us"), base.latency_objective)?,
            deadline: self.duration_or(&path("hard_limit_us"), base.deadline)?,
            priority_weight: self.number(&path("worth"), f64::MAX)?.unwrap_or(base.priority_weight),
            late_weight_fraction: self.number(&path("late_value"), 1.0)?.unwrap_or(base.late_weight_fraction),
        })
    }

    /// Reads the idempotency of a class. Unset values default to the safest assumption.
    fn idempotency(&self, class: i32) -> Result<Idempotency, PlatformError> {
        let path = |name: &str| format!("lanes.{class}.{name}");
        let window = self.duration_or(&path("repeat_window_us"), Duration::ZERO)?;
        let scopes = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ];
        let scope = self.word(&path("dedup_scope"), &scopes)?.unwrap_or(DeduplicationScope::Cell);
        let effects = [
            ("safe", Idempotency::Idempotent),
            ("keyed", Idempotency::WithKey { scope, window }),
            ("unsafe", Idempotency::NotIdempotent),
        ];
        Ok(self.word(&path("effect"), &effects)?.unwrap_or(Idempotency::NotIdempotent))
    }

    fn tenants(&self) -> Result<Vec<Tenant>, PlatformError> {
        let count = self.count("orgs.count", 0)?.unwrap_or(0);
        (0..count).map(|index: i32| self.tenant(index)).collect()
    }

    fn tenant(&self, index: i32) -> Result<Tenant, PlatformError> {
        let name = self.name(&format!("orgs.{index}.name"))?;
        let quota = self.number(&format!("orgs.{index}.quota_per_s"), f64::MAX)?;
        Ok(Tenant { name, quota_per_second: quota.unwrap_or(f64::INFINITY) })
    }

    /// Reads the cache mode. `family_info.origin_kind` is the index of the origin's kind in the list
    /// `shapes`.
    fn cache_mode(&self) -> Result<CacheMode, PlatformError> {
        let origin_kind = self.count::<i64>("family_info.origin_kind", -1)?.unwrap_or(-1);
        let mut kinds = self.fields.text("shapes").unwrap_or("").split(',');
        let origin_kind = usize::try_from(origin_kind).ok().and_then(|index| kinds.nth(index));
        Ok(match (self.fields.text("family_info.mode"), origin_kind) {
            (Some("aside"), Some(kind)) => CacheMode::Aside { origin_kind: kind.into() },
            _ => CacheMode::Through,
        })
    }

    /// Reads a setting. Returns `None` if it is not set or the default is used instead of its value.
    fn setting<T>(
        &self,
        name: &str,
        expected: &str,
        parse: impl Fn(&str) -> Parsed<T>,
    ) -> Result<Option<T>, PlatformError> {
        let Some(text) = self.fields.text(name) else { return Ok(None) };
        match parse(text) {
            Parsed::Valid(value) => Ok(Some(value)),
            Parsed::Invalid if self.on_invalid == InvalidValuePolicy::UseDefault => Ok(None),
            Parsed::Invalid | Parsed::WrongType => Err(PlatformError::InvalidSetting {
                name: name.to_owned(),
                expected: expected.to_owned(),
                found: text.chars().take(MAX_SHOWN_CHARS).collect(),
            }),
        }
    }

    /// Reads a whole number from `min` up.
    fn count<T>(&self, name: &str, min: T) -> Result<Option<T>, PlatformError>
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let expected = format!("a whole number from {min} up");
        self.setting(name, &expected, |text| Parsed::valid_if(text.parse::<T>().ok(), |count| *count >= min))
    }

    /// Reads a number from 0 to `max`.
    fn number(&self, name: &str, max: f64) -> Result<Option<f64>, PlatformError> {
        let upper = if max < f64::MAX { format!("to {max}") } else { "up".into() };
        let expected = format!("a number from 0 {upper}");
        self.setting(name, &expected, |text| {
            Parsed::valid_if(text.parse::<f64>().ok(), |number| (0.0..=max).contains(number))
        })
    }

    /// Reads a duration in microseconds. Returns `default` if it is not set.
    fn duration_or(&self, name: &str, default: Duration) -> Result<Duration, PlatformError> {
        // Only a configuration is limited to the maximum duration: on the wire every number is a valid
        // duration.
        let is_bounded = self.on_invalid == InvalidValuePolicy::Fail;
        let expected = "a whole number of microseconds, at most a year";
        let duration = self.setting(name, expected, |text| {
            let duration = text.parse().ok().map(Duration::from_micros);
            Parsed::valid_if(duration, |duration| !is_bounded || *duration <= MAX_DURATION)
        })?;
        Ok(duration.unwrap_or(default))
    }

    fn flag(&self, name: &str) -> Result<Option<bool>, PlatformError> {
        self.setting(name, "true or false", |text| Parsed::valid_if(parse_flag(text), |_| true))
    }

    /// Reads a setting that is one of `words`, and returns the meaning of its word.
    fn word<T: Copy>(&self, name: &str, words: &[(&str, T)]) -> Result<Option<T>, PlatformError> {
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let expected = format!("one of {}", known.join(", "));
        self.setting(name, &expected, |text| {
            let known = words.iter().find(|(word, _)| *word == text);
            known.map_or(Parsed::Invalid, |(_, meaning)| Parsed::Valid(*meaning))
        })
    }

    /// Reads a name, which is required.
    fn name(&self, path: &str) -> Result<Name, PlatformError> {
        let missing = || PlatformError::MissingSetting { name: path.to_owned(), expected: "a name" };
        self.fields.text(path).filter(|text| !text.is_empty()).map(Name::from).ok_or_else(missing)
    }
}
