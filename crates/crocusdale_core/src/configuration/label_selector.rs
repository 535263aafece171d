use super::label_set::{LabelSet, is_word};

/// Condition over labels: equality, membership, existence, and their negations.
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
    /// Form that [`LabelSelector::parse`] accepts, for error texts.
    pub const ACCEPTED: &'static str = "conditions separated by commas: `key = v`, `key != v`, \
         `key in (v, w)`, `key notin (v, w)`, `key`, `!key`; `*` for all";

    /// Reads a selector; `*` matches everything.
    ///
    /// # Errors
    ///
    /// Returns the condition that can't be read.
    pub fn parse(text: &str) -> Result<Self, String> {
        if text.trim() == "*" {
            return Ok(Self::default());
        }
        let requirements = conditions(text).map(requirement).collect::<Result<Vec<_>, _>>()?;
        if requirements.is_empty() { Err(text.to_owned()) } else { Ok(Self { requirements }) }
    }

    /// Whether every condition holds for `labels`.
    #[must_use]
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.requirements.iter().all(|requirement| requirement.holds(labels.get(&requirement.key)))
    }
}

impl Requirement {
    fn holds(&self, value: Option<&str>) -> bool {
        match (&self.test, value) {
            (LabelTest::Exists, value) => value.is_some(),
            (LabelTest::Absent, value) => value.is_none(),
            (LabelTest::In(values), Some(value)) => values.iter().any(|each| each == value),
            (LabelTest::In(_), None) => false,
            (LabelTest::NotIn(values), Some(value)) => !values.iter().any(|each| each == value),
            (LabelTest::NotIn(_), None) => true,
        }
    }
}

/// Splits at the commas outside of parentheses.
fn conditions(text: &str) -> impl Iterator<Item = &str> {
    let mut depth = 0_i32;
    let split = move |character: char| {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        character == ',' && depth == 0
    };
    text.split(split).map(str::trim)
}

fn requirement(condition: &str) -> Result<Requirement, String> {
    let fault = || condition.to_owned();
    let (key, test) = if let Some(key) = condition.strip_prefix('!') {
        (key, LabelTest::Absent)
    } else if let Some((key, values)) = condition.split_once(" notin ") {
        (key, LabelTest::NotIn(value_list(values).ok_or_else(fault)?))
    } else if let Some((key, values)) = condition.split_once(" in ") {
        (key, LabelTest::In(value_list(values).ok_or_else(fault)?))
    } else if let Some((key, value)) = condition.split_once("!=") {
        (key, LabelTest::NotIn(vec![word(value).ok_or_else(fault)?]))
    } else if let Some((key, value)) = condition.split_once('=') {
        (key, LabelTest::In(vec![word(value).ok_or_else(fault)?]))
    } else {
        (condition, LabelTest::Exists)
    };
    Ok(Requirement { key: word(key).ok_or_else(fault)?, test })
}

fn value_list(text: &str) -> Option<Vec<String>> {
    let inner = text.trim().strip_prefix('(')?.strip_suffix(')')?;
    inner.split(',').map(word).collect()
}

fn word(text: &str) -> Option<String> {
    let text = text.trim();
    is_word(text).then(|| text.to_owned())
}
