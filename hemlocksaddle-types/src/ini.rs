//! Strict INI parser.
//!
//! The `ini` library accepts duplicate sections and keys and leaves unknown ones
//! to its caller. Documents and settings reject both, because a misspelt key would
//! silently keep its default. Values are removed as they are read; any that remain
//! at the end are unknown and are reported together with the allowed names. Quotes,
//! escapes and multi-line values are not supported.

use std::{collections::BTreeMap, fmt::Display, ops::RangeInclusive, sync::Arc};

use ini::{Ini, ParseError, ParseOption};

use crate::error::{Error, ErrorKind, Result};

/// Maximum length in bytes at which an error message quotes a value in full.
const MAX_QUOTED_BYTES: usize = 120;

/// Section whose values never appear in error messages.
const SECRET_SECTION: &str = "secret";

/// Parsed but not yet validated INI text with unique sections and keys.
#[derive(Clone, Debug)]
pub struct RawIni {
    source: Arc<str>,
    sections: BTreeMap<String, BTreeMap<String, String>>,
}

/// Keys and values of one section that have not been read yet.
#[derive(Clone, Debug)]
pub struct Section {
    source: Arc<str>,
    name: String,
    values: BTreeMap<String, String>,
}

fn error(source: &str, message: impl Display) -> Error {
    Error::new(ErrorKind::Document, format!("{source}: {message}"))
}

/// Quotes text for an error message, truncated to `MAX_QUOTED_BYTES`.
fn quoted(text: &str) -> String {
    if text.len() <= MAX_QUOTED_BYTES {
        return format!("{text:?}");
    }
    let end = text.floor_char_boundary(MAX_QUOTED_BYTES);
    format!("{:?}... ({} bytes)", &text[..end], text.len())
}

/// Quotes a value for an error message; of a secret, only the length is given.
fn redact_secret(section: &str, value: &str) -> String {
    if section == SECRET_SECTION {
        return format!("({} bytes, not shown)", value.len());
    }
    quoted(value)
}

/// Message for a syntax error.
///
/// The line itself is left out, because it may contain a secret.
fn syntax_error(cause: &ParseError) -> String {
    format!(
        "line {} is not INI: {}; allowed are [SECTION], KEY = VALUE and lines that start with # or ;",
        cause.line, cause.msg
    )
}

/// Strips the indentation of every line.
///
/// The library silently ignores a last line that is indented and lacks `=`;
/// without the indentation it reports an error.
fn without_indentation(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim_start).collect();
    lines.join("\n")
}

impl RawIni {
    /// Parses text of at most `max_bytes`; `source` identifies the text in error messages.
    ///
    /// # Errors
    ///
    /// Fails if the text is too long, is not INI or repeats a section or key.
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

    /// Removes and returns a section, or fails if it is missing.
    pub fn section(&mut self, name: &str) -> Result<Section> {
        if !self.sections.contains_key(name) {
            return Err(error(
                &self.source,
                format!("section [{name}] is missing; it is required"),
            ));
        }
        Ok(self.optional_section(name))
    }

    /// Removes and returns a section, empty if it is missing.
    pub fn optional_section(&mut self, name: &str) -> Section {
        Section {
            source: Arc::clone(&self.source),
            name: name.to_owned(),
            values: self.sections.remove(name).unwrap_or_default(),
        }
    }

    /// Fails if any section has not been read; `allowed` lists the known ones for the message.
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
    /// Error for an invalid value in this section; `allowed` describes the valid ones.
    #[must_use]
    pub fn invalid(&self, key: &str, value: &str, allowed: impl Display) -> Error {
        let message = format!(
            "[{}] {key} = {} is not valid; allowed: {allowed}",
            self.name,
            redact_secret(&self.name, value)
        );
        error(&self.source, message)
    }

    /// Removes and returns a value, if present.
    pub fn optional(&mut self, key: &str) -> Option<String> {
        self.values.remove(key)
    }

    /// Removes and returns a value, or fails if it is missing.
    pub fn required(&mut self, key: &str, allowed: impl Display) -> Result<String> {
        self.optional(key).ok_or_else(|| {
            let message = format!("[{}] {key} is missing; allowed: {allowed}", self.name);
            error(&self.source, message)
        })
    }

    /// Removes and parses a required name.
    pub fn name<T>(&mut self, key: &str) -> Result<T>
    where
        T: TryFrom<Arc<str>, Error = Error>,
    {
        let value = self.required(key, "a name")?;
        self.parse_name(key, &value)
    }

    /// Parses a name that is all or part of the value of `key`.
    pub fn parse_name<T>(&self, key: &str, value: &str) -> Result<T>
    where
        T: TryFrom<Arc<str>, Error = Error>,
    {
        T::try_from(Arc::from(value)).map_err(|cause| self.invalid(key, value, cause))
    }

    /// Removes and parses a required number within a range.
    pub fn number<T>(&mut self, key: &str, range: RangeInclusive<u64>) -> Result<T>
    where
        T: TryFrom<u64>,
    {
        let value = self.required(key, allowed_numbers(&range))?;
        self.parse_number(key, &value, range)
    }

    /// Removes and parses a number within a range; returns the default if it is missing.
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

    /// Removes and returns the pairs whose key matches the predicate, sorted by key.
    pub fn take_where(&mut self, select: impl Fn(&str) -> bool) -> Vec<(String, String)> {
        let (taken, left) = std::mem::take(&mut self.values)
            .into_iter()
            .partition(|(key, _)| select(key));
        self.values = left;
        let taken: BTreeMap<String, String> = taken;
        taken.into_iter().collect()
    }

    /// Fails if any key has not been read; `allowed` lists the known ones for the message.
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
