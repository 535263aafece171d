//! Orders to model engines: what they must hold, and who tells them.

mod engine_order;
mod order_keeper;

pub use engine_order::{EngineOrder, EngineRole};
pub use order_keeper::{OrderKeeper, OrderStep};
