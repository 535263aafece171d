use crocusdale_schema::peer;

use crate::identity::StorePosition;
use crate::reachability::{ProbeEvidence, TransitRequest};

/// Error for a request in transit with an invalid field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidAddress(String);

impl std::fmt::Display for InvalidAddress {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "`{}` is not the address of an upstream", self.0)
    }
}

impl std::error::Error for InvalidAddress {}

impl From<TransitRequest> for peer::SendTransitRequest {
    /// The HTTP message and the times are left to the caller, as the core doesn't know them.
    fn from(request: TransitRequest) -> Self {
        Self {
            upstream: request.upstream,
            pool: request.pool,
            process: request.process,
            address: request.address.to_string(),
            directory: request.directory.revision,
            directory_era: request.directory.era,
            configuration: request.revision,
            host: request.host,
            access: request.access.unwrap_or_default(),
            workspace: request.workspace,
            target: request.path,
            ..Self::default()
        }
    }
}

impl TryFrom<&peer::SendTransitRequest> for TransitRequest {
    type Error = InvalidAddress;

    fn try_from(message: &peer::SendTransitRequest) -> Result<Self, Self::Error> {
        let address =
            message.address.parse().map_err(|_| InvalidAddress(message.address.clone()))?;
        let path = message.target.split('?').next().unwrap_or_default();
        Ok(Self {
            upstream: message.upstream.clone(),
            pool: message.pool.clone(),
            process: message.process.clone(),
            address,
            directory: StorePosition { era: message.directory_era, revision: message.directory },
            revision: message.configuration,
            host: message.host.clone(),
            path: path.to_owned(),
            access: Some(message.access.clone()).filter(|access| !access.is_empty()),
            workspace: message.workspace.clone(),
        })
    }
}

impl From<ProbeEvidence> for peer::TestUpstreamReply {
    fn from(evidence: ProbeEvidence) -> Self {
        Self {
            connection: evidence.connection.to_string(),
            pool_tests: u32::try_from(evidence.pool_tests).unwrap_or(u32::MAX),
            pool_open: u32::try_from(evidence.pool_open).unwrap_or(u32::MAX),
            has_open_link: evidence.has_open_link,
        }
    }
}

impl From<peer::TestUpstreamReply> for ProbeEvidence {
    fn from(message: peer::TestUpstreamReply) -> Self {
        Self {
            // An unknown connection state proves nothing.
            connection: message.connection.parse().unwrap_or_default(),
            pool_tests: message.pool_tests as usize,
            pool_open: message.pool_open as usize,
            has_open_link: message.has_open_link,
        }
    }
}
