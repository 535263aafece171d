use std::net::SocketAddr;
use std::time::Duration;

use crocusdale_schema::sections::SETTINGS;

use super::section_reader::{CheckedSection, ErrorCollector, parse_addresses, read_sections};
use super::{
    AbandonRules, ConfigurationError, ConfigurationErrorKind, RegionMap, SchedulingSettings,
};
use crate::daemon::StalenessBounds;
use crate::memory::ProgressLimits;
use crate::retry::RetryLimits;
use crate::routing::ColdLimits;

/// Number of bytes in one megabyte of the settings.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Number of largest bodies for which the memory of a process must suffice.
const BODIES_IN_MEMORY: usize = 4;

/// Settings of one daemon process.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the VM that runs the daemon.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Map from the availability zones to their regions.
    pub regions: RegionMap,
    /// Number of worker threads.
    pub threads: usize,
    /// CPU quota of the process, in processor cores.
    pub cpu_share: f64,
    /// Bandwidth of the VM's network link, in megabits per second.
    pub link_mbps: f64,
    /// Address on which the daemon accepts callers.
    pub caller: SocketAddr,
    /// Address on which the daemon accepts other daemons.
    pub peer: SocketAddr,
    /// Address on which the daemon accepts operators.
    pub operator: SocketAddr,
    /// Services from which the daemon reads configuration, VMs and upstreams.
    pub platform: PlatformSettings,
    /// Limits for callers.
    pub limits: LimitSettings,
    /// Failure detection between daemons.
    pub membership: MembershipSettings,
    /// Decisions that coordinators make for the whole fleet.
    pub scheduling: SchedulingSettings,
    /// Format of the log output.
    pub log: LogFormat,
}

/// Services from which the daemon reads configuration, VMs and upstreams.
#[derive(Clone, Debug)]
pub enum PlatformSettings {
    /// A configuration service and a VM list. Callers send JSON requests.
    Services {
        /// Address of the configuration service.
        configuration: SocketAddr,
        /// Address of the service that provides the VM list.
        vm_list: SocketAddr,
        /// Time between two reads of the VM list.
        vm_list_period: Duration,
    },
    /// One store that publishes everything. Requests of callers are forwarded.
    Published(PublishedSettings),
}

/// Settings for a platform that publishes configuration and upstreams in one store.
#[derive(Clone, Debug)]
pub struct PublishedSettings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses at which this daemon looks for other daemons when it starts.
    pub seeds: Vec<SocketAddr>,
    /// Address on which the daemon serves the readiness probe of the platform.
    pub readiness: SocketAddr,
    /// Address on which the daemon tells callers the daemon addresses to use.
    pub addresses: SocketAddr,
    /// Time between the termination signal and the kill signal.
    pub grace: Duration,
    /// Retry budget that all daemons share in each pool.
    pub retries: RetryLimits,
    /// Tolerance for the load on upstreams in their cold start.
    pub cold_limits: ColdLimits,
    /// Maximum delay until a change that the platform publishes takes effect.
    pub bounds: StalenessBounds,
}

/// Limits for callers.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Time within which a request head must arrive. Idle connections are closed after this time.
    pub head_timeout: Duration,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Maximum number of concurrent requests.
    pub requests: usize,
    /// Memory of the process, in bytes. `None` if the settings don't name it.
    pub memory_bytes: Option<usize>,
    /// Maximum number of open descriptors. `None` if the settings don't name it.
    pub descriptors: Option<usize>,
    /// Number of received bytes of a connection that the operating system keeps until they are read.
    pub receive_bytes: usize,
    /// Progress that a connection must make to stay open when there is no room for others.
    pub progress: ProgressLimits,
}

/// Settings of the failure detection between daemons.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time between two heartbeats.
    pub period: Duration,
    /// Time after which a suspected member that does not refute the suspicion becomes unreachable.
    pub suspicion: Duration,
}

/// Format of the log output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Lines for human readers.
    Terminal,
    /// One JSON object per line.
    Json,
}

impl ProcessSettings {
    /// Parses and validates `text` completely. `file` names the source in errors.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with the file, the section, the key and the accepted values.
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
        check_scheduling(&sections, &mut errors);
        check_limits(&sections, &mut errors);
        errors.finish(())?;
        Ok(Self::read(&sections))
    }

    fn read(sections: &[CheckedSection]) -> Self {
        let section = |name: &str| {
            let found = sections.iter().find(|section| section.spec.name == name);
            found.expect("every section of the schema is present after validation")
        };
        let address = |name: &str, key: &str| {
            section(name)
                .get::<SocketAddr>(key)
                .expect("required addresses are present after validation")
        };
        let number = |name: &str, key: &str| {
            section(name).get::<usize>(key).expect("numbers with a default are present")
        };
        let ratio = |name: &str, key: &str| {
            section(name).get::<f64>(key).expect("ratios with a default are present")
        };
        let duration = |name: &str, key: &str| {
            section(name).duration(key).expect("durations with a default are present")
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
            limits: read_limits(section("limits")),
            membership: MembershipSettings {
                period: duration("membership", "period_ms"),
                suspicion: duration("membership", "suspicion_ms"),
            },
            scheduling: read_scheduling(section("scheduling")),
            log: section("log").get("format").unwrap_or(LogFormat::Terminal),
        }
    }
}

