use std::time::Duration;

use crocusdale_schema::peer;

use super::millis::{saturating_millis, signed_millis};
use crate::admission::{
    AdmissionCoordinators, AdmissionDecision, AdmissionInputs, AdmissionRequest, AdmissionStep,
    AdmissionVerdict, LevelWork,
};
use crate::batching::{PoolSection, PoolStatus};
use crate::configuration::StagePlan;
use crate::identity::RequestDigest;

/// Maximum length of the names in a message, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of pieces of one step. Larger ones do not occur, and would make sums overflow.
const MAX_PIECES: u32 = 1_000_000;
/// Maximum time in a message: longer than any deadline.
const MAX_MILLIS: u64 = 24 * 3_600 * 1_000;
/// Largest accepted number of sections of one pool. The capacity that one section reports is
/// multiplied by it, and the design size needs fewer.
const MAX_POOL_SECTIONS: usize = 256;
/// Maximum number of levels in a status.
const MAX_LEVELS: usize = 256;
/// Maximum capacity of a section, in thousandths of an upstream.
const MAX_CAPACITY_THOUSANDTHS: u32 = 1_000_000_000;

/// Part of a message about admission that is missing or not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionMessageError {
    field: &'static str,
    value: String,
    accepted: String,
}

impl std::fmt::Display for AdmissionMessageError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { field, value, accepted } = self;
        write!(formatter, "{field}: {value}; accepted: {accepted}")
    }
}

impl std::error::Error for AdmissionMessageError {}

