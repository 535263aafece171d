use std::fmt;
use std::time::Duration;

use crocusdale_schema::peer;

use super::millis::{saturating_micros, saturating_millis, signed_millis};
use crate::configuration::AllowedRegions;
use crate::identity::{MonotonicTime, SoftwareVersion};
use crate::pipeline::PromptPart;
use crate::placement::{
    FirstEventTime, MAX_NAMES, MAX_PARTS, MAX_TOKENS, PlacementOutcome, PlacementReply,
    PlacementReport, PlacementRequest,
};
use crate::streams::AllowedVersion;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 512;
/// Maximum number of reports in one message.
const MAX_REPORTS: usize = 16_384;
/// Longest time to the deadline. State about a request is kept until then.
const MAX_TIME_LEFT: Duration = Duration::from_secs(3_600);

/// Why a message about placements is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFault {
    /// A required field is missing or invalid.
    Missing(&'static str),
    /// A field is too large.
    Oversized {
        /// Name of the field.
        field: &'static str,
        /// Length or value in the message.
        size: u64,
        /// Largest accepted length or value.
        accepted: u64,
    },
}

impl fmt::Display for MessageFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(field) => write!(formatter, "the message lacks {field}"),
            Self::Oversized { field, size, accepted } => {
                write!(formatter, "{field}: {size}; accepted: up to {accepted}")
            }
        }
    }
}

impl std::error::Error for MessageFault {}

impl PlacementRequest {
    /// Message that asks another daemon. Points in time become durations from `now`, because the
    /// daemons have different clocks.
    #[must_use]
    pub fn to_wire(&self, now: MonotonicTime) -> peer::PlaceRequestRequest {
        let parts = self.shared_parts.iter();
        peer::PlaceRequestRequest {
            attempt: Some(self.attempt.into()),
            section: self.section.clone(),
            level: u32::from(self.level),
            parts: parts
                .map(|part| peer::PromptPart { id: part.id, tokens: part.tokens })
                .collect(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            due_ms: signed_millis(self.objective.since(now))
                - signed_millis(now.since(self.objective)),
            left_ms: signed_millis(self.deadline.since(now)).unsigned_abs(),
            excluded: self.excluded.clone(),
            regions: self.allowed_regions.names().unwrap_or_default().to_vec(),
            input_zone: self.input_zone.clone().unwrap_or_default(),
            input_bytes: self.input_bytes,
            software_version: match &self.allowed_version {
                AllowedVersion::Only(version) => Some(version.to_string()),
                AllowedVersion::Any | AllowedVersion::Unknown => None,
            },
        }
    }

    /// Request in a message that arrived from another daemon at `now`.
    ///
    /// # Errors
    ///
    /// Returns the fault if a field is missing or too large.
    pub fn from_wire(
        message: peer::PlaceRequestRequest,
        now: MonotonicTime,
    ) -> Result<Self, MessageFault> {
        let attempt = message.attempt.ok_or(MessageFault::Missing("attempt"))?.into();
        let names = [&message.section, &message.input_zone].into_iter();
        let names = names.chain(&message.excluded).chain(&message.regions);
        check_names(names)?;
        if message.section.is_empty() {
            return Err(MessageFault::Missing("section"));
        }
        check_size("parts", message.parts.len() as u64, MAX_PARTS as u64)?;
        check_size("excluded", message.excluded.len() as u64, MAX_NAMES as u64)?;
        check_size("regions", message.regions.len() as u64, MAX_NAMES as u64)?;
        check_size("prompt_tokens", message.prompt_tokens, MAX_TOKENS)?;
        check_size("output_tokens", message.output_tokens, MAX_TOKENS)?;
        let time_left = Duration::from_millis(message.due_ms.max(0).unsigned_abs());
        let overdue = Duration::from_millis(message.due_ms.min(0).unsigned_abs());
        let due = (now + time_left).since_start().saturating_sub(overdue);
        let allowed_version = match message.software_version.as_deref() {
            Some(version) => {
                SoftwareVersion::new(version).map_or(AllowedVersion::Unknown, AllowedVersion::Only)
            }
            None => AllowedVersion::Any,
        };
        let parts = message.parts.into_iter();
        Ok(Self {
            attempt,
            section: message.section,
            level: u8::try_from(message.level).unwrap_or(u8::MAX),
            shared_parts: parts
                .map(|part| PromptPart { id: part.id, tokens: part.tokens })
                .collect(),
            prompt_tokens: message.prompt_tokens,
            output_tokens: message.output_tokens,
            objective: MonotonicTime::from_start(due),
            deadline: now + Duration::from_millis(message.left_ms).min(MAX_TIME_LEFT),
            excluded: message.excluded,
            allowed_regions: AllowedRegions::new(message.regions),
            input_zone: (!message.input_zone.is_empty()).then_some(message.input_zone),
            input_bytes: message.input_bytes,
            allowed_version,
        })
    }
}

impl From<PlacementReply> for peer::PlaceRequestReply {
    fn from(reply: PlacementReply) -> Self {
        let time = reply.first_event;
        let micros = |part: Option<Duration>| part.map(saturating_micros).unwrap_or_default();
        Self {
            upstream: reply.upstream.unwrap_or_default(),
            expected_ms: saturating_millis(reply.expected),
            first_event_us: micros(time.map(|time| time.fixed)),
            thousand_tokens_us: micros(time.map(|time| time.thousand_tokens)),
        }
    }
}

impl From<peer::PlaceRequestReply> for PlacementReply {
    fn from(message: peer::PlaceRequestReply) -> Self {
        let is_known = message.first_event_us > 0 || message.thousand_tokens_us > 0;
        let micros = |micros: u32| Duration::from_micros(u64::from(micros));
        Self {
            upstream: (!message.upstream.is_empty()).then_some(message.upstream),
            expected: Duration::from_millis(u64::from(message.expected_ms)),
            first_event: is_known.then(|| FirstEventTime {
                fixed: micros(message.first_event_us),
                thousand_tokens: micros(message.thousand_tokens_us),
            }),
        }
    }
}

impl From<PlacementReport> for peer::PlacementReport {
    fn from(report: PlacementReport) -> Self {
        Self {
            attempt: Some(report.attempt.into()),
            outcome: report.outcome.to_string(),
            first_event_ms: report.first_event.map(saturating_millis),
            stream_ms: saturating_millis(report.stream_time),
            events: report.events,
            upstream: report.upstream,
        }
    }
}

impl TryFrom<peer::PlacementReport> for PlacementReport {
    type Error = MessageFault;

