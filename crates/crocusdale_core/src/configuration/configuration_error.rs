use std::fmt;

use serde::Serialize;

/// Kind of a [`ConfigurationError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationErrorKind {
    /// The text is not valid INI.
    Syntax,
    /// The text exceeds the maximum size.
    TooLarge,
    /// The section is not defined by the schema.
    UnknownSection,
    /// The section occurs twice, or conflicts with another section.
    RepeatedSection,
    /// A required section is missing.
    MissingSection,
    /// The name in the section header is missing, invalid or not allowed for this section.
    BadSectionName,
    /// The schema defines no such key for the section.
    UnknownKey,
    /// The key occurs twice in the section.
    RepeatedKey,
    /// A required key is missing.
    MissingKey,
    /// The value does not have the accepted format, or is out of range.
    BadValue,
    /// The value refers to a stage or an upstream that is not declared.
    DanglingName,
}

/// Error in the text of settings or declarations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationError {
    /// Kind of the error.
    pub kind: ConfigurationErrorKind,
    /// Path of the file that contains the text, or another name of its source.
    pub file: String,
    /// Header of the section. Empty if the error concerns the whole text.
    pub section: String,
    /// Key in the section. Empty if the error concerns the whole section.
    pub key: String,
    /// Invalid value, or another excerpt of the text. Empty if something is missing.
    pub found: String,
    /// Description of the accepted values.
    pub accepted: String,
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.file)?;
        if !self.section.is_empty() {
            write!(formatter, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}", self.kind.to_string().replace('_', " "))?;
        if !self.found.is_empty() {
            write!(formatter, ": found {:?}", self.found)?;
        }
        if !self.accepted.is_empty() {
            write!(formatter, "; accepted: {}", self.accepted)?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigurationError {}
