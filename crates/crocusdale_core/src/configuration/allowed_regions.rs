use std::sync::Arc;

use super::LabelSet;

/// Regions in which requests may be processed. The default allows all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<Vec<String>>>);

impl AllowedRegions {
    /// Allows only `regions`. An empty list allows all regions.
    ///
    /// # Examples
    ///
    /// ```
    /// use crocusdale_core::configuration::AllowedRegions;
    ///
    /// let route = AllowedRegions::new(["lakes".to_owned(), "coast".to_owned()]);
    /// let workspace = AllowedRegions::new(["coast".to_owned()]);
    /// let both = route.and(&workspace);
    /// assert!(both.allows(Some("coast")));
    /// assert!(!both.allows(Some("lakes")));
    /// assert!(AllowedRegions::default().allows(None));
    /// ```
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = String>) -> Self {
        let regions: Vec<String> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// Names of the allowed regions, or `None` if all regions are allowed.
    #[must_use]
    pub fn names(&self) -> Option<&[String]> {
        self.0.as_ref().map(|allowed| allowed.as_slice())
    }

    /// Regions that both `self` and `other` allow. The result may allow no region at all.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => {
                let shared = own.iter().filter(|region| others.contains(region));
                Self(Some(Arc::new(shared.cloned().collect())))
            }
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }

    /// Whether requests may be processed in `region`. An unknown region, `None`, is only allowed if
    /// all regions are.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        self.0.as_ref().is_none_or(|allowed| {
            region
                .is_some_and(|region| allowed.iter().any(|allowed_region| allowed_region == region))
        })
    }
}

/// Map from availability zones to their regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap(LabelSet);

impl RegionMap {
    /// Region of the availability zone `zone`, or `None` if it is unknown.
    #[must_use]
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.0.get(zone)
    }
}

/// Takes the label keys as availability zones and the label values as their regions.
impl From<LabelSet> for RegionMap {
    fn from(labels: LabelSet) -> Self {
        Self(labels)
    }
}
