use std::fmt;

use serde::Serialize;

/// What is wrong with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationErrorKind {
    /// The text is not INI.
    Syntax,
    /// The text is larger than what is read.
    TooLarge,
    /// The section does not exist.
    UnknownSection,
    /// The section may stand once only, or its name is taken.
    RepeatedSection,
    /// A section that must stand is missing.
    MissingSection,
    /// The header lacks a name or has one that it must not have.
    BadSectionName,
    /// The key does not exist in that section.
    UnknownKey,
    /// The key stands twice in one section.
    RepeatedKey,
    /// A key that must stand is missing.
    MissingKey,
    /// The value does not have the accepted form.
    BadValue,
    /// The value names something that is not declared.
    DanglingName,
}

/// One error in settings or declarations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationError {
    /// What is wrong.
    pub kind: ConfigurationErrorKind,
    /// File or source of the text.
    pub file: String,
    /// Header of the section, empty if none is concerned.
    pub section: String,
    /// Key, empty if none is concerned.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is accepted there.
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
