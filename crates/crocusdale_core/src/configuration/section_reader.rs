use std::collections::HashSet;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crocusdale_schema::spec::{KeyForm, KeySpec, SectionSpec};
use ini::{Ini, ParseOption, Properties};

use super::label_set::is_word;
use super::{
    ConfigurationError, ConfigurationErrorKind, DECLARATIONS_LIMIT, LabelSelector, LabelSet,
    StagePlan,
};

/// Maximum number of errors that are reported for one text.
const MAX_ERRORS: usize = 200;
/// Maximum length of the quoted value in an error, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// Collects the errors in one text.
pub(super) struct ErrorCollector<'a> {
    file: &'a str,
    errors: Vec<ConfigurationError>,
}

impl<'a> ErrorCollector<'a> {
    pub(super) fn new(file: &'a str) -> Self {
        Self { file, errors: Vec::new() }
    }

    pub(super) fn report(
        &mut self,
        kind: ConfigurationErrorKind,
        place: (&str, &str),
        found: &str,
        accepted: impl Into<String>,
    ) {
        if self.errors.len() < MAX_ERRORS {
            self.errors.push(ConfigurationError {
                kind,
                file: self.file.to_owned(),
                section: place.0.to_owned(),
                key: place.1.to_owned(),
                found: found.chars().take(MAX_QUOTED_CHARS).collect(),
                accepted: accepted.into(),
            });
        }
    }

    pub(super) fn finish<T>(self, value: T) -> Result<T, Vec<ConfigurationError>> {
        if self.errors.is_empty() { Ok(value) } else { Err(self.errors) }
    }
}

/// Section whose keys and values have been validated against the schema.
pub(super) struct CheckedSection {
    pub(super) spec: &'static SectionSpec,
    /// Section header as written, without brackets.
    pub(super) header: String,
    /// Part of the header after the first word. Empty if the section has no name.
    pub(super) name: String,
    pub(super) values: Vec<(&'static KeySpec, String)>,
}

impl CheckedSection {
    /// Creates a section that is absent from the text, so that all keys have their default values.
    pub(super) fn empty(spec: &'static SectionSpec) -> Self {
        Self { spec, header: spec.name.to_owned(), name: String::new(), values: Vec::new() }
    }

    /// Value of `key` as written, or its default value. `None` if there is neither.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        let written_value = self.values.iter().find(|(spec, _)| spec.name == key);
        debug_assert!(self.spec.key(key).is_some(), "{key} is not in the schema");
        match written_value {
            Some((_, value)) => Some(value),
            None => self.spec.key(key).and_then(|spec| spec.default),
        }
    }

    /// Value of `key` parsed as `T`. `None` only if there is no value, since values are valid after
    /// validation.
    pub(super) fn get<T: FromStr>(&self, key: &str) -> Option<T> {
        self.text(key)?.parse().ok()
    }

    pub(super) fn owned(&self, key: &str) -> String {
        self.text(key).unwrap_or_default().to_owned()
    }

    pub(super) fn duration(&self, key: &str) -> Option<Duration> {
        self.get(key).map(Duration::from_millis)
    }

    pub(super) fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("yes")
    }

    pub(super) fn labels(&self, key: &str) -> LabelSet {
        self.text(key).and_then(|text| LabelSet::parse(text).ok()).unwrap_or_default()
    }

    pub(super) fn selector(&self, key: &str) -> LabelSelector {
        self.text(key).and_then(|text| LabelSelector::parse(text).ok()).unwrap_or_default()
    }
}

/// Parses `text` and validates each section separately. Adds the errors to `errors`.
pub(super) fn read_sections(
    specs: &'static [SectionSpec],
    text: &str,
    errors: &mut ErrorCollector<'_>,
) -> Vec<CheckedSection> {
    if text.len() > DECLARATIONS_LIMIT {
        let accepted = format!("at most {DECLARATIONS_LIMIT} bytes");
        let found = format!("{} bytes", text.len());
        errors.report(ConfigurationErrorKind::TooLarge, ("", ""), &found, accepted);
        return Vec::new();
    }
    let parse_option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = match Ini::load_from_str_opt(text, parse_option) {
        Ok(parsed) => parsed,
        Err(parse_error) => {
            let found = format!(
                "line {}, column {}: {}",
                parse_error.line, parse_error.col, parse_error.msg
            );
            let accepted = "INI: `[section name]`, `key = value`, `;` or `#` before a comment";
            errors.report(ConfigurationErrorKind::Syntax, ("", ""), &found, accepted);
            return Vec::new();
        }
    };
    let mut seen = HashSet::new();
    let mut sections = Vec::new();
    for (header, properties) in &parsed {
        let header = header.unwrap_or_default();
        if header.is_empty() && properties.is_empty() {
            continue;
        }
        let Some((spec, name)) = find_spec(specs, header, errors) else { continue };
        if !seen.insert((spec.name, name.clone())) {
            let accepted = "each section once";
            errors.report(ConfigurationErrorKind::RepeatedSection, (header, ""), header, accepted);
            continue;
        }
        let values = read_values(spec, header, properties, errors);
        sections.push(CheckedSection { spec, header: header.to_owned(), name, values });
    }
    sections
}

