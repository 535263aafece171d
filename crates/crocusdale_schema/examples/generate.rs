//! Writes `src/generated/` from `proto/`, or with `--check DIR` writes it to DIR instead.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use anyhow::{Context as _, Result, bail};
use prost_types::source_code_info::Location;
use prost_types::{DescriptorProto, FileDescriptorProto, FileDescriptorSet};

const PROTO_FILES: [&str; 3] = ["peer.proto", "settings.proto", "declarations.proto"];
/// Field number of `message_type` in `FileDescriptorProto`, for source paths.
const MESSAGE_TAG: i32 = 4;
/// Field number of `field` in `DescriptorProto`, for source paths.
const FIELD_TAG: i32 = 2;

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut arguments = std::env::args().skip(1);
    let output = match (arguments.next().as_deref(), arguments.next()) {
        (None, _) => root.join("src/generated"),
        (Some("--check"), Some(directory)) => PathBuf::from(directory),
        _ => bail!("usage: generate [--check DIR]"),
    };
    std::fs::create_dir_all(&output)?;
    let files = protox::Compiler::new([root.join("proto")])?
        .include_source_info(true)
        .open_files(PROTO_FILES)?
        .file_descriptor_set();
    write_peer(&files, &output)?;
    std::fs::write(output.join("sections.rs"), sections(&files)?)?;
    Ok(())
}

fn write_peer(files: &FileDescriptorSet, output: &Path) -> Result<()> {
    let peer = FileDescriptorSet {
        file: files.file.iter().filter(|file| file.name() == "peer.proto").cloned().collect(),
    };
    tonic_prost_build::configure()
        .client_mod_attribute(".", "#[cfg(feature = \"rpc\")]")
        .server_mod_attribute(".", "#[cfg(feature = \"rpc\")]")
        .out_dir(output)
        .compile_fds(peer)?;
    Ok(())
}

fn sections(files: &FileDescriptorSet) -> Result<String> {
    let mut text = String::from(
        "//! Tables of settings and declarations, generated from `proto/`.\n\n\
         use crate::spec::{KeyForm, KeySpec, SectionSpec};\n",
    );
    for (file, table, doc) in [
        ("settings.proto", "SETTINGS", "Sections of the process settings."),
        ("declarations.proto", "DECLARATIONS", "Sections of the declarations."),
    ] {
        let file = files.file.iter().find(|each| each.name() == file).context("missing file")?;
        writeln!(text, "\n/// {doc}\npub static {table}: &[SectionSpec] = &[")?;
        for (index, message) in file.message_type.iter().enumerate() {
            write_section(&mut text, file, index, message)?;
        }
        text.push_str("];\n");
    }
    Ok(text)
}

fn write_section(
    text: &mut String,
    file: &FileDescriptorProto,
    index: usize,
    message: &DescriptorProto,
) -> Result<()> {
    let path = [MESSAGE_TAG, i32::try_from(index)?];
    let notes = Notes::read(file, &path);
    writeln!(text, "    SectionSpec {{")?;
    writeln!(text, "        name: {:?},", message.name().to_lowercase())?;
    writeln!(text, "        named: {},", notes.has("named"))?;
    writeln!(text, "        doc: {:?},", notes.doc)?;
    writeln!(text, "        keys: &[")?;
    for (position, field) in message.field.iter().enumerate() {
        let path = [path[0], path[1], FIELD_TAG, i32::try_from(position)?];
        let notes = Notes::read(file, &path);
        let default = notes.value("default");
        writeln!(
            text,
            "            KeySpec {{ name: {:?}, form: {}, required: {}, default: {:?}, doc: {:?} }},",
            field.name(),
            form(&notes).with_context(|| format!("{}.{}", message.name(), field.name()))?,
            notes.has("required"),
            default,
            notes.doc,
        )?;
    }
    writeln!(text, "        ],\n    }},")?;
    Ok(())
}

fn form(notes: &Notes) -> Result<String> {
    let bounds = || -> Result<String> {
        let min = notes.value("min").context("@min is missing")?;
        let max = notes.value("max").context("@max is missing")?;
        Ok(format!("{{ min: {min}, max: {max} }}"))
    };
    Ok(match notes.value("form").context("@form is missing")?.as_str() {
        "name" => "KeyForm::Name".into(),
        "address" => "KeyForm::Address".into(),
        "addresses" => "KeyForm::Addresses".into(),
        "count" => format!("KeyForm::Count {}", bounds()?),
        "duration" => format!("KeyForm::Duration {}", bounds()?),
        "ratio" => "KeyForm::Ratio".into(),
        "flag" => "KeyForm::Flag".into(),
        "labels" => "KeyForm::Labels".into(),
        "selector" => "KeyForm::Selector".into(),
        "stages" => "KeyForm::Stages".into(),
        "path" => "KeyForm::Path".into(),
        "choice" => {
            let choices = notes.value("choices").context("@choices is missing")?;
            format!("KeyForm::Choice(&{:?})", choices.split(' ').collect::<Vec<_>>())
        }
        other => bail!("unknown form {other}"),
    })
}

/// The comment above a message or field.
struct Notes {
    doc: String,
    marks: Vec<(String, String)>,
}

impl Notes {
    fn read(file: &FileDescriptorProto, path: &[i32]) -> Self {
        let locations = file.source_code_info.as_ref().map(|info| info.location.as_slice());
        let found = locations.unwrap_or_default().iter().find(|each| each.path == path);
        let comment = found.map(Location::leading_comments).unwrap_or_default();
        let mut notes = Self { doc: String::new(), marks: Vec::new() };
        for line in comment.lines().map(str::trim) {
            match line.strip_prefix('@') {
                Some(mark) => {
                    let (name, value) = mark.split_once(' ').unwrap_or((mark, ""));
                    notes.marks.push((name.into(), value.into()));
                }
                None if notes.doc.is_empty() => notes.doc = line.into(),
                None => notes.doc = format!("{} {line}", notes.doc),
            }
        }
        notes
    }

    fn has(&self, mark: &str) -> bool {
        self.marks.iter().any(|(name, _)| name == mark)
    }

    fn value(&self, mark: &str) -> Option<String> {
        self.marks.iter().find(|(name, _)| name == mark).map(|(_, value)| value.clone())
    }
}