/// Reports an error unless exactly one of the sections `[platform]` and `[published]` is present
/// and has the keys that it needs.
fn check_platform(sections: &[CheckedSection], errors: &mut ErrorCollector<'_>) {
    // `sections` contains an empty entry for each section that is absent from the text.
    let found = |name: &str| {
        let is_written = |section: &&CheckedSection| !section.values.is_empty();
        sections.iter().filter(is_written).find(|section| section.spec.name == name)
    };
    let (services, published) = (found("platform"), found("published"));
    if services.is_some() && published.is_some() {
        let accepted = "either [platform] or [published], not both";
        errors.report(ConfigurationErrorKind::RepeatedSection, ("published", ""), "", accepted);
        return;
    }
    let required_keys: &[(&str, &str)] = match published {
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
    for (name, key) in required_keys {
        let is_present = found(name).is_some_and(|section| section.text(key).is_some());
        if !is_present {
            let place = (*name, *key);
            errors.report(ConfigurationErrorKind::MissingKey, place, "", "an address");
        }
    }
}

fn read_limits(section: &CheckedSection) -> LimitSettings {
    let number = |key: &str| section.get::<usize>(key).expect("numbers with a default are present");
    let duration = |key: &str| section.duration(key).expect("durations with a default are present");
    LimitSettings {
        body_bytes: number("body_bytes"),
        head_bytes: number("head_bytes"),
        connections: number("connections"),
        head_timeout: duration("head_ms"),
        body_timeout: duration("body_ms"),
        requests: number("requests"),
        memory_bytes: memory_bytes(section),
        descriptors: section.get("descriptors"),
        receive_bytes: number("receive_bytes"),
        progress: ProgressLimits {
            grace: duration("stall_ms"),
            bytes_per_second: number("stall_bytes_per_s"),
        },
    }
}

fn memory_bytes(section: &CheckedSection) -> Option<usize> {
    section.get::<f64>("memory_mb").map(|memory_mb| (memory_mb * BYTES_PER_MB) as usize)
}

/// Reports a body limit that does not fit into the memory beside other bodies.
fn check_limits(sections: &[CheckedSection], errors: &mut ErrorCollector<'_>) {
    let Some(section) = sections.iter().find(|section| section.spec.name == "limits") else {
        return;
    };
    let (Some(memory), Some(body)) = (memory_bytes(section), section.get::<usize>("body_bytes"))
    else {
        return;
    };
    if body > memory / BODIES_IN_MEMORY {
        let accepted = format!("at most a quarter of memory_mb, {}", memory / BODIES_IN_MEMORY);
        let (place, found) = (("limits", "body_bytes"), body.to_string());
        errors.report(ConfigurationErrorKind::BadValue, place, &found, accepted);
    }
}

fn read_scheduling(section: &CheckedSection) -> SchedulingSettings {
    let is_on = |key: &str| section.text(key) == Some("on");
    SchedulingSettings {
        min_daemons: section.get("coordination_min_daemons").unwrap_or_default(),
        engine_placement: is_on("engine_placement"),
        chain_admission: is_on("chain_admission"),
        workspace_shares: is_on("workspace_shares"),
        return_slots: is_on("return_slots"),
        align_parallel_steps: is_on("align_parallel_steps"),
        pipeline_levels: is_on("pipeline_levels"),
        abandon: read_abandon_rules(section),
    }
}

fn read_abandon_rules(section: &CheckedSection) -> Option<AbandonRules> {
    let count = |key: &str| section.get(key).unwrap_or_default();
    let rules = AbandonRules {
        min_time: section.duration("abandon_ms").unwrap_or_default(),
        objectives: count("abandon_objectives"),
        gaps: count("abandon_gaps"),
    };
    (!rules.min_time.is_zero()).then_some(rules)
}

/// Reports settings that have no effect without `chain_admission`.
fn check_scheduling(sections: &[CheckedSection], errors: &mut ErrorCollector<'_>) {
    let Some(section) = sections.iter().find(|section| section.spec.name == "scheduling") else {
        return;
    };
    if section.text("chain_admission") == Some("on") {
        return;
    }
    for key in ["workspace_shares", "return_slots"] {
        if section.text(key) == Some("on") {
            let accepted = "`off`, or `on` together with chain_admission = on";
            errors.report(ConfigurationErrorKind::BadValue, ("scheduling", key), "on", accepted);
        }
    }
}

fn read_platform<'a>(section: &impl Fn(&str) -> &'a CheckedSection) -> PlatformSettings {
    let address = |name: &str, key: &str| {
        section(name)
            .get::<SocketAddr>(key)
            .expect("required addresses are present after validation")
    };
    let published = section("published");
    if published.text("store").is_none() {
        let period = section("platform").duration("vm_list_period_ms");
        return PlatformSettings::Services {
            configuration: address("platform", "configuration"),
            vm_list: address("platform", "vm_list"),
            vm_list_period: period.expect("durations with a default are present"),
        };
    }
    let number = |key: &str| published.get::<f64>(key).expect("numbers with a default are present");
    let millis = |key: &str| Duration::from_secs_f64(number(key) / 1_000.0);
    let (notice, configuration) = (millis("notice_ms"), millis("configuration_ms"));
    let evacuation = published.get::<f64>("evacuation_ms");
    let evacuation =
        evacuation.map(|evacuation_ms| Duration::from_secs_f64(evacuation_ms / 1_000.0));
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
            notice,
            configuration,
            // Without a bound of its own, an evacuation must not make the reads more frequent.
            evacuation: evacuation.unwrap_or(notice.max(configuration)),
            recovery_time: millis("contact_ms"),
        },
    })
}
