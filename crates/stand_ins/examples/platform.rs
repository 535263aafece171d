//! The platform as a process: `platform ADDRESS DECLARATIONS ROSTER`, with the paths of the
//! declarations (INI) and of the VM list (JSON) to publish as revision 1.

use anyhow::{Context as _, Result};
use stand_ins::PlatformStandIn;

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut next = |what: &str| arguments.next().with_context(|| format!("missing {what}"));
    let address = next("ADDRESS")?.parse().context("ADDRESS")?;
    let text = std::fs::read_to_string(next("DECLARATIONS")?)?;
    let roster = serde_json::from_str(&std::fs::read_to_string(next("ROSTER")?)?)?;
    let platform = PlatformStandIn::start(address)?;
    platform.set_roster(roster);
    platform.publish(1, text);
    loop {
        std::thread::park();
    }
}
