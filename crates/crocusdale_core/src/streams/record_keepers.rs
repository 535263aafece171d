use std::collections::HashMap;

use crate::identity::stable_hash;
use crate::membership::{MemberStatus, MemberView, VmList};

/// Number of daemons that keep the record of one stream, beside the one that began it.
const KEEPER_COUNT: usize = 3;
/// Number of daemons that are asked about a stream: the keepers, and those that were keepers before
/// daemons near them in the order started, or are keepers for a daemon that knows fewer members.
const ASKED_COUNT: usize = 5;
/// Number of daemons that are ranked for a section, so that there are enough keepers while several
/// drain.
const RANKED_COUNT: usize = 8;

/// A daemon that may keep the records of a section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordKeeper {
    /// VM of the daemon.
    pub vm: String,
    /// Whether the daemon drains, so that it gets no new records.
    pub is_leaving: bool,
}

/// Daemons that keep the records of streams, by section, as of one version of the member view.
#[derive(Debug, Default)]
pub struct RecordKeepers {
    /// Versions of the VM list and of the member view. `None` before the first choice.
    versions: Option<(u64, u64)>,
    sections: HashMap<u8, Vec<RecordKeeper>>,
}

impl RecordKeepers {
    /// VMs of the daemons that get the records of `section`.
    pub fn keepers(&mut self, section: u8, roster: &VmList, view: &MemberView) -> Vec<String> {
        let ranked = self.ranked(section, roster, view).iter();
        let staying = ranked.filter(|keeper| !keeper.is_leaving);
        staying.take(KEEPER_COUNT).map(|keeper| keeper.vm.clone()).collect()
    }

    /// VMs of the daemons that are asked about streams of `section`.
    pub fn asked(&mut self, section: u8, roster: &VmList, view: &MemberView) -> Vec<String> {
        let ranked = self.ranked(section, roster, view).iter();
        ranked.take(ASKED_COUNT).map(|keeper| keeper.vm.clone()).collect()
    }

    /// Daemons in the order of a rendezvous hash, one of each availability zone before a second one
    /// of any, so that the loss of a zone leaves a record.
    fn ranked(&mut self, section: u8, roster: &VmList, view: &MemberView) -> &[RecordKeeper] {
        let versions = Some((roster.revision, view.version()));
        if self.versions != versions {
            self.versions = versions;
            self.sections.clear();
        }
        self.sections.entry(section).or_insert_with(|| rank(section, roster, view))
    }
}

fn rank(section: u8, roster: &VmList, view: &MemberView) -> Vec<RecordKeeper> {
    let name = format!("streams {section}");
    let is_member = |vm: &str| {
        matches!(
            view.status(vm),
            Some(MemberStatus::Alive | MemberStatus::Suspect | MemberStatus::Starting)
        )
    };
    let members = roster.entries().filter(|entry| is_member(&entry.name));
    let mut ranked: Vec<_> =
        members.map(|entry| (stable_hash(&[&name, &entry.name]), entry)).collect();
    ranked.sort_unstable_by_key(|(hash, _)| std::cmp::Reverse(*hash));
    let mut zones: HashMap<&str, usize> = HashMap::new();
    let mut by_round: Vec<_> = ranked
        .into_iter()
        .map(|(_, entry)| {
            let round = zones.entry(entry.zone.as_str()).or_default();
            *round += 1;
            (*round, entry)
        })
        .collect();
    // Stable, so that the order of the hash decides within a round.
    by_round.sort_by_key(|(round, _)| *round);
    let keepers = by_round.into_iter().take(RANKED_COUNT).map(|(_, entry)| RecordKeeper {
        vm: entry.name.clone(),
        is_leaving: view.is_leaving(&entry.name),
    });
    keepers.collect()
}
