use std::collections::HashMap;

/// Which pipeline serves which paths of which host.
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
    /// Prefixes of each host, the longest first, with the positions of their pipelines.
    hosts: HashMap<String, Vec<(String, usize)>>,
}

impl RouteTable {
    /// Lets the pipeline at `pipeline` serve paths of `host` that begin with `prefix`.
    pub fn insert(&mut self, host: &str, prefix: &str, pipeline: usize) {
        let prefixes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let longer = prefixes.partition_point(|(each, _)| each.len() >= prefix.len());
        prefixes.insert(longer, (prefix.to_owned(), pipeline));
    }

    /// Position of the pipeline with the longest prefix of `path` under `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let found = prefixes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()));
        found.map(|(_, pipeline)| *pipeline)
    }

    /// Whether no path is served.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