impl From<AdmissionRequest> for peer::AdmitRequestRequest {
    /// Limits the figures to the accepted ranges. Callers choose some of them, and a daemon takes a
    /// coordinator that refuses its message as lost.
    fn from(request: AdmissionRequest) -> Self {
        Self {
            attempt: Some(request.attempt.into()),
            section: request.section,
            digest: request.digest.0.to_vec(),
            workspace: request.workspace,
            level: u32::from(request.level),
            due_ms: signed_millis(request.objective_in),
            left_ms: signed_millis(request.deadline_in).unsigned_abs().min(MAX_MILLIS),
            steps: request.steps.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<AdmissionStep> for peer::AdmissionStep {
    fn from(step: AdmissionStep) -> Self {
        let to_wire = |position| u32::try_from(position).unwrap_or(u32::MAX);
        Self {
            pool: step.pool,
            pieces: step.pieces.min(MAX_PIECES),
            after: step.after.into_iter().map(to_wire).collect(),
            step_ms: saturating_millis(step.step_time.min(Duration::from_millis(MAX_MILLIS))),
        }
    }
}

impl TryFrom<peer::AdmitRequestRequest> for AdmissionRequest {
    type Error = AdmissionMessageError;

    fn try_from(message: peer::AdmitRequestRequest) -> Result<Self, Self::Error> {
        let Some(attempt) = message.attempt else {
            return Err(error("attempt", "missing", "the asking call"));
        };
        if !AdmissionCoordinators::is_section_name(&message.section) {
            let value = shortened(&message.section);
            return Err(error("section", value, "the name of an admission section"));
        }
        let digest_length = message.digest.len();
        let Ok(digest) = message.digest.try_into() else {
            return Err(error("digest", format!("{digest_length} bytes"), "16 bytes"));
        };
        check_range("steps", message.steps.len(), 1, StagePlan::MAX_STAGES)?;
        check_range("left_ms", message.left_ms, 0, MAX_MILLIS)?;
        let read_step = |(position, step)| read_step(position, step);
        let steps = message.steps.into_iter().enumerate().map(read_step);
        Ok(Self {
            attempt: attempt.into(),
            section: message.section,
            digest: RequestDigest(digest),
            workspace: checked_name("workspace", message.workspace, 0)?,
            level: read_level(message.level)?,
            objective_in: Duration::from_millis(
                message.due_ms.max(0).unsigned_abs().min(MAX_MILLIS),
            ),
            deadline_in: Duration::from_millis(message.left_ms),
            steps: steps.collect::<Result<_, _>>()?,
        })
    }
}

fn read_step(
    position: usize,
    step: peer::AdmissionStep,
) -> Result<AdmissionStep, AdmissionMessageError> {
    let after: Vec<usize> = step.after.iter().map(|earlier| *earlier as usize).collect();
    if after.len() > position || after.iter().any(|earlier| *earlier >= position) {
        let accepted = format!("positions below {position}");
        return Err(error("steps.after", format!("{:?}", step.after.first()), accepted));
    }
    check_range("steps.pieces", step.pieces, 0, MAX_PIECES)?;
    check_range("steps.step_ms", u64::from(step.step_ms), 0, MAX_MILLIS)?;
    Ok(AdmissionStep {
        pool: checked_name("steps.pool", step.pool, 1)?,
        pieces: step.pieces,
        after,
        step_time: Duration::from_millis(u64::from(step.step_ms)),
    })
}

impl From<AdmissionDecision> for peer::AdmitRequestReply {
    fn from(decision: AdmissionDecision) -> Self {
        let wait = match decision.verdict {
            AdmissionVerdict::Start => Duration::ZERO,
            AdmissionVerdict::StartAfter(wait) | AdmissionVerdict::Refuse(wait) => wait,
        };
        Self {
            verdict: decision.verdict.to_string(),
            wait_ms: saturating_millis(wait),
            step_delays_ms: decision.step_delays.into_iter().map(saturating_millis).collect(),
        }
    }
}

impl TryFrom<peer::AdmitRequestReply> for AdmissionDecision {
    type Error = AdmissionMessageError;

    fn try_from(message: peer::AdmitRequestReply) -> Result<Self, Self::Error> {
        check_range("step_delays_ms", message.step_delays_ms.len(), 0, StagePlan::MAX_STAGES)?;
        let wait = Duration::from_millis(u64::from(message.wait_ms));
        let verdicts = [
            AdmissionVerdict::Start,
            AdmissionVerdict::StartAfter(wait),
            AdmissionVerdict::Refuse(wait),
        ];
        let verdict = verdicts.into_iter().find(|known| known.to_string() == message.verdict);
        let Some(verdict) = verdict else {
            let accepted = "start, start_after or refuse";
            return Err(error("verdict", shortened(&message.verdict), accepted));
        };
        let delays = message.step_delays_ms.into_iter();
        let step_delays = delays.map(|millis| Duration::from_millis(u64::from(millis))).collect();
        Ok(Self { verdict, step_delays, inputs: AdmissionInputs::default() })
    }
}

impl From<PoolStatus> for peer::ReportPoolStatusRequest {
    fn from(status: PoolStatus) -> Self {
        let levels = status.on_time.levels().zip(status.late.levels());
        let waiting = levels.filter(|((_, on_time), (_, late))| on_time + late > 0.0);
        let waiting = waiting.map(|((level, on_time), (_, late))| peer::LevelWork {
            level: u32::from(level),
            on_time_ms: (on_time * 1_000.0) as u64,
            late_ms: (late * 1_000.0) as u64,
        });
        Self {
            capacity_thousandths: (status.capacity * 1_000.0) as u32,
            waiting: waiting.collect(),
            pool: status.section,
            sender: status.sender,
            call_ms: saturating_millis(status.call_time),
            overdue_ms: u64::try_from(status.overdue.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<peer::ReportPoolStatusRequest> for PoolStatus {
    type Error = AdmissionMessageError;

    fn try_from(message: peer::ReportPoolStatusRequest) -> Result<Self, Self::Error> {
        check_range("waiting", message.waiting.len(), 0, MAX_LEVELS)?;
        let capacity = message.capacity_thousandths;
        check_range("capacity_thousandths", capacity, 0, MAX_CAPACITY_THOUSANDTHS)?;
        check_range("call_ms", u64::from(message.call_ms), 0, MAX_MILLIS)?;
        check_range("overdue_ms", message.overdue_ms, 0, MAX_MILLIS * 1_000)?;
        let section_count = PoolSection::from_name(&message.pool).section_count();
        check_range("section count of pool", section_count, 1, MAX_POOL_SECTIONS)?;
        let (mut on_time, mut late) = (LevelWork::default(), LevelWork::default());
        for waiting in message.waiting {
            check_range("waiting.on_time_ms", waiting.on_time_ms, 0, MAX_MILLIS * 1_000)?;
            check_range("waiting.late_ms", waiting.late_ms, 0, MAX_MILLIS * 1_000)?;
            let level = read_level(waiting.level)?;
            on_time.add(level, waiting.on_time_ms as f64 / 1_000.0);
            late.add(level, waiting.late_ms as f64 / 1_000.0);
        }
        Ok(Self {
            section: checked_name("pool", message.pool, 1)?,
            sender: checked_name("sender", message.sender, 1)?,
            capacity: f64::from(message.capacity_thousandths) / 1_000.0,
            call_time: Duration::from_millis(u64::from(message.call_ms)),
            on_time,
            late,
            overdue: Duration::from_millis(message.overdue_ms),
        })
    }
}

fn read_level(level: u32) -> Result<u8, AdmissionMessageError> {
    u8::try_from(level).map_err(|_| error("level", level.to_string(), "0 to 255"))
}

fn checked_name(
    field: &'static str,
    name: String,
    min_bytes: usize,
) -> Result<String, AdmissionMessageError> {
    if (min_bytes..=MAX_NAME_BYTES).contains(&name.len()) {
        return Ok(name);
    }
    let accepted = format!("{min_bytes} to {MAX_NAME_BYTES} bytes");
    Err(error(field, format!("{} bytes", name.len()), accepted))
}

fn check_range<T: Copy + PartialOrd + std::fmt::Display>(
    field: &'static str,
    value: T,
    min: T,
    max: T,
) -> Result<(), AdmissionMessageError> {
    if value >= min && value <= max {
        return Ok(());
    }
    Err(error(field, value.to_string(), format!("{min} to {max}")))
}

fn error(
    field: &'static str,
    value: impl Into<String>,
    accepted: impl Into<String>,
) -> AdmissionMessageError {
    AdmissionMessageError { field, value: value.into(), accepted: accepted.into() }
}

fn shortened(text: &str) -> String {
    text.chars().take(64).collect()
}
