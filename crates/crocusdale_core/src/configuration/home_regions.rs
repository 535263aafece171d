use std::sync::Arc;

use super::LabelSet;

/// Regions in which requests may be worked on; anywhere if there is no restriction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions(Option<Arc<Vec<String>>>);

impl HomeRegions {
    /// Restricts to `regions`, unless there are none.
    ///
    /// # Examples
    ///
    /// ```
    /// use crocusdale_core::configuration::HomeRegions;
    ///
    /// let route = HomeRegions::new(["lakes".to_owned(), "coast".to_owned()]);
    /// let workspace = HomeRegions::new(["coast".to_owned()]);
    /// let both = route.and(&workspace);
    /// assert!(both.allow(Some("coast")));
    /// assert!(!both.allow(Some("lakes")));
    /// assert!(HomeRegions::default().allow(None));
    /// ```
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = String>) -> Self {
        let regions: Vec<String> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// Regions that both allow, which may be none.
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

    /// Whether work is allowed in `region`. Where there is a restriction, a region that is not known is no
    /// home.
    #[must_use]
    pub fn allow(&self, region: Option<&str>) -> bool {
        self.0.as_ref().is_none_or(|homes| {
            region.is_some_and(|region| homes.iter().any(|home| home == region))
        })
    }
}

/// Regions of availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap(LabelSet);

impl RegionMap {
    /// Region of `zone`, if it is known.
    #[must_use]
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.0.get(zone)
    }
}

/// Zones as keys, and their regions as values.
impl From<LabelSet> for RegionMap {
    fn from(labels: LabelSet) -> Self {
        Self(labels)
    }
}
