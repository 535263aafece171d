use super::RequestShard;
use crate::identity::{CallId, MonotonicTime};

/// Facts about a request that a placement coordinator weighs, beyond its slot request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementInputs {
    /// Time by which the first event should be sent.
    pub objective: MonotonicTime,
    /// Availability zone that holds most input bytes. `None` if there are no inputs.
    pub zone: Option<String>,
    /// Bytes that the step fetches from that zone.
    pub bytes: u64,
}

impl RequestShard {
    /// Facts about the step at position `step` of `call`. `None` if the call is not running.
    #[must_use]
    pub fn placement_inputs(&self, call: CallId, step: usize) -> Option<PlacementInputs> {
        let run = &self.runs.get(&call)?.run;
        let (zone, bytes) = run.input_location(step).unzip();
        Some(PlacementInputs {
            objective: run.plan().objective,
            zone: zone.map(str::to_owned),
            bytes: bytes.unwrap_or_default(),
        })
    }
}