fn find_spec(
    specs: &'static [SectionSpec],
    header: &str,
    errors: &mut ErrorCollector<'_>,
) -> Option<(&'static SectionSpec, String)> {
    let (word, name) = header.split_once(' ').unwrap_or((header, ""));
    let name = name.trim();
    let Some(spec) = specs.iter().find(|spec| spec.name == word) else {
        let accepted = suggest_nearest(word, specs.iter().map(|spec| spec.name));
        errors.report(ConfigurationErrorKind::UnknownSection, (header, ""), word, accepted);
        return None;
    };
    if spec.named == name.is_empty() || (spec.named && !is_word(name)) {
        let accepted = if spec.named {
            format!("[{word} NAME], NAME of 1 to 64 letters, digits, `-`, `_`, `.`")
        } else {
            format!("[{word}]")
        };
        errors.report(ConfigurationErrorKind::BadSectionName, (header, ""), name, accepted);
        return None;
    }
    Some((spec, name.to_owned()))
}

fn read_values(
    spec: &'static SectionSpec,
    header: &str,
    properties: &Properties,
    errors: &mut ErrorCollector<'_>,
) -> Vec<(&'static KeySpec, String)> {
    let mut values: Vec<(&'static KeySpec, String)> = Vec::new();
    for (key, value) in properties {
        let value = value.trim();
        let Some(key_spec) = spec.key(key) else {
            let accepted = suggest_nearest(key, spec.keys.iter().map(|key| key.name));
            errors.report(ConfigurationErrorKind::UnknownKey, (header, key), value, accepted);
            continue;
        };
        if values.iter().any(|(existing, _)| existing.name == key_spec.name) {
            errors.report(
                ConfigurationErrorKind::RepeatedKey,
                (header, key),
                value,
                "each key once",
            );
            continue;
        }
        if !has_valid_form(key_spec.form, value) {
            let accepted = describe_form(key_spec.form);
            errors.report(ConfigurationErrorKind::BadValue, (header, key), value, accepted);
        }
        values.push((key_spec, value.to_owned()));
    }
    for key in spec.keys.iter().filter(|key| key.required) {
        if !values.iter().any(|(existing, _)| existing.name == key.name) {
            let accepted = describe_form(key.form);
            errors.report(ConfigurationErrorKind::MissingKey, (header, key.name), "", accepted);
        }
    }
    values
}

fn has_valid_form(form: KeyForm, value: &str) -> bool {
    match form {
        KeyForm::Name => is_word(value),
        KeyForm::Address => value.parse::<SocketAddr>().is_ok(),
        KeyForm::Addresses => parse_addresses(value).is_some(),
        KeyForm::Count { min, max } | KeyForm::Duration { min, max } => {
            value.parse::<u64>().is_ok_and(|number| (min..=max).contains(&number))
        }
        KeyForm::Ratio => value.parse::<f64>().is_ok_and(|ratio| ratio.is_finite() && ratio >= 0.0),
        KeyForm::Flag => matches!(value, "yes" | "no"),
        KeyForm::Choice(choices) => choices.contains(&value),
        KeyForm::Labels => LabelSet::parse(value).is_ok(),
        KeyForm::Selector => LabelSelector::parse(value).is_ok(),
        KeyForm::Stages => StagePlan::parse(value).is_ok(),
        KeyForm::Path => {
            value.starts_with('/') && value.bytes().all(|byte| byte.is_ascii_graphic())
        }
    }
}

fn describe_form(form: KeyForm) -> String {
    match form {
        KeyForm::Name => "1 to 64 letters, digits, `-`, `_`, `.`".into(),
        KeyForm::Address => "IP address and port, as 127.0.0.1:8080".into(),
        KeyForm::Addresses => "IP addresses with ports, separated by commas".into(),
        KeyForm::Count { min, max } => format!("a whole number from {min} to {max}"),
        KeyForm::Duration { min, max } => {
            format!("milliseconds, a whole number from {min} to {max}")
        }
        KeyForm::Ratio => "a decimal number, 0 or more".into(),
        KeyForm::Flag => "`yes` or `no`".into(),
        KeyForm::Choice(choices) => format!("one of {}", choices.join(", ")),
        KeyForm::Labels => {
            format!("up to {} pairs `key=value`, separated by commas", LabelSet::MAX_LABELS)
        }
        KeyForm::Selector => LabelSelector::ACCEPTED.into(),
        KeyForm::Stages => StagePlan::ACCEPTED.into(),
        KeyForm::Path => "a path that starts with `/`".into(),
    }
}

/// Error text that lists all words in `known`, and first the one with the smallest edit distance to
/// `found`.
fn suggest_nearest(found: &str, known: impl Iterator<Item = &'static str>) -> String {
    let known: Vec<&str> = known.collect();
    let found: String = found.chars().take(MAX_QUOTED_CHARS).collect();
    let nearest = known.iter().min_by_key(|word| edit_distance(&found, word));
    let nearest = nearest.copied().unwrap_or_default();
    format!("`{nearest}` is nearest; one of {}", known.join(", "))
}

/// Levenshtein distance between two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, character) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(character != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}

/// Parses socket addresses that are separated by commas. `None` if one of them is invalid.
pub(super) fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| part.parse().ok()).collect()
}
