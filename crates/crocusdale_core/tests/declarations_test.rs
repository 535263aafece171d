//! Declarations and settings are taken whole or not at all, and every error says where it is.

use crocusdale_core::configuration::{
    ConfigurationErrorKind as Kind, DECLARATIONS_LIMIT, Declarations, LabelSet, ProcessSettings,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the proptests: CI gives the same verdict every time.
const SEED: u64 = 20_261_202;

const RIGHT: &str = "\
[deployment]
name = small
key_life_ms = 9000

[upstream e1]
vm = vm-1
zone = a
kind = stage_pool
address = 127.0.0.1:1
labels = stage=encode

[workspace mail]

[stage encode]
pool = stage = encode

[pipeline read]
when = job = read
stages = encode

[priority quick]
when = *
level = 1
";

/// Replaces a line of the right text, and tells what the check finds.
fn errors_after(line: &str, replacement: &str) -> Vec<(Kind, String, String)> {
    assert!(RIGHT.contains(line), "{line}");
    let text = RIGHT.replacen(line, replacement, 1);
    let errors = Declarations::check("test.ini", &text).expect_err("it is broken");
    errors.into_iter().map(|error| (error.kind, error.section, error.key)).collect()
}

#[test]
fn right_declarations_are_accepted() {
    let declarations = Declarations::check("test.ini", RIGHT).expect("they are right");
    let labels = LabelSet::parse("job=read").expect("they are labels");
    assert_eq!(declarations.pipeline_for(&labels).expect("it matches").name, "read");
    assert_eq!(declarations.level_for(&labels), 1);
}

#[test]
fn broken_declarations_are_rejected_where_they_are_broken() {
    let cases: &[(&str, &str, Kind, &str, &str)] = &[
        ("name = small", "", Kind::MissingKey, "deployment", "name"),
        ("name = small", "name = two words", Kind::BadValue, "deployment", "name"),
        ("key_life_ms = 9000", "key_life_ms = 7000", Kind::BadValue, "deployment", "key_life_ms"),
        ("key_life_ms = 9000", "key_life_ms = soon", Kind::BadValue, "deployment", "key_life_ms"),
        ("key_life_ms = 9000", "key_live_ms = 9000", Kind::UnknownKey, "deployment", "key_live_ms"),
        ("[deployment]", "[deploiment]", Kind::UnknownSection, "deploiment", ""),
        ("[deployment]", "[deployment x]", Kind::BadSectionName, "deployment x", ""),
        ("[upstream e1]", "[upstream]", Kind::BadSectionName, "upstream", ""),
        ("[upstream e1]", "[upstream e 1]", Kind::BadSectionName, "upstream e 1", ""),
        ("vm = vm-1", "", Kind::MissingKey, "upstream e1", "vm"),
        ("vm = vm-1", "vm = vm-1\nvm = vm-2", Kind::RepeatedKey, "upstream e1", "vm"),
        ("kind = stage_pool", "kind = pool", Kind::BadValue, "upstream e1", "kind"),
        (
            "address = 127.0.0.1:1",
            "address = localhost:1",
            Kind::BadValue,
            "upstream e1",
            "address",
        ),
        ("labels = stage=encode", "labels = stage", Kind::BadValue, "upstream e1", "labels"),
        ("labels = stage=encode", "concurrency = 0", Kind::BadValue, "upstream e1", "concurrency"),
        ("pool = stage = encode", "pool = stage in encode", Kind::BadValue, "stage encode", "pool"),
        (
            "pool = stage = encode",
            "pool = stage = rerank",
            Kind::DanglingName,
            "stage encode",
            "pool",
        ),
        ("[stage encode]", "[stage code]", Kind::DanglingName, "pipeline read", "stages"),
        ("stages = encode", "stages = encode, encode", Kind::BadValue, "pipeline read", "stages"),
        ("stages = encode", "stages = encode,,", Kind::BadValue, "pipeline read", "stages"),
        (
            "stages = encode",
            "stages = encode\nrepeatable = maybe",
            Kind::BadValue,
            "pipeline read",
            "repeatable",
        ),
        ("level = 1", "level = 10", Kind::BadValue, "priority quick", "level"),
        ("when = *", "when = ", Kind::BadValue, "priority quick", "when"),
        ("[priority quick]", "[workspace mail]", Kind::RepeatedSection, "workspace mail", ""),
    ];
    for (line, replacement, kind, section, key) in cases {
        let errors = errors_after(line, replacement);
        let wanted = (*kind, (*section).to_owned(), (*key).to_owned());
        assert!(errors.contains(&wanted), "{line} -> {replacement}: {errors:?}");
    }
}

#[test]
fn every_error_is_reported_at_once() {
    let text = RIGHT.replace("zone = a", "zone = ?").replace("level = 1", "level = x");
    let errors = Declarations::check("test.ini", &text).expect_err("it is broken");
    assert_eq!(errors.len(), 2, "{errors:?}");
}

#[test]
fn unknown_key_names_the_nearest_one() {
    let text = RIGHT.replace("key_life_ms", "keylife_ms");
    let errors = Declarations::check("test.ini", &text).expect_err("it is broken");
    assert!(errors[0].accepted.starts_with("`key_life_ms` is nearest"), "{}", errors[0]);
}

#[test]
fn text_over_the_limit_is_refused_unread() {
    let text = "#".repeat(DECLARATIONS_LIMIT + 1);
    let errors = Declarations::check("test.ini", &text).expect_err("it is too large");
    assert_eq!(errors[0].kind, Kind::TooLarge);
}

#[test]
fn settings_need_their_addresses() {
    let errors = ProcessSettings::check("entry.ini", "[daemon]\nname = a\nzone = z\n");
    let errors = errors.expect_err("sections are missing");
    let sections: Vec<&str> = errors.iter().map(|error| error.section.as_str()).collect();
    assert_eq!(sections, ["listen", "platform"]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_bytes_make_the_reader_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = Declarations::check("any", &text);
        let _ = ProcessSettings::check("any", &text);
    }

    #[test]
    fn no_edit_makes_the_reader_panic(
        start in 0..RIGHT.len(),
        length in 0..40_usize,
        insert in "[\\[\\]=,|!*();#a-z0-9 \n]{0,40}",
    ) {
        let end = (start + length).min(RIGHT.len());
        let text = format!("{}{insert}{}", &RIGHT[..start], &RIGHT[end..]);
        let _ = Declarations::check("edited", &text);
    }
}
