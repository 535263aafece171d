use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Labels of an upstream, a workspace or a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LabelSet(BTreeMap<String, String>);

impl LabelSet {
    /// Labels that one request or section may carry.
    pub const MOST: usize = 32;

    /// Reads `key=value` pairs separated by commas.
    ///
    /// # Errors
    ///
    /// Returns the part that is not such a pair, or the key that stands twice.
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
        if labels.0.len() > Self::MOST {
            Err(format!("{} labels", labels.0.len()))
        } else {
            Ok(labels)
        }
    }

    /// Returns the value of `key`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Sets `key` to `value`.
    pub fn insert(&mut self, key: impl Into<String>, value: impl Into<String>) {
        self.0.insert(key.into(), value.into());
    }

    /// Labels of `self`, and those of `other` where `self` has none.
    #[must_use]
    pub fn or(&self, other: &Self) -> Self {
        let mut all = other.0.clone();
        all.extend(self.0.iter().map(|(key, value)| (key.clone(), value.clone())));
        Self(all)
    }

    /// First label whose key or value is not a word, or an excess in number.
    #[must_use]
    pub fn first_fault(&self) -> Option<String> {
        if self.0.len() > Self::MOST {
            return Some(format!("{} labels, at most {}", self.0.len(), Self::MOST));
        }
        let mut faults = self.0.iter().filter(|(key, value)| !is_word(key) || !is_word(value));
        faults.next().map(|(key, value)| format!("{key}={value}"))
    }
}

/// In the form that [`LabelSet::parse`] reads.
impl fmt::Display for LabelSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (key, value)) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "," };
            write!(formatter, "{separator}{key}={value}")?;
        }
        Ok(())
    }
}

/// Whether `text` is 1 to 64 letters, digits, `-`, `_` or `.`.
pub(super) fn is_word(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
