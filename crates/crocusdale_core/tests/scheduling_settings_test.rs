//! Settings of the section `[scheduling]`.

use crocusdale_core::configuration::{ConfigurationErrorKind, ProcessSettings, SchedulingSettings};

/// Checks settings with the given lines in `[scheduling]`.
fn check(lines: &str) -> Result<SchedulingSettings, Vec<String>> {
    let text = format!(
        "[daemon]\nname = a\nzone = z\n[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\n\
         operator = 127.0.0.1:3\n[platform]\nconfiguration = 127.0.0.1:4\n\
         vm_list = 127.0.0.1:5\n{lines}"
    );
    match ProcessSettings::check("entry.ini", &text) {
        Ok(settings) => Ok(settings.scheduling),
        Err(errors) => {
            let is_value = |kind| kind == ConfigurationErrorKind::BadValue;
            assert!(errors.iter().all(|error| is_value(error.kind)), "{errors:?}");
            Err(errors.iter().map(ToString::to_string).collect())
        }
    }
}

/// Guards against a fleet that changes its decisions although its settings do not ask for it.
#[test]
fn everything_is_off_by_default() {
    let settings = check("").expect("the section is optional");
    assert_eq!(settings, SchedulingSettings::default());
    assert!(!settings.is_coordinated(100_000));
}

#[test]
fn all_decisions_can_be_turned_on() {
    let settings = check(
        "[scheduling]\ncoordination_min_daemons = 12\nengine_placement = on\n\
         chain_admission = on\nworkspace_shares = on\nreturn_slots = on\nalign_parallel_steps = on\n",
    );
    let settings = settings.expect("the settings are valid");
    let expected = SchedulingSettings {
        pipeline_levels: false,
        abandon: None,
        min_daemons: 12,
        engine_placement: true,
        chain_admission: true,
        workspace_shares: true,
        return_slots: true,
        align_parallel_steps: true,
    };
    assert_eq!(settings, expected);
    assert!(settings.is_coordinated(12) && !settings.is_coordinated(11));
}

/// Guards against a typing error that leaves a decision off without a word. Each error names the
/// file, the section, the key, the value and what is accepted.
#[test]
fn invalid_values_are_refused_with_their_range() {
    let switch = "one of on, off";
    let cases = [
        ("coordination_min_daemons", "-1", "0 to 100000"),
        ("coordination_min_daemons", "100001", "0 to 100000"),
        ("coordination_min_daemons", "many", "0 to 100000"),
        ("engine_placement", "yes", switch),
        ("chain_admission", "1", switch),
        ("workspace_shares", "true", switch),
        ("return_slots", "On", switch),
        ("align_parallel_steps", "", switch),
    ];
    for (key, value, accepted) in cases {
        let errors = check(&format!("[scheduling]\n{key} = {value}\n"));
        let errors = errors.expect_err("invalid values are refused");
        assert_eq!(errors.len(), 1, "{errors:?}");
        for part in ["entry.ini: ", "[scheduling]", key, value, accepted] {
            assert!(errors[0].contains(part), "{part:?} is missing: {}", errors[0]);
        }
    }
}

/// Guards against settings that seem to be on and have no effect, because nobody coordinates
/// admission.
#[test]
fn shares_and_slots_need_chain_admission() {
    for key in ["workspace_shares", "return_slots"] {
        for admission in ["", "chain_admission = off\n"] {
            let errors = check(&format!("[scheduling]\n{admission}{key} = on\n"));
            let errors = errors.expect_err("the key has no effect alone");
            assert_eq!(errors.len(), 1, "{errors:?}");
            for part in ["[scheduling]", key, "\"on\"", "chain_admission = on"] {
                assert!(errors[0].contains(part), "{part:?} is missing: {}", errors[0]);
            }
        }
        check(&format!("[scheduling]\nchain_admission = on\n{key} = on\n")).expect("it is valid");
    }
}
