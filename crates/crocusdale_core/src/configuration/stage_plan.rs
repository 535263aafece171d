use super::label_set::is_word;

/// Order of a pipeline's stages: steps one after another, branches of a step side by side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagePlan {
    steps: Vec<Vec<String>>,
}

impl StagePlan {
    /// Most stages of one pipeline.
    pub const MOST: usize = 16;

    /// Form that [`StagePlan::parse`] accepts, for error texts.
    pub const ACCEPTED: &'static str =
        "1 to 16 distinct stage names, steps separated by `,` and parallel branches by `|`";

    /// Reads steps separated by `,`, branches within a step separated by `|`.
    ///
    /// # Errors
    ///
    /// Returns the part that can't be read or stands twice.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut seen: Vec<&str> = Vec::new();
        let mut steps = Vec::new();
        for step in text.split(',') {
            let mut branches = Vec::new();
            for stage in step.split('|').map(str::trim) {
                if !is_word(stage) || seen.contains(&stage) || seen.len() == Self::MOST {
                    return Err(stage.to_owned());
                }
                seen.push(stage);
                branches.push(stage.to_owned());
            }
            steps.push(branches);
        }
        Ok(Self { steps })
    }

    /// Steps in order, each with its branches in declared order.
    #[must_use]
    pub fn steps(&self) -> &[Vec<String>] {
        &self.steps
    }

    /// All stages in declared order.
    pub fn stages(&self) -> impl Iterator<Item = &str> {
        self.steps.iter().flatten().map(String::as_str)
    }
}
