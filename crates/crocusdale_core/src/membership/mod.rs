//! Membership of the fleet: the VM list, heartbeats and gossip between daemons, the order of the
//! addresses that callers get, and the choice of the witnesses of a request key.

mod address_order;
mod exchange_message;
mod known_daemons;
mod member_gossip;
mod member_links;
mod member_record;
mod member_view;
mod view_links;
mod vm_list;
mod vm_list_history;
mod witness_set;

pub use address_order::{AddressAnswer, AddressOrder};
pub use exchange_message::{DirectoryVersion, ExchangeMessage, LeavingUpstream};
pub use known_daemons::KnownDaemons;
pub use member_links::{MemberLinks, PoolReach};
pub use member_record::{MemberCapacity, MemberPlace, MemberRecord, MemberStatus};
pub use member_view::{MemberView, MemberViewBuilder};
pub use vm_list::{VmEntry, VmList, VmRole, VmState};
pub use vm_list_history::VmListHistory;
pub use witness_set::{WITNESS_COUNT, WITNESS_QUORUM, WitnessSet};
