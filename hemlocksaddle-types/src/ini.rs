//! Strict reading of INI text.
//!
//! The library accepts repeated sections and keys and leaves unknown ones to its
//! caller. Documents and settings refuse all of these, because a misspelt key
//! would silently keep a default. Values are taken out one by one; what is left
//! at the end is unknown and is reported together with what is allowed. Quotes,
//! escapes and values of several lines are not supported.

use std::{collections::BTreeMap, fmt::Display, ops::RangeInclusive, sync::Arc};

use ini::{Ini, ParseError, ParseOption};

use crate::error::{Error, ErrorKind, Result};

/// Longest value in bytes that an error message repeats.
const MAX_QUOTED_BYTES: usize = 120;

/// Section whose values are never repeated in errors.
const SECRET_SECTION: &str = "secret";

/// Sections and keys as written, each at most once.
#[derive(Clone, Debug)]
pub struct RawIni {
    source: Arc<str>,
    sections: BTreeMap<String, BTreeMap<String, String>>,
}

/// Keys of one section that were not taken yet.
#[derive(Clone, Debug)]
pub struct Section {
    source: Arc<str>,
    name: String,
    values: BTreeMap<String, String>,
}

fn error(source: &str, message: impl Display) -> Error {
    Error::new(ErrorKind::Document, format!("{source}: {message}"))
}

/// Text shortened for an error message.
fn quoted(text: &str) -> String {
    if text.len() <= MAX_QUOTED_BYTES {
        return format!("{text:?}");
    }
    let end = text.floor_char_boundary(MAX_QUOTED_BYTES);
    format!("{:?}... ({} bytes)", &text[..end], text.len())
}

/// Value as an error may show it.
fn redact_secret(section: &str, value: &str) -> String {
    if section == SECRET_SECTION {
        return format!("({} bytes, not shown)", value.len());
    }
    quoted(value)
}

/// Message for text that the library refuses.
///
/// The line itself is left out, because it may hold a secret.
fn syntax_error(cause: &ParseError) -> String {
    format!(
        "line {} is not INI: {}; allowed are [SECTION], KEY = VALUE and lines that start with # or ;",
        cause.line, cause.msg
    )
}

/// Text without indentation.
///
/// The library skips a last line that is indented and lacks `=`; without the
/// indentation it reports it.
fn without_indentation(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim_start).collect();
    lines.join("\n")
}

impl RawIni {
    /// Parses text of at most `max_bytes`; `source` names it in errors.
    pub fn parse(source: &str, text: &str, max_bytes: usize) -> Result<RawIni> {
        if text.len() > max_bytes {
            let message = format!("{} bytes; at most {max_bytes} are allowed", text.len());
            return Err(error(source, message));
        }
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = Ini::load_from_str_opt(&without_indentation(text), options)
            .map_err(|cause| error(source, syntax_error(&cause)))?;
        let mut raw = RawIni {
            source: Arc::from(source),
            sections: BTreeMap::new(),
        };
        for (name, properties) in &parsed {
            raw.add_section(name, properties.iter())?;
        }
        Ok(raw)
    }

    fn add_section<'a>(
        &mut self,
        name: Option<&str>,
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<()> {
        let mut values = BTreeMap::new();
        for (key, value) in pairs {
            let Some(name) = name else {
                let message = format!(
                    "key {} = {} is outside a section; keys are allowed in sections only",
                    quoted(key),
                    redact_secret(SECRET_SECTION, value)
                );
                return Err(error(&self.source, message));
            };
            if values.insert(key.to_owned(), value.to_owned()).is_some() {
                let message = format!(
                    "[{name}] {key} = {} repeats the key; each key is allowed once",
                    redact_secret(name, value)
                );
                return Err(error(&self.source, message));
            }
        }
        let Some(name) = name else { return Ok(()) };
        if self.sections.insert(name.to_owned(), values).is_some() {
            let message = format!("section [{name}] is repeated; each section is allowed once");
            return Err(error(&self.source, message));
        }
        Ok(())
    }

    /// Takes a section; it is an error if there is none.
    pub fn section(&mut self, name: &str) -> Result<Section> {
        if !self.sections.contains_key(name) {
            return Err(error(
                &self.source,
                format!("section [{name}] is missing; it is required"),
            ));
        }
        Ok(self.optional_section(name))
    }

