//! d
fn main() {}
