//! Desired state of model engines: the order that each must fulfil and the daemon that sends it.

mod engine_order;
mod order_reconciler;

pub use engine_order::{EngineOrder, EngineRole};
pub use order_reconciler::{OrderReconciler, ReconcileAction};
