use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_schema::sections::SETTINGS;

use super::section_reader::{CheckedSection, ErrorCollector, read_sections};
use super::{ConfigurationError, ConfigurationErrorKind};

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Worker threads.
    pub threads: usize,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Configuration service.
    pub configuration: SocketAddr,
    /// VM list.
    pub vm_list: SocketAddr,
    /// Pause between two reads of the VM list.
    pub vm_list_period: Duration,
    /// Bounds on what callers may send.
    pub limits: LimitSettings,
    /// Heartbeats between daemons.
    pub membership: MembershipSettings,
    /// Format of log lines.
    pub log: LogFormat,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Open connections from callers.
    pub connections: usize,
    /// Time for a request head to arrive; an idle connection is closed after it.
    pub head_time: Duration,
    /// Time for a request body to arrive.
    pub body_time: Duration,
    /// Requests that may run at one time.
    pub requests: usize,
}

/// Heartbeats between daemons.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Pause between two heartbeats.
    pub period: Duration,
    /// How long a suspected member may still refute.
    pub suspicion: Duration,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    Terminal,
    /// One JSON object a line.
    Json,
}

impl ProcessSettings {
    /// Checks `text` wholly.
    ///
    /// # Errors
    ///
    /// Returns every error found, each naming file, section, key and the accepted form.
    pub fn check(file: &str, text: &str) -> Result<Self, Vec<ConfigurationError>> {
        let mut errors = ErrorCollector::new(file);
        let mut sections = read_sections(SETTINGS, text, &mut errors);
        for spec in SETTINGS {
            if sections.iter().any(|section| section.spec.name == spec.name) {
                continue;
            }
            if spec.keys.iter().any(|key| key.required) {
                let accepted = format!("a section [{}]", spec.name);
                errors.report(
                    ConfigurationErrorKind::MissingSection,
                    (spec.name, ""),
                    "",
                    accepted,
                );
            }
            sections.push(CheckedSection::empty(spec));
        }
        errors.finish(())?;
        Ok(Self::read(&sections))
    }

    fn read(sections: &[CheckedSection]) -> Self {
        let section = |name: &str| {
            let found = sections.iter().find(|section| section.spec.name == name);
            found.expect("every section of the schema stands after the check")
        };
        let address = |name: &str, key: &str| {
            section(name).get::<SocketAddr>(key).expect("a required address was checked")
        };
        let number = |name: &str, key: &str| {
            section(name).get::<usize>(key).expect("a number with a default was checked")
        };
        let duration = |name: &str, key: &str| {
            section(name).duration(key).expect("a duration with a default was checked")
        };
        Self {
            vm: section("daemon").owned("name"),
            zone: section("daemon").owned("zone"),
            threads: number("daemon", "threads"),
            caller: address("listen", "caller"),
            peer: address("listen", "peer"),
            operator: address("listen", "operator"),
            configuration: address("platform", "configuration"),
            vm_list: address("platform", "vm_list"),
            vm_list_period: duration("platform", "vm_list_period_ms"),
            limits: LimitSettings {
                body_bytes: number("limits", "body_bytes"),
                head_bytes: number("limits", "head_bytes"),
                connections: number("limits", "connections"),
                head_time: duration("limits", "head_ms"),
                body_time: duration("limits", "body_ms"),
                requests: number("limits", "requests"),
            },
            membership: MembershipSettings {
                period: duration("membership", "period_ms"),
                suspicion: duration("membership", "suspicion_ms"),
            },
            log: section("log").get("format").unwrap_or(LogFormat::Terminal),
        }
    }
}
