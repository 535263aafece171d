/// How a request was admitted. Dispatchers order its pieces by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum AdmissionClass {
    /// The entry daemon decided by itself.
    #[default]
    Local,
    /// The admission coordinator expects the request to be on time.
    OnTime,
    /// The admission coordinator expects the request to end after its objective and before its
    /// deadline.
    Late,
}

impl AdmissionClass {
    /// Whether a coordinator has reserved capacity for the request in every pool that it needs.
    #[must_use]
    pub fn is_promised(self) -> bool {
        self != Self::Local
    }
}
