//! The committed code is what the schema gives.

use std::path::Path;
use std::process::Command;

// Someone edits a `.proto` file and forgets to run the generator, or edits the generated code by
// hand. The build would go on with code that no longer says what the schema says.
#[test]
fn committed_code_matches_schema() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    let status = Command::new(env!("CARGO"))
        .args([
            "run",
            "--quiet",
            "-p",
            "crocusdale_schema",
            "--example",
            "generate",
            "--",
            "--check",
        ])
        .arg(&directory)
        .status()
        .expect("cargo runs");
    assert!(status.success());
    for name in ["crocusdale.peer.v1.rs", "sections.rs"] {
        let fresh = std::fs::read_to_string(directory.join(name)).expect("generated file");
        let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated").join(name);
        let committed = std::fs::read_to_string(committed).expect("committed file");
        assert!(fresh == committed, "{name} is stale: run the example `generate`");
    }
}
