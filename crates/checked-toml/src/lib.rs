//! Reads TOML files and reports all faults of a file at once, each with the file, line, field and expected value.
//!
//! [`Document::read`] parses the text and passes the top-level [`Table`] to a closure that reads the fields. A getter
//! that finds a fault records it and returns `None`, so the closure continues and finds the other faults too. A key that
//! no getter reads is also a fault.

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

/// A syntax error or invalid field in a file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {field}: {problem}")]
pub struct Fault {
    /// The file name.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The path of the field, such as `box[0].name`.
    pub field: String,
    /// The problem, usually as the expected and the found value.
    pub problem: String,
}

/// A TOML file that is being read, with the faults found so far.
#[derive(Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Document<'a> {
    /// Parses `text` and passes the top-level table to `read_fields`. Faults show `file` as the file name.
    ///
    /// # Errors
    ///
    /// Returns all faults, ordered by line.
    pub fn read<T>(
        file: &'a str,
        text: &'a str,
        read_fields: impl FnOnce(&Table) -> T,
    ) -> Result<T, Vec<Fault>> {
        let document = Document { file, text, faults: RefCell::default() };
        let parsed = DeTable::parse(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            document.record_fault(offset, "TOML", error.message().replace('\n', ", "));
            document.faults.take()
        })?;
        let top = Table {
            document: &document,
            path: String::new(),
            offset: 0,
            table: parsed.get_ref(),
            known: RefCell::default(),
        };
        let value = read_fields(&top);
        top.record_unknown_keys();
        let mut faults = document.faults.take();
        faults.sort_by_key(|fault| fault.line);
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(faults)
        }
    }

    /// Records a fault at a byte offset of the text.
    fn record_fault(&self, offset: usize, field: &str, problem: String) {
        let line = 1 + self.text[..offset.min(self.text.len())].matches('\n').count();
        self.faults.borrow_mut().push(Fault { file: self.file.into(), line, field: field.into(), problem });
    }
}

