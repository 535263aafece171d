//! Shape of the tables that describe settings and declarations.

/// One kind of section.
#[derive(Debug)]
pub struct SectionSpec {
    /// Word that opens the section's header.
    pub name: &'static str,
    /// Whether a name follows that word, as in `[upstream gl-enc-1]`.
    pub named: bool,
    /// What the section is for.
    pub doc: &'static str,
    /// Keys that may stand in it.
    pub keys: &'static [KeySpec],
}

impl SectionSpec {
    /// Returns the description of `key`, if the section has it.
    #[must_use]
    pub fn key(&self, key: &str) -> Option<&KeySpec> {
        self.keys.iter().find(|spec| spec.name == key)
    }
}

/// One key of a section.
#[derive(Debug)]
pub struct KeySpec {
    /// The key.
    pub name: &'static str,
    /// What its value must look like.
    pub form: KeyForm,
    /// Whether the section is wrong without it.
    pub required: bool,
    /// Value that is used when the key is left out.
    pub default: Option<&'static str>,
    /// What the key is for.
    pub doc: &'static str,
}

/// What a value must look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyForm {
    /// 1 to 64 letters, digits, `-`, `_` or `.`.
    Name,
    /// IP address and port.
    Address,
    /// IP addresses with ports, separated by commas; may be empty.
    Addresses,
    /// Whole number within bounds.
    Count {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// Whole number of milliseconds within bounds.
    Duration {
        /// Smallest accepted value, in milliseconds.
        min: u64,
        /// Largest accepted value, in milliseconds.
        max: u64,
    },
    /// Decimal number that is not negative.
    Ratio,
    /// `yes` or `no`.
    Flag,
    /// One of a closed set of words.
    Choice(&'static [&'static str]),
    /// `key=value` pairs separated by commas.
    Labels,
    /// Selector over labels.
    Selector,
    /// Stage names separated by `,` and `|`.
    Stages,
    /// Path of a URL.
    Path,
}
