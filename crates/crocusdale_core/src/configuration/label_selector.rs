use super::label_set::{LabelSet, is_word};

/// Condition on labels: tests for equality, set membership and existence, and their negations. All
/// tests must hold.
///
/// # Examples
///
/// ```
/// use crocusdale_core::configuration::{LabelSelector, LabelSet};
///
/// let selector = LabelSelector::parse("job = quick, tier in (a, b), !night").expect("accepted");
/// let labels = LabelSet::parse("job=quick, tier=b").expect("accepted");
/// assert!(selector.matches(&labels));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LabelSelector {
    requirements: Vec<Requirement>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Requirement {
    key: String,
    test: LabelTest,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum LabelTest {
    Exists,
    Absent,
    In(Vec<String>),
    NotIn(Vec<String>),
}

impl LabelSelector {
    /// Description of the syntax that [`LabelSelector::parse`] accepts, for error messages.
    pub const ACCEPTED: &'static str = "conditions separated by commas: `key = v`, `key != v`, \
         `key in (v, w)`, `key notin (v, w)`, `key`, `!key`; `*` for all";

    /// Parses a selector. The selector `*` matches all labels.
    ///
    /// # Errors
    ///
    /// Returns the part of `text` that is not a valid condition.
    pub fn parse(text: &str) -> Result<Self, String> {
        if text.trim() == "*" {
            return Ok(Self::default());
        }
        let requirements =
            split_conditions(text).map(parse_requirement).collect::<Result<Vec<_>, _>>()?;
        if requirements.is_empty() { Err(text.to_owned()) } else { Ok(Self { requirements }) }
    }

    /// Whether `labels` meet all conditions.
    #[must_use]
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.requirements.iter().all(|requirement| requirement.is_met(labels.get(&requirement.key)))
    }
}

impl Requirement {
    fn is_met(&self, value: Option<&str>) -> bool {
        match (&self.test, value) {
            (LabelTest::Exists, value) => value.is_some(),
            (LabelTest::Absent, value) => value.is_none(),
            (LabelTest::In(values), Some(value)) => values.iter().any(|allowed| allowed == value),
            (LabelTest::In(_), None) => false,
            (LabelTest::NotIn(values), Some(value)) => {
                !values.iter().any(|allowed| allowed == value)
            }
            (LabelTest::NotIn(_), None) => true,
        }
    }
}

/// Splits `text` at the commas outside of parentheses.
fn split_conditions(text: &str) -> impl Iterator<Item = &str> {
    let mut depth = 0_i32;
    let is_separator = move |character: char| {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        character == ',' && depth == 0
    };
    text.split(is_separator).map(str::trim)
}

fn parse_requirement(condition: &str) -> Result<Requirement, String> {
    let to_error = || condition.to_owned();
    let (key, test) = if let Some(key) = condition.strip_prefix('!') {
        (key, LabelTest::Absent)
    } else if let Some((key, values)) = condition.split_once(" notin ") {
        (key, LabelTest::NotIn(parse_values(values).ok_or_else(to_error)?))
    } else if let Some((key, values)) = condition.split_once(" in ") {
        (key, LabelTest::In(parse_values(values).ok_or_else(to_error)?))
    } else if let Some((key, value)) = condition.split_once("!=") {
        (key, LabelTest::NotIn(vec![parse_word(value).ok_or_else(to_error)?]))
    } else if let Some((key, value)) = condition.split_once('=') {
        (key, LabelTest::In(vec![parse_word(value).ok_or_else(to_error)?]))
    } else {
        (condition, LabelTest::Exists)
    };
    Ok(Requirement { key: parse_word(key).ok_or_else(to_error)?, test })
}

fn parse_values(text: &str) -> Option<Vec<String>> {
    let inner = text.trim().strip_prefix('(')?.strip_suffix(')')?;
    inner.split(',').map(parse_word).collect()
}

fn parse_word(text: &str) -> Option<String> {
    let text = text.trim();
    is_word(text).then(|| text.to_owned())
}
