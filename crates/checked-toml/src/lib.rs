//! Reads TOML and reports all faults of a file at once, each with file, line, field and what was expected.
//!
//! [`Document::read`] parses a text and passes the top [`Table`] to a function, which reads the fields. A getter that finds a
//! fault records it and returns `None`, so that the function continues and the other faults are found, too. Keys that no getter
//! has asked for are faults.

mod time;

pub use time::{parse_time, time_text};

use std::cell::RefCell;
use std::collections::{btree_map::Entry, BTreeMap, BTreeSet};
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A fault of a file, and its place.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {field}: {problem}")]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The path of the field, such as `box[0].name`.
    pub field: String,
    /// What was expected, and what was found.
    pub problem: String,
}

/// A document that is being read.
#[derive(Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Document<'a> {
    /// Parses `text` and reads it with `reading`, which gets the top table. `file` is the name that faults give it.
    ///
    /// # Errors
    /// All faults, in the order of their lines.
    pub fn read<T>(file: &'a str, text: &'a str, reading: impl FnOnce(&Table) -> T) -> Result<T, Vec<Fault>> {
        let document = Document { file, text, faults: RefCell::default() };
        let parsed = DeTable::parse(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            document.fault(at, "TOML", error.message().replace('\n', ", "));
            document.faults.take()
        })?;
        let top = Table {
            document: &document,
            path: String::new(),
            at: 0,
            table: parsed.get_ref(),
            known: RefCell::default(),
        };
        let value = reading(&top);
        top.finish();
        let mut faults = document.faults.take();
        faults.sort_by_key(|fault| fault.line);
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(faults)
        }
    }

    fn fault(&self, at: usize, field: &str, problem: String) {
        let line = 1 + self.text[..at.min(self.text.len())].matches('\n').count();
        self.faults.borrow_mut().push(Fault { file: self.file.into(), line, field: field.into(), problem });
    }
}

