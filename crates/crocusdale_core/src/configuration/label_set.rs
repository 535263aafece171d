use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Labels of an upstream, a workspace or a request, as keys with values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelSet(BTreeMap<String, String>);

impl LabelSet {
    /// Maximum number of labels in one request or configuration section.
    pub const MAX_LABELS: usize = 32;

    /// Parses `key=value` pairs that are separated by commas.
    ///
    /// # Errors
    ///
    /// Returns the part of `text` that is not a valid pair or repeats a key, or the number of
    /// labels if it exceeds [`LabelSet::MAX_LABELS`].
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut labels = Self::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (key, value) = part.split_once('=').ok_or_else(|| part.to_owned())?;
            let (key, value) = (key.trim(), value.trim());
            if !is_word(key) || !is_word(value) || labels.get(key).is_some() {
                return Err(part.to_owned());
            }
            labels.insert(key, value);
        }
        if labels.0.len() > Self::MAX_LABELS {
            Err(format!("{} labels", labels.0.len()))
        } else {
            Ok(labels)
        }
    }

    /// Value of `key`, or `None` if the set has no such label.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Adds the label `key` with `value`, or replaces its value.
    pub fn insert(&mut self, key: impl Into<String>, value: impl Into<String>) {
        self.0.insert(key.into(), value.into());
    }

    /// Union of both sets. The values in `self` take precedence.
    #[must_use]
    pub fn or(&self, other: &Self) -> Self {
        let mut merged = other.0.clone();
        merged.extend(self.0.iter().map(|(key, value)| (key.clone(), value.clone())));
        Self(merged)
    }

    /// Description of the first error: too many labels, or a label whose key or value has an
    /// invalid character or length. `None` if the set is valid.
    #[must_use]
    pub fn describe_first_error(&self) -> Option<String> {
        if self.0.len() > Self::MAX_LABELS {
            return Some(format!("{} labels, at most {}", self.0.len(), Self::MAX_LABELS));
        }
        let mut invalid_labels =
            self.0.iter().filter(|(key, value)| !is_word(key) || !is_word(value));
        invalid_labels.next().map(|(key, value)| format!("{key}={value}"))
    }
}

/// Writes the format that [`LabelSet::parse`] accepts.
impl fmt::Display for LabelSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (key, value)) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "," };
            write!(formatter, "{separator}{key}={value}")?;
        }
        Ok(())
    }
}

/// Whether `text` consists of 1 to 64 ASCII letters, digits, `-`, `_` and `.`.
pub(super) fn is_word(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
