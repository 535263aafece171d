//! Reads of the configuration service and the VM list.

mod platform_reader;

pub use platform_reader::PlatformReader;