/// A table of a document.
///
/// The getters mark the fields that they read as known. Any other key of the table is reported as a fault once the table
/// has been read.
#[derive(Debug)]
pub struct Table<'d> {
    document: &'d Document<'d>,
    /// Path of the table, such as `box[0]`; empty for the top-level table.
    path: String,
    /// Byte offset of the table in the text.
    offset: usize,
    table: &'d DeTable<'d>,
    /// Names of the fields that a getter has read, present in the file or not.
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'d> Table<'d> {
    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn item_path(&self, name: &str, index: usize) -> String {
        format!("{}[{index}]", self.field_path(name))
    }

    fn get(&self, name: &'static str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.known.borrow_mut().insert(name);
        self.table.get(name)
    }

    /// Records a fault of a field of this table.
    pub fn fault(&self, name: &str, problem: impl Into<String>) {
        let offset = self.table.get(name).map_or(self.offset, |value| value.span().start);
        self.document.record_fault(offset, &self.field_path(name), problem.into());
    }

    /// Parses the value of a field. Returns `None` if the field is missing. If `parse` returns `None`, records a fault and
    /// returns `None`.
    fn parsed<T>(
        &self,
        name: &'static str,
        expected: &dyn Display,
        parse: impl Fn(&DeValue) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(name)?.get_ref();
        let parsed = parse(value);
        if parsed.is_none() {
            self.fault(name, format!("expected {expected}, found {}", describe(value)));
        }
        parsed
    }

    /// Reads a string that satisfies `accept`. `expected` describes valid strings in faults.
    pub fn text(&self, name: &'static str, expected: &str, accept: impl Fn(&str) -> bool) -> Option<String> {
        self.parsed(name, &expected, |value| value.as_str().filter(|text| accept(text)).map(str::to_owned))
    }

    /// Reads a string and parses it. `expected` describes valid strings in faults.
    pub fn parse<T: FromStr>(&self, name: &'static str, expected: &str) -> Option<T> {
        self.parsed(name, &expected, |value| value.as_str()?.parse().ok())
    }

    /// Returns whether the table has a field of this name, valid or not.
    pub fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Reads a string that must be one of `choices`, and returns its index.
    pub fn one_of(&self, name: &'static str, choices: &[&str]) -> Option<usize> {
        let expected = format!("one of {}", choices.join(", "));
        self.parsed(name, &expected, |value| choices.iter().position(|choice| value.as_str() == Some(choice)))
    }

    /// Reads a boolean.
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
        self.parsed(name, &expected, |value| unsigned_integer(value).filter(|count| range.contains(count)))
    }

    /// Reads a duration in this range, such as `"1.5s"`.
    pub fn time(&self, name: &'static str, range: RangeInclusive<Duration>) -> Option<Duration> {
        let expected =
            format!("a time from \"{}\" to \"{}\"", time_text(*range.start()), time_text(*range.end()));
        self.parsed(name, &expected, |value| {
            value.as_str().and_then(parse_time).filter(|time| range.contains(time))
        })
    }

    /// Reads an array of strings that all satisfy `accept`. `expected` describes the array in faults.
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

    /// Reads one string, or an array of 1 to `max_items` strings, and parses each. The parsed values must be distinct.
    /// `expected` describes a single valid string in faults.
    pub fn parse_set<T: FromStr + Ord>(
        &self,
        name: &'static str,
        expected: &str,
        max_items: usize,
    ) -> Option<Vec<T>> {
        let value = self.get(name)?.get_ref();
        let one_or_more = format!("{expected}, or a list of 1 to {max_items}");
        let Some(items) = value.as_array() else {
            return self.parse(name, &one_or_more).map(|only| vec![only]);
        };
        if !(1..=max_items).contains(&items.len()) {
            self.fault(name, format!("expected {one_or_more}, found a list of {}", items.len()));
            return None;
        }
        self.distinct_items(name, expected, items)
    }

    /// Parses the strings of an array. The parsed values must be distinct.
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
                None => format!("expected {expected}, found {}", describe(item.get_ref())),
                Some(Entry::Vacant(entry)) => {
                    entry.insert(index);
                    continue;
                }
                Some(Entry::Occupied(first)) => {
                    let first = self.item_path(name, *first.get());
                    let repeated = describe(item.get_ref());
                    format!("expected each once, found {repeated} again, which stands at {first}")
                }
            };
            self.document.record_fault(item.span().start, &self.item_path(name, index), problem);
        }
        if first_indices.len() < items.len() {
            return None;
        }
        let mut values: Vec<_> = first_indices.into_iter().collect();
        values.sort_unstable_by_key(|(_, index)| *index);
        Some(values.into_iter().map(|(value, _)| value).collect())
    }

    /// Returns the value that a getter returned for a required field, or the default value of `T` if it returned `None`.
    /// Records a fault if the field is missing.
    pub fn need<T: Default>(&self, name: &'static str, value: Option<T>) -> T {
        // If the field is present but invalid, the getter has already recorded a fault.
        if value.is_none() && !self.table.contains_key(name) {
            self.document.record_fault(self.offset, &self.field_path(name), "is missing".into());
        }
        value.unwrap_or_default()
    }

    /// Reads a nested table. Returns `None` if it is missing, and records a fault if the field is not a table.
    pub fn table<T>(&self, name: &'static str, read_fields: impl FnOnce(&Table) -> T) -> Option<T> {
        let value = self.get(name)?;
        match value.get_ref() {
            DeValue::Table(table) => {
                Some(self.read_nested(self.field_path(name), value.span().start, table, read_fields))
            }
            other => {
                self.fault(name, format!("expected a table, found {}", describe(other)));
                None
            }
        }
    }

    /// Reads each table of an array of tables. Returns an empty list if the field is missing, and records a fault if the
    /// field or one of its items has another type.
    pub fn tables<T>(&self, name: &'static str, mut read_fields: impl FnMut(&Table) -> T) -> Vec<T> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.fault(name, format!("expected [[{name}]] tables, found {}", describe(value.get_ref())));
            return Vec::new();
        };
        let mut read = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = self.item_path(name, index);
            match item.get_ref() {
                DeValue::Table(table) => {
                    read.push(self.read_nested(path, item.span().start, table, &mut read_fields))
                }
                other => {
                    let problem = format!("expected a table, found {}", describe(other));
                    self.document.record_fault(item.span().start, &path, problem);
                }
            }
        }
        read
    }

    fn read_nested<T>(
        &self,
        path: String,
        offset: usize,
        table: &DeTable,
        read_fields: impl FnOnce(&Table) -> T,
    ) -> T {
        let nested = Table { document: self.document, path, offset, table, known: RefCell::default() };
        let value = read_fields(&nested);
        nested.record_unknown_keys();
        value
    }

    /// Records a fault for each key that no getter has read.
    fn record_unknown_keys(&self) {
        let known = self.known.borrow();
        for name in self.table.keys() {
            if !known.contains(name.get_ref().as_ref()) {
                let problem = format!(
                    "unknown key; known here: {}",
                    known.iter().copied().collect::<Vec<_>>().join(", ")
                );
                self.document.record_fault(name.span().start, &self.field_path(name.get_ref()), problem);
            }
        }
    }
}

/// Describes a value for the text of a fault. Strings are cut to 40 characters.
fn describe(value: &DeValue) -> String {
    match value {
        DeValue::String(text) => {
            let start: String = text.chars().take(40).collect();
            format!("{start:?}")
        }
        DeValue::Integer(integer) => integer.as_str().to_owned(),
        DeValue::Float(float) => float.as_str().to_owned(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(_) => "a date".into(),
        DeValue::Array(_) => "an array".into(),
        DeValue::Table(_) => "a table".into(),
    }
}

fn unsigned_integer(value: &DeValue) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

/// Returns the value of an unsigned integer or a finite float.
fn number(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Integer(_) => unsigned_integer(value).map(|integer| integer as f64),
        DeValue::Float(float) => float.as_str().parse().ok().filter(|number: &f64| number.is_finite()),
        _ => None,
    }
}
