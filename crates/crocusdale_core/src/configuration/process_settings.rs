use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_schema::sections::SETTINGS;

use super::section_reader::{CheckedSection, ErrorCollector, parse_addresses, read_sections};
use super::{ConfigurationError, ConfigurationErrorKind, RegionMap};
use crate::daemon::StalenessBounds;
use crate::retry::RetryLimits;
use crate::routing::ColdLimits;

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Regions of the availability zones.
    pub regions: RegionMap,
    /// Worker threads.
    pub threads: usize,
    /// Part of a processor core that the process may use.
    pub cpu_share: f64,
    /// Bandwidth of the VM's link, in megabits a second.
    pub link_mbps: f64,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where the platform publishes what the system reads.
    pub platform: PlatformSettings,
    /// Bounds on what callers may send.
    pub limits: LimitSettings,
    /// Heartbeats between daemons.
    pub membership: MembershipSettings,
    /// Format of log lines.
    pub log: LogFormat,
}

/// Where the platform publishes what the system reads.
#[derive(Clone, Debug)]
pub enum PlatformSettings {
    /// A configuration service and a VM list; callers send JSON requests.
    Services {
        /// Configuration service.
        configuration: SocketAddr,
        /// VM list.
        vm_list: SocketAddr,
        /// Pause between two reads of the VM list.
        vm_list_period: Duration,
    },
    /// One store; callers' requests are passed through.
    Published(PublishedSettings),
}

/// A platform whose one store publishes configuration and upstreams.
#[derive(Clone, Debug)]
pub struct PublishedSettings {
    /// The store.
    pub store: SocketAddr,
    /// Addresses at which daemons may listen for other daemons.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform asks whether the VM is ready.
    pub readiness: SocketAddr,
    /// Where callers ask which addresses to use.
    pub addresses: SocketAddr,
    /// Time between the signal to end and the kill.
    pub grace: Duration,
    /// How many retries all daemons may make together at one pool.
    pub retries: RetryLimits,
    /// How far cold upstreams may be pressed.
    pub cold_limits: ColdLimits,
    /// How late news of the platform may take effect.
    pub bounds: StalenessBounds,
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
        check_platform(&sections, &mut errors);
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
        let ratio = |name: &str, key: &str| {
            section(name).get::<f64>(key).expect("a ratio with a default was checked")
        };
        let duration = |name: &str, key: &str| {
            section(name).duration(key).expect("a duration with a default was checked")
        };
        Self {
            vm: section("daemon").owned("name"),
            zone: section("daemon").owned("zone"),
            regions: section("daemon").labels("regions").into(),
            threads: number("daemon", "threads"),
            cpu_share: ratio("daemon", "cpu_share"),
            link_mbps: ratio("daemon", "link_mbps"),
            caller: address("listen", "caller"),
            peer: address("listen", "peer"),
            operator: address("listen", "operator"),
            platform: read_platform(&section),
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

/// One of `[platform]` and `[published]` must stand, with the keys that it can't do without.
fn check_platform(sections: &[CheckedSection], errors: &mut ErrorCollector<'_>) {
    // Sections that were not written stand here as empty ones.
    let found = |name: &str| {
        let written = |section: &&CheckedSection| !section.values.is_empty();
        sections.iter().filter(written).find(|section| section.spec.name == name)
    };
    let (services, published) = (found("platform"), found("published"));
    if services.is_some() && published.is_some() {
        let accepted = "either [platform] or [published]";
        errors.report(ConfigurationErrorKind::RepeatedSection, ("published", ""), "", accepted);
        return;
    }
    let needed: &[(&str, &str)] = match published {
        Some(_) => &[
            ("published", "store"),
            ("published", "seeds"),
            ("listen", "readiness"),
            ("listen", "addresses"),
        ],
        None if services.is_some() => &[("platform", "configuration"), ("platform", "vm_list")],
        None => {
            let accepted = "a section [platform] or [published]";
            errors.report(ConfigurationErrorKind::MissingSection, ("platform", ""), "", accepted);
            return;
        }
    };
    for (name, key) in needed {
        let stands = found(name).is_some_and(|section| section.text(key).is_some());
        if !stands {
            let place = (*name, *key);
            errors.report(ConfigurationErrorKind::MissingKey, place, "", "an address");
        }
    }
}

fn read_platform<'a>(section: &impl Fn(&str) -> &'a CheckedSection) -> PlatformSettings {
    let address = |name: &str, key: &str| {
        section(name).get::<SocketAddr>(key).expect("a needed address was checked")
    };
    let published = section("published");
    if published.text("store").is_none() {
        let period = section("platform").duration("vm_list_period_ms");
        return PlatformSettings::Services {
            configuration: address("platform", "configuration"),
            vm_list: address("platform", "vm_list"),
            vm_list_period: period.expect("a duration with a default was checked"),
        };
    }
    let number =
        |key: &str| published.get::<f64>(key).expect("a number with a default was checked");
    let millis = |key: &str| Duration::from_secs_f64(number(key) / 1_000.0);
    PlatformSettings::Published(PublishedSettings {
        store: address("published", "store"),
        seeds: published.text("seeds").and_then(parse_addresses).unwrap_or_default(),
        readiness: address("listen", "readiness"),
        addresses: address("listen", "addresses"),
        grace: Duration::from_secs_f64(number("grace_s")),
        retries: RetryLimits {
            ratio: number("retry_ratio"),
            reserve: number("retry_reserve"),
            window: Duration::from_secs_f64(number("retry_window_s")),
        },
        cold_limits: ColdLimits {
            overshoot: number("cold_overshoot"),
            slack: number("cold_slack"),
        },
        bounds: StalenessBounds {
            notice: millis("notice_ms"),
            configuration: millis("configuration_ms"),
            evacuation: millis("evacuation_ms"),
            recovery_time: millis("contact_ms"),
        },
    })
}
