use crate::identity::SoftwareVersion;

/// Where the first event of a stream came from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// Pool of the upstream.
    pub pool: String,
    /// Version of the upstream's software. `None` if it is not known, so that the stream can't go
    /// on.
    pub software_version: Option<SoftwareVersion>,
}
