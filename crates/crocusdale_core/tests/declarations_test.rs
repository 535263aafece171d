//! Declarations and settings are accepted whole or not at all, and every error names its place.

use std::time::Duration;

use crocusdale_core::configuration::{
    ConfigurationErrorKind as Kind, DECLARATIONS_LIMIT, Declarations, LabelSet, PlatformSettings,
    ProcessSettings,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Fixed seed of the property tests, so that each run in CI has the same result.
const SEED: u64 = 20_261_202;

/// Declarations that the check accepts. The tests replace single lines of them.
const VALID_DECLARATIONS: &str = "\
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

/// Replaces a line of the valid declarations. Returns the kind, section and key of each error.
fn errors_after_replacement(line: &str, replacement: &str) -> Vec<(Kind, String, String)> {
    assert!(VALID_DECLARATIONS.contains(line), "the valid declarations must contain {line}");
    let text = VALID_DECLARATIONS.replacen(line, replacement, 1);
    let errors =
        Declarations::check("test.ini", &text).expect_err("invalid declarations must be rejected");
    errors.into_iter().map(|error| (error.kind, error.section, error.key)).collect()
}

#[test]
fn valid_declarations_are_accepted() {
    let declarations = Declarations::check("test.ini", VALID_DECLARATIONS)
        .expect("valid declarations must be accepted");
    let labels = LabelSet::parse("job=read").expect("they are labels");
    assert_eq!(
        declarations.pipeline_for(&labels).expect("a pipeline must match job=read").name,
        "read"
    );
    assert_eq!(declarations.level_for(&labels), 1);
}

#[test]
fn invalid_declarations_are_rejected_with_section_and_key() {
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
        let errors = errors_after_replacement(line, replacement);
        let expected = (*kind, (*section).to_owned(), (*key).to_owned());
        assert!(
            errors.contains(&expected),
            "{line} -> {replacement}: expected {expected:?}, got {errors:?}"
        );
    }
}

#[test]
fn every_error_is_reported_at_once() {
    let text = VALID_DECLARATIONS.replace("zone = a", "zone = ?").replace("level = 1", "level = x");
    let errors =
        Declarations::check("test.ini", &text).expect_err("invalid declarations must be rejected");
    assert_eq!(errors.len(), 2, "{errors:?}");
}

#[test]
fn error_of_an_unknown_key_suggests_the_nearest_one() {
    let text = VALID_DECLARATIONS.replace("key_life_ms", "keylife_ms");
    let errors =
        Declarations::check("test.ini", &text).expect_err("invalid declarations must be rejected");
    assert!(errors[0].accepted.starts_with("`key_life_ms` is nearest"), "{}", errors[0]);
}

#[test]
fn text_over_the_size_limit_is_rejected_unparsed() {
    let text = "#".repeat(DECLARATIONS_LIMIT + 1);
    let errors =
        Declarations::check("test.ini", &text).expect_err("a text over the limit must be rejected");
    assert_eq!(errors[0].kind, Kind::TooLarge);
}

#[test]
fn settings_without_addresses_are_rejected() {
    let errors = ProcessSettings::check("entry.ini", "[daemon]\nname = a\nzone = z\n");
    let errors = errors.expect_err("missing sections must be rejected");
    let sections: Vec<&str> = errors.iter().map(|error| error.section.as_str()).collect();
    assert_eq!(sections, ["listen", "platform"]);
}

/// Guards against a fleet that reads the store several times as often as its users need, because a
/// bound that they don't state counts as the shortest one.
#[test]
fn unstated_evacuation_bound_does_not_shorten_the_others() {
    let text = "[daemon]\nname = a\nzone = z\n[listen]\ncaller = 127.0.0.1:1\n\
                peer = 127.0.0.1:2\noperator = 127.0.0.1:3\nreadiness = 127.0.0.1:4\n\
                addresses = 127.0.0.1:5\n[published]\nstore = 127.0.0.1:6\n\
                seeds = 127.0.0.1:2\nnotice_ms = 5000\nconfiguration_ms = 4000\n";
    let evacuation_bound = |text: &str| {
        let settings = ProcessSettings::check("entry.ini", text).expect("the settings are valid");
        match settings.platform {
            PlatformSettings::Published(published) => published.bounds.evacuation,
            PlatformSettings::Services { .. } => panic!("the settings name a store"),
        }
    };
    assert_eq!(evacuation_bound(text), Duration::from_secs(5));
    assert_eq!(evacuation_bound(&format!("{text}evacuation_ms = 3000\n")), Duration::from_secs(3));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_bytes_make_the_parser_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = Declarations::check("any", &text);
        let _ = ProcessSettings::check("any", &text);
    }

    #[test]
    fn no_edit_makes_the_parser_panic(
        start in 0..VALID_DECLARATIONS.len(),
        length in 0..40_usize,
        insert in "[\\[\\]=,|!*();#a-z0-9 \n]{0,40}",
    ) {
        let end = (start + length).min(VALID_DECLARATIONS.len());
        let text = format!("{}{insert}{}", &VALID_DECLARATIONS[..start], &VALID_DECLARATIONS[end..]);
        let _ = Declarations::check("edited", &text);
    }
}