    fn try_from(message: peer::PlacementReport) -> Result<Self, MessageFault> {
        check_names([&message.upstream])?;
        let outcome: Result<PlacementOutcome, _> = message.outcome.parse();
        let millis = |millis: u32| Duration::from_millis(u64::from(millis));
        Ok(Self {
            attempt: message.attempt.ok_or(MessageFault::Missing("attempt"))?.into(),
            outcome: outcome.map_err(|_| MessageFault::Missing("outcome"))?,
            first_event: message.first_event_ms.map(millis),
            stream_time: millis(message.stream_ms),
            events: message.events,
            upstream: message.upstream,
        })
    }
}

/// Section and reports of a message.
///
/// # Errors
///
/// Returns the fault if a field of the message or of a report is missing or too large.
pub fn read_placement_reports(
    message: peer::ReportPlacementsRequest,
) -> Result<(String, Vec<PlacementReport>), MessageFault> {
    check_names([&message.section])?;
    check_size("reports", message.reports.len() as u64, MAX_REPORTS as u64)?;
    let reports = message.reports.into_iter().map(PlacementReport::try_from);
    Ok((message.section, reports.collect::<Result<_, _>>()?))
}

fn check_names<'a>(names: impl IntoIterator<Item = &'a String>) -> Result<(), MessageFault> {
    let longest = names.into_iter().map(String::len).max().unwrap_or_default();
    check_size("name", longest as u64, MAX_NAME_BYTES as u64)
}

fn check_size(field: &'static str, size: u64, accepted: u64) -> Result<(), MessageFault> {
    if size > accepted {
        return Err(MessageFault::Oversized { field, size, accepted });
    }
    Ok(())
}
