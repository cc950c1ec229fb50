//! Name-value pairs of the platform's messages and settings.

use super::error::PlatformError;
use std::str::FromStr;
use std::time::Duration;

/// Maximum number of characters of a line that an error shows.
const MAX_SHOWN_CHARS: usize = 200;

/// The name-value pairs of a message, or of nested settings with their paths as names.
#[derive(Debug)]
pub struct Fields<'a> {
    line: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Parses `rest`, the part of `line` that follows the name of the message: `name=value` pairs separated
    /// by spaces.
    pub fn of_line(line: &'a str, rest: &'a str) -> Self {
        Self { line, pairs: rest.split(' ').filter_map(|part| part.split_once('=')).collect() }
    }

    /// Creates fields from name-value pairs.
    pub(super) fn of_pairs(pairs: &'a [(String, String)]) -> Self {
        let pairs = pairs.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        Self { line: "settings", pairs }
    }

    /// Returns the part of the line that an error shows.
    pub fn shown_line(&self) -> String {
        self.line.chars().take(MAX_SHOWN_CHARS).collect()
    }

    /// Returns the value of a field.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    ///
    /// [`PlatformError::MissingField`] if the field is missing.
    pub fn required_text(&self, name: &str) -> Result<&'a str, PlatformError> {
        self.text(name).ok_or_else(|| self.missing(name))
    }

    /// Returns the value of an optional field.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] if the value cannot be parsed as a `T`.
    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, PlatformError> {
        let parse = |text: &str| text.parse().map_err(|_| self.unreadable(name));
        self.text(name).map(parse).transpose()
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    ///
    /// [`PlatformError::MissingField`] if the field is missing, [`PlatformError::UnreadableField`] if the
    /// value cannot be parsed as a `T`.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, PlatformError> {
        self.optional(name)?.ok_or_else(|| self.missing(name))
    }

    /// Returns a number from 0 to `max`, or `None` if the number is out of range or not finite.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] if the value is not a number.
    pub fn number(&self, name: &str, max: f64) -> Result<Option<f64>, PlatformError> {
        Ok(self.optional::<f64>(name)?.filter(|value| (0.0..=max).contains(value)))
    }

    /// Returns a duration given in microseconds.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] if the value is not a whole number.
    pub fn micros(&self, name: &str) -> Result<Option<Duration>, PlatformError> {
        Ok(self.optional(name)?.map(Duration::from_micros))
    }

    /// Returns a flag: `1`, `0`, `true` or `false`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] if the value is another word.
    pub fn flag(&self, name: &str) -> Result<Option<bool>, PlatformError> {
        let parse = |text: &str| parse_flag(text).ok_or_else(|| self.unreadable(name));
        self.text(name).map(parse).transpose()
    }

    fn unreadable(&self, name: &str) -> PlatformError {
        PlatformError::UnreadableField { name: name.to_owned(), line: self.shown_line() }
    }

    fn missing(&self, name: &str) -> PlatformError {
        PlatformError::MissingField { name: name.to_owned(), line: self.shown_line() }
    }
}

/// Parses a flag. Returns `None` for any other word.
pub(super) fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}
