//! Reading and writing of JSON, as far as the stand-ins need it.

use std::{collections::BTreeMap, fmt};

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }

    /// Member of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(members) => members.get(name),
            _ => None,
        }
    }

    /// Member that is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    /// Member that is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

/// Text as a JSON string.
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("\"")?;
        for char in self.0.chars() {
            match char {
                '"' => f.write_str("\\\"")?,
                '\\' => f.write_str("\\\\")?,
                char if (char as u32) < 0x20 => write!(f, "\\u{:04x}", char as u32)?,
                char => write!(f, "{char}")?,
            }
        }
        f.write_str("\"")
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, token: &[u8]) -> Option<()> {
        self.text[self.at..]
            .starts_with(token)
            .then(|| self.at += token.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'n' => self.take(b"null").map(|()| Json::Null),
            b't' => self.take(b"true").map(|()| Json::Bool(true)),
            b'f' => self.take(b"false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if self.take(b"]").is_some() {
                        return Some(Json::List(items));
                    }
                    if !items.is_empty() {
                        self.take(b",")?;
                    }
                    items.push(self.value()?);
                }
            }
            b'{' => {
                self.at += 1;
                let mut members = BTreeMap::new();
                loop {
                    self.space();
                    if self.take(b"}").is_some() {
                        return Some(Json::Object(members));
                    }
                    if !members.is_empty() {
                        self.take(b",")?;
                        self.space();
                    }
                    let name = self.string()?;
                    self.space();
                    self.take(b":")?;
                    let value = self.value()?;
                    members.insert(name, value);
                }
            }
            _ => {
                let rest = &self.text[self.at..];
                let in_number = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                let length = rest.iter().take_while(|byte| in_number(byte)).count();
                let number = std::str::from_utf8(&rest[..length]).ok()?.parse().ok()?;
                self.at += length;
                Some(Json::Number(number))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b"\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let char = char::from_u32(code).unwrap_or('?');
                            bytes.extend(char.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}
