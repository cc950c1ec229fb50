//! Pairs of name and value, as the platform's messages and settings have them.

use super::error::PlatformError;
use std::str::FromStr;
use std::time::Duration;

/// Most characters of a line that an error shows.
const MAX_SHOWN_CHARS: usize = 200;

/// The pairs of name and value of a message, or of nested settings by their paths.
#[derive(Debug)]
pub struct Fields<'a> {
    line: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// The fields in `rest`, the part of `line` that follows the name of the message: `name=value` pairs with a space
    /// between them.
    pub fn of_line(line: &'a str, rest: &'a str) -> Self {
        Self { line, pairs: rest.split(' ').filter_map(|part| part.split_once('=')).collect() }
    }

    /// These pairs of name and value.
    pub(super) fn of_pairs(pairs: &'a [(String, String)]) -> Self {
        let pairs = pairs.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        Self { line: "settings", pairs }
    }

    /// The line, as far as an error shows it.
    pub fn shown_line(&self) -> String {
        self.line.chars().take(MAX_SHOWN_CHARS).collect()
    }

    /// The value of this name.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// The value of this name, which must be there.
    ///
    /// # Errors
    ///
    /// [`PlatformError::MissingField`] where it is not.
    pub fn required_text(&self, name: &str) -> Result<&'a str, PlatformError> {
        self.text(name).ok_or_else(|| self.missing(name))
    }

    /// The value of this name, if it is there.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] where it is no `T`.
    pub fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, PlatformError> {
        let parse = |text: &str| text.parse().map_err(|_| self.unreadable(name));
        self.text(name).map(parse).transpose()
    }

    /// The value of this name, which must be there.
    ///
    /// # Errors
    ///
    /// [`PlatformError::MissingField`] where it is not, [`PlatformError::UnreadableField`] where it is no `T`.
    pub fn required<T: FromStr>(&self, name: &str) -> Result<T, PlatformError> {
        self.optional(name)?.ok_or_else(|| self.missing(name))
    }

    /// A number from 0 to `max`; `None` for one that lies outside, or is not finite.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] where it is no number.
    pub fn number(&self, name: &str, max: f64) -> Result<Option<f64>, PlatformError> {
        Ok(self.optional::<f64>(name)?.filter(|value| (0.0..=max).contains(value)))
    }

    /// A duration in microseconds.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] where it is no whole number.
    pub fn micros(&self, name: &str) -> Result<Option<Duration>, PlatformError> {
        Ok(self.optional(name)?.map(Duration::from_micros))
    }

    /// A flag: `1`, `0`, `true` or `false`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnreadableField`] where it is another word.
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

/// A flag; `None` for a word that is none.
pub(super) fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}
