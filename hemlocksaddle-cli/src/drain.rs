//! Editing of a document's list of data centres that are out of service.
//!
//! The text is edited line by line rather than parsed and serialised, to preserve
//! an operator's comments and layout.

use hemlocksaddle_types::name::DataCentre;

use crate::error::{Error, ErrorKind, Result};

const SECTION: &str = "[service]";
const KEY: &str = "data_centres_out";

/// Adds the data centre to the list if `out` is true, otherwise removes it.
///
/// Returns the edited text, or `None` if no change is needed. Fails if the
/// document has no `[service]` section.
pub fn edit_data_centres_out(
    text: &str,
    data_centre: &DataCentre,
    out: bool,
) -> Result<Option<String>> {
    let mut lines: Vec<String> = text.lines().map(String::from).collect();
    let section = lines.iter().position(|line| line.trim() == SECTION);
    let Some(section) = section else {
        let message = format!("document has no section {SECTION}");
        return Err(Error::new(ErrorKind::Failed, message));
    };
    let key_line = find_key_line(&lines, section);
    let mut listed = key_line.map_or_else(Vec::new, |index| parse_list(&lines[index]));
    let present = listed.iter().any(|name| name == data_centre.as_str());
    if present == out {
        return Ok(None);
    }
    if out {
        listed.push(data_centre.as_str().to_string());
    } else {
        listed.retain(|name| name != data_centre.as_str());
    }
    let line = format!("{KEY} = {}", listed.join(", "));
    let line = String::from(line.trim_end());
    match key_line {
        Some(index) => lines[index] = line,
        None => lines.insert(section + 1, line),
    }
    lines.push(String::new());
    Ok(Some(lines.join("\n")))
}

fn find_key_line(lines: &[String], section: usize) -> Option<usize> {
    let section_lines = lines.iter().enumerate().skip(section + 1);
    section_lines
        .take_while(|(_, line)| !line.trim_start().starts_with('['))
        .find(|(_, line)| line.split('=').next().is_some_and(|key| key.trim() == KEY))
        .map(|(index, _)| index)
}

fn parse_list(line: &str) -> Vec<String> {
    let value = line.split_once('=').map_or("", |(_, value)| value);
    let names = value.split(',').map(str::trim);
    names
        .filter(|name| !name.is_empty())
        .map(String::from)
        .collect()
}