    /// Takes a section, empty if there is none.
    pub fn optional_section(&mut self, name: &str) -> Section {
        Section {
            source: Arc::clone(&self.source),
            name: name.to_owned(),
            values: self.sections.remove(name).unwrap_or_default(),
        }
    }

    /// Checks that no section is left.
    pub fn finish(self, allowed: &[&str]) -> Result<()> {
        let Some(name) = self.sections.keys().next() else {
            return Ok(());
        };
        let message = format!(
            "section [{}] is unknown; allowed are {}",
            name.escape_debug(),
            allowed.join(", ")
        );
        Err(error(&self.source, message))
    }
}

impl Section {
    /// Error about a value of this section.
    #[must_use]
    pub fn invalid(&self, key: &str, value: &str, allowed: impl Display) -> Error {
        let message = format!(
            "[{}] {key} = {} is not valid; allowed: {allowed}",
            self.name,
            redact_secret(&self.name, value)
        );
        error(&self.source, message)
    }

    /// Takes a value that may be absent.
    pub fn optional(&mut self, key: &str) -> Option<String> {
        self.values.remove(key)
    }

    /// Takes a value that must be present.
    pub fn required(&mut self, key: &str, allowed: impl Display) -> Result<String> {
        self.optional(key).ok_or_else(|| {
            let message = format!("[{}] {key} is missing; allowed: {allowed}", self.name);
            error(&self.source, message)
        })
    }

    /// Takes a checked name.
    pub fn name<T>(&mut self, key: &str) -> Result<T>
    where
        T: TryFrom<Arc<str>, Error = Error>,
    {
        let value = self.required(key, "a name")?;
        self.parse_name(key, &value)
    }

    /// Checks a name that is part of the value of a key.
    pub fn parse_name<T>(&self, key: &str, value: &str) -> Result<T>
    where
        T: TryFrom<Arc<str>, Error = Error>,
    {
        T::try_from(Arc::from(value)).map_err(|cause| self.invalid(key, value, cause))
    }

    /// Takes a number within a range.
    pub fn number<T>(&mut self, key: &str, range: RangeInclusive<u64>) -> Result<T>
    where
        T: TryFrom<u64>,
    {
        let value = self.required(key, allowed_numbers(&range))?;
        self.parse_number(key, &value, range)
    }

    /// Takes a number within a range, or the default if it is absent.
    pub fn number_or<T>(&mut self, key: &str, range: RangeInclusive<u64>, default: T) -> Result<T>
    where
        T: TryFrom<u64>,
    {
        match self.optional(key) {
            Some(value) => self.parse_number(key, &value, range),
            None => Ok(default),
        }
    }

    fn parse_number<T>(&self, key: &str, value: &str, range: RangeInclusive<u64>) -> Result<T>
    where
        T: TryFrom<u64>,
    {
        let digits_only = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let number = value.parse::<u64>().ok().filter(|_| digits_only);
        let number = number.filter(|number| range.contains(number));
        let number = number.and_then(|number| T::try_from(number).ok());
        number.ok_or_else(|| self.invalid(key, value, allowed_numbers(&range)))
    }

    /// Takes the keys that the filter selects, in order of the keys.
    pub fn take_where(&mut self, select: impl Fn(&str) -> bool) -> Vec<(String, String)> {
        let (taken, left) = std::mem::take(&mut self.values)
            .into_iter()
            .partition(|(key, _)| select(key));
        self.values = left;
        let taken: BTreeMap<String, String> = taken;
        taken.into_iter().collect()
    }

    /// Checks that no key is left.
    pub fn finish(self, allowed: &[&str]) -> Result<()> {
        let Some((key, value)) = self.values.first_key_value() else {
            return Ok(());
        };
        let message = format!(
            "[{}] key {} = {} is unknown; allowed keys are {}",
            self.name,
            quoted(key),
            redact_secret(&self.name, value),
            allowed.join(", ")
        );
        Err(error(&self.source, message))
    }
}

fn allowed_numbers(range: &RangeInclusive<u64>) -> String {
    format!("whole numbers from {} to {}", range.start(), range.end())
}
