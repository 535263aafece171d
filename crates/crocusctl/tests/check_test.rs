//! `crocusctl check` as an operator runs it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn crocusctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_crocusctl")).args(arguments).output().expect("it runs")
}

fn deployments() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments")
}

#[test]
fn both_deployments_are_accepted() {
    for name in ["halloran_great_lakes", "ege_izmir"] {
        let directory = deployments().join(name);
        let output = crocusctl(&["check", &directory.join("declarations.ini").to_string_lossy()]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        for entry in std::fs::read_dir(&directory).expect("the folder exists") {
            let path = entry.expect("an entry").path();
            if path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("entry-")) {
                let output = crocusctl(&["check", "--settings", &path.to_string_lossy()]);
                assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
            }
        }
    }
}

#[test]
fn broken_file_is_named_with_section_and_key() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("broken.ini");
    std::fs::write(&path, "[deployment]\nname = x\nkey_life = 1\n").expect("it is written");
    let output = crocusctl(&["check", &path.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    let named = format!("{}: [deployment] key_life: unknown key", path.display());
    assert!(errors.contains(&named), "{errors}");
    assert!(errors.contains("`key_life_ms` is nearest"), "{errors}");
    assert!(output.stdout.is_empty());
}

#[test]
fn every_command_has_help() {
    for command in ["check", "status", "state", "address", "send", "outcome", "drain", "replay"] {
        let output = crocusctl(&[command, "--help"]);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success() && text.contains("Exit codes"), "{command}: {text}");
    }
    assert_eq!(crocusctl(&["chekc"]).status.code(), Some(2));
}