/// A table of a document. Fields that a getter asks for are known; all others are faults at the end of the reading.
#[derive(Debug)]
pub struct Table<'d> {
    document: &'d Document<'d>,
    path: String,
    /// The offset of the table in the text.
    at: usize,
    table: &'d DeTable<'d>,
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'d> Table<'d> {
    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn path_of_item(&self, name: &str, index: usize) -> String {
        format!("{}[{index}]", self.path_of(name))
    }

    fn get(&self, name: &'static str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.known.borrow_mut().insert(name);
        self.table.get(name)
    }

    /// Records a fault of a field of this table.
    pub fn fault(&self, name: &str, problem: impl Into<String>) {
        let at = self.table.get(name).map_or(self.at, |value| value.span().start);
        self.document.fault(at, &self.path_of(name), problem.into());
    }

    /// Parses the value of a field. Returns `None` if the field is missing, or if `parse` does: the latter is a fault.
    fn parsed<T>(
        &self,
        name: &'static str,
        expected: &dyn Display,
        parse: impl Fn(&DeValue) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(name)?.get_ref();
        let parsed = parse(value);
        if parsed.is_none() {
            self.fault(name, format!("expected {expected}, found {}", shown(value)));
        }
        parsed
    }

    /// Reads a text that satisfies `accept`. `expected` describes it in faults.
    pub fn text(&self, name: &'static str, expected: &str, accept: impl Fn(&str) -> bool) -> Option<String> {
        self.parsed(name, &expected, |value| value.as_str().filter(|text| accept(text)).map(str::to_owned))
    }

    /// Reads a text and parses it. `expected` describes it in faults.
    pub fn parse<T: FromStr>(&self, name: &'static str, expected: &str) -> Option<T> {
        self.parsed(name, &expected, |value| value.as_str()?.parse().ok())
    }

    /// Whether there is a field of this name, valid or not.
    pub fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Reads one of these words and returns its index.
    pub fn one_of(&self, name: &'static str, words: &[&str]) -> Option<usize> {
        let expected = format!("one of {}", words.join(", "));
        self.parsed(name, &expected, |value| words.iter().position(|word| value.as_str() == Some(word)))
    }

    /// Reads `true` or `false`.
    pub fn flag(&self, name: &'static str) -> Option<bool> {
        self.parsed(name, &"true or false", |value| value.as_bool())
    }

    /// Reads a number in this range.
    pub fn number(&self, name: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.parsed(name, &expected, |value| number(value).filter(|number| range.contains(number)))
    }

    /// Reads a whole number in this range.
    pub fn count(&self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.parsed(name, &expected, |value| whole(value).filter(|count| range.contains(count)))
    }

    /// Reads a time in this range, such as `"1.5s"`.
    pub fn time(&self, name: &'static str, range: RangeInclusive<Duration>) -> Option<Duration> {
        let expected =
            format!("a time from \"{}\" to \"{}\"", time_text(*range.start()), time_text(*range.end()));
        self.parsed(name, &expected, |value| {
            value.as_str().and_then(parse_time).filter(|time| range.contains(time))
        })
    }

    /// Reads a list of texts that satisfy `accept`. `expected` describes it in faults.
    pub fn texts(
        &self,
        name: &'static str,
        expected: &str,
        accept: impl Fn(&str) -> bool,
    ) -> Option<Vec<String>> {
        self.parsed(name, &expected, |value| {
            let items = value.as_array()?.iter().map(|item| item.get_ref().as_str());
            items.map(|text| text.filter(|text| accept(text)).map(str::to_owned)).collect()
        })
    }

    /// Reads a text, or a list of 1 to `most` different texts, and parses each. `expected` describes a text in faults.
    pub fn parse_set<T: FromStr + Ord>(
        &self,
        name: &'static str,
        expected: &str,
        most: usize,
    ) -> Option<Vec<T>> {
        let value = self.get(name)?.get_ref();
        let one_or_more = format!("{expected}, or a list of 1 to {most}");
        let Some(items) = value.as_array() else {
            return self.parse(name, &one_or_more).map(|only| vec![only]);
        };
        if !(1..=most).contains(&items.len()) {
            self.fault(name, format!("expected {one_or_more}, found a list of {}", items.len()));
            return None;
        }
        self.distinct_items(name, expected, items)
    }

    /// Parses the texts of a list, which must all be different.
    fn distinct_items<T: FromStr + Ord>(
        &self,
        name: &'static str,
        expected: &str,
        items: &[Spanned<DeValue>],
    ) -> Option<Vec<T>> {
        let mut first_indices = BTreeMap::new();
        for (index, item) in items.iter().enumerate() {
            let parsed = item.get_ref().as_str().and_then(|text| text.parse::<T>().ok());
            let problem = match parsed.map(|value| first_indices.entry(value)) {
                None => format!("expected {expected}, found {}", shown(item.get_ref())),
                Some(Entry::Vacant(entry)) => {
                    entry.insert(index);
                    continue;
                }
                Some(Entry::Occupied(first)) => {
                    let first = self.path_of_item(name, *first.get());
                    let again = shown(item.get_ref());
                    format!("expected each once, found {again} again, which stands at {first}")
                }
            };
            self.document.fault(item.span().start, &self.path_of_item(name, index), problem);
        }
        if first_indices.len() < items.len() {
            return None;
        }
        let mut values: Vec<_> = first_indices.into_iter().collect();
        values.sort_unstable_by_key(|(_, index)| *index);
        Some(values.into_iter().map(|(value, _)| value).collect())
    }

    /// Returns the value of a required field, which a getter has read. A missing field is a fault.
    pub fn need<T: Default>(&self, name: &'static str, value: Option<T>) -> T {
        // The getter has recorded the fault of an invalid value.
        if value.is_none() && !self.table.contains_key(name) {
            self.document.fault(self.at, &self.path_of(name), "is missing".into());
        }
        value.unwrap_or_default()
    }

    /// Reads a table within this one. Returns `None` if it is missing.
    pub fn table<T>(&self, name: &'static str, reading: impl FnOnce(&Table) -> T) -> Option<T> {
        let value = self.get(name)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(self.below(self.path_of(name), value.span().start, table, reading)),
            other => {
                self.fault(name, format!("expected a table, found {}", shown(other)));
                None
            }
        }
    }

    /// Reads each table of an array within this one.
    pub fn tables<T>(&self, name: &'static str, mut reading: impl FnMut(&Table) -> T) -> Vec<T> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.fault(name, format!("expected [[{name}]] tables, found {}", shown(value.get_ref())));
            return Vec::new();
        };
        let mut read = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let path = self.path_of_item(name, i);
            match item.get_ref() {
                DeValue::Table(table) => read.push(self.below(path, item.span().start, table, &mut reading)),
                other => {
                    let problem = format!("expected a table, found {}", shown(other));
                    self.document.fault(item.span().start, &path, problem);
                }
            }
        }
        read
    }

    fn below<T>(&self, path: String, at: usize, table: &DeTable, reading: impl FnOnce(&Table) -> T) -> T {
        let below = Table { document: self.document, path, at, table, known: RefCell::default() };
        let value = reading(&below);
        below.finish();
        value
    }

    /// Records the unknown keys.
    fn finish(&self) {
        let known = self.known.borrow();
        for name in self.table.keys() {
            if !known.contains(name.get_ref().as_ref()) {
                let problem = format!(
                    "unknown key; known here: {}",
                    known.iter().copied().collect::<Vec<_>>().join(", ")
                );
                self.document.fault(name.span().start, &self.path_of(name.get_ref()), problem);
            }
        }
    }
}

/// A value as faults show it.
fn shown(value: &DeValue) -> String {
    match value {
        DeValue::String(text) => {
            let short: String = text.chars().take(40).collect();
            format!("{short:?}")
        }
        DeValue::Integer(integer) => integer.as_str().to_owned(),
        DeValue::Float(float) => float.as_str().to_owned(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(_) => "a date".into(),
        DeValue::Array(_) => "an array".into(),
        DeValue::Table(_) => "a table".into(),
    }
}

fn whole(value: &DeValue) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

fn number(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Integer(_) => whole(value).map(|whole| whole as f64),
        DeValue::Float(float) => float.as_str().parse().ok().filter(|number: &f64| number.is_finite()),
        _ => None,
    }
}
