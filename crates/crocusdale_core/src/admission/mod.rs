//! Limits on what runs at one time.

mod admission_gate;

pub use admission_gate::{AdmissionGate, AdmissionPermit};
