use std::collections::HashMap;

/// Maps hosts and path prefixes to pipelines. The longest matching prefix decides.
///
/// # Examples
///
/// ```
/// use crocusdale_core::configuration::RouteTable;
///
/// let mut table = RouteTable::default();
/// table.insert("mail.example", "/letters/", 0);
/// table.insert("mail.example", "/letters/due/", 1);
/// assert_eq!(table.find("mail.example", "/letters/due/7"), Some(1));
/// assert_eq!(table.find("mail.example", "/letters/new"), Some(0));
/// assert_eq!(table.find("mail.example", "/parcels/"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Path prefixes and pipeline positions by lowercase host name, longest prefix first.
    hosts: HashMap<String, Vec<(String, usize)>>,
}

impl RouteTable {
    /// Routes the paths of `host` that start with `prefix` to the pipeline at the position
    /// `pipeline`.
    pub fn insert(&mut self, host: &str, prefix: &str, pipeline: usize) {
        let prefixes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let insert_position =
            prefixes.partition_point(|(existing, _)| existing.len() >= prefix.len());
        prefixes.insert(insert_position, (prefix.to_owned(), pipeline));
    }

    /// Position of the pipeline whose prefix is the longest one that `path` starts with on `host`.
    /// `None` if no prefix matches.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let found = prefixes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()));
        found.map(|(_, pipeline)| *pipeline)
    }

    /// Whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
