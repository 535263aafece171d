//! Builds the heartbeat messages that carry gossip about the fleet.

use std::cmp::Reverse;
use std::time::Duration;

use rand::seq::IndexedRandom as _;

use super::{DirectoryVersion, ExchangeMessage, LeavingUpstream, MemberRecord, MemberView};
use crate::identity::{InstanceId, stable_hash};

/// Maximum number of member records in an ordinary message, apart from recent failures.
const MAX_RECORDS: usize = 12;
/// Time for which messages repeat that a member is suspected or unreachable. The record reaches all
/// daemons in this time, even if many members have failed at once.
const FAILURE_GOSSIP_TIME: Duration = Duration::from_secs(5);
/// Maximum number of records about recent failures in one message.
const MAX_FAILURE_RECORDS: usize = 128;
/// Maximum number of records in the reply to a request for all records. A record takes about 100
/// bytes, so the reply stays within 50 KB and covers the largest fleet that users plan.
const MAX_REPLY_RECORDS: usize = 512;
/// Number of randomly chosen records in each message, whether they are recent or not. They repair
/// the views of peers that missed an earlier message.
const RANDOM_RECORD_COUNT: usize = 2;
/// Maximum number of leaving members, and also of leaving upstreams, in one message.
const MAX_LEAVING_ENTRIES: usize = 16;

impl MemberView {
    /// Builds a heartbeat message for the VM `partner`. `position` is the revision and the digest
    /// of the configuration in force.
    pub fn message(
        &mut self,
        partner: &str,
        position: (u64, u64),
        directory: DirectoryVersion,
    ) -> ExchangeMessage {
        let mut records = Vec::new();
        records.extend(self.disputed_record(partner).cloned());
        records.extend(self.take_gossip_records(partner, MAX_RECORDS - records.len()));
        records.extend(self.recent_failures(partner, &records));
        for vm in self.random_peers(RANDOM_RECORD_COUNT) {
            let record = self.peers.get(&vm).and_then(|peer| peer.record.as_ref());
            if records.len() < MAX_RECORDS && vm != partner {
                records.extend(record.filter(|record| !records.contains(record)).cloned());
            }
        }
        ExchangeMessage {
            sender: self.own.clone(),
            sender_leaving: self.own_leaving,
            revision: position.0,
            digest: position.1,
            records,
            leaving: self.take_leaving_members(),
            leaving_upstreams: self.take_leaving_upstreams(),
            directory: directory.changed,
            directory_age: directory.age,
            known_members: self.requests_full_sync.then(|| self.digest()),
            // The daemon core fills in crash records and rate limits.
            crash_summary: 0,
            crashes: Vec::new(),
            part_summary: 0,
            part_crashes: Vec::new(),
            limit_digest: 0,
            limits: Vec::new(),
            versions: None,
        }
    }

    /// Builds the reply to a member that requests all records. `known` is the digest of its own
    /// records. If the digests are equal, the reply is an ordinary message.
    pub fn full_sync_message(
        &mut self,
        partner: &str,
        known: u64,
        position: (u64, u64),
        directory: DirectoryVersion,
    ) -> ExchangeMessage {
        let mut message = self.message(partner, position, directory);
        if self.own.place.is_some() && known != self.digest() {
            let others = self.peers.values().filter_map(|peer| peer.record.as_ref());
            let others: Vec<&MemberRecord> =
                others.filter(|record| record.instance.vm != partner).collect();
            // If the fleet exceeds the limit, each reply carries a different random selection.
            let sent = others.choose_multiple(&mut self.random, MAX_REPLY_RECORDS);
            message.records = sent.map(|record| (*record).clone()).collect();
            message.records.extend(self.disputed_record(partner).cloned());
        }
        message
    }

    /// Records of members that were recently found to be suspected or unreachable, except `partner`
    /// and the records in `sent`.
    ///
    /// Guards against callers that are sent to crashed daemons long after many have crashed at
    /// once: the ordinary record limit would delay the report about each of them.
    fn recent_failures(&mut self, partner: &str, sent: &[MemberRecord]) -> Vec<MemberRecord> {
        if self.requests_full_sync {
            // Replies to requests for all records already contain the failures.
            return Vec::new();
        }
        let now = self.last_tick.unwrap_or_default();
        let failed = self.failed.iter().filter_map(|vm| self.peers.get(vm));
        let recent = failed.filter(|peer| now.since(peer.changed_at) < FAILURE_GOSSIP_TIME);
        let records = recent.filter_map(|peer| peer.record.as_ref());
        let failures = records.filter(|record| record.is_failure_report());
        let failures: Vec<&MemberRecord> = failures
            .filter(|record| record.instance.vm != partner && !sent.contains(record))
            .collect();
        failures.choose_multiple(&mut self.random, MAX_FAILURE_RECORDS).copied().cloned().collect()
    }

    /// Record about `partner` that `partner` has to refute: it is suspected of failure, or an
    /// earlier process on its VM is taken for the current one. It can only refute a record that it
    /// receives.
    fn disputed_record(&self, partner: &str) -> Option<&MemberRecord> {
        let peer = self.peers.get(partner)?;
        peer.record.as_ref().filter(|record| record.is_failure_report() || peer.is_disputed)
    }

    /// Sets whether messages request all member records that this daemon lacks.
    pub fn set_full_sync(&mut self, is_enabled: bool) {
        self.requests_full_sync = is_enabled;
    }

    /// Digest of all member records, including this daemon's own. It does not depend on their
    /// order.
    fn digest(&self) -> u64 {
        let record_hash = |record: &MemberRecord| {
            let incarnation = record.instance.incarnation.to_string();
            let status_text =
                format!("{}/{}/{}", record.generation, record.refutation, record.status);
            stable_hash(&[&record.instance.vm, &incarnation, &status_text])
        };
        self.records().chain([&self.own]).fold(0, |digest, record| digest ^ record_hash(record))
    }

    /// Selects up to `limit` records that still have to be sent, and counts this message against
    /// their remaining sends. Records that were sent least often come first. Otherwise, after the
    /// loss of an availability zone, records of its other VMs would wait until the record of the
    /// first VM has been sent often enough.
    fn take_gossip_records(&mut self, partner: &str, limit: usize) -> Vec<MemberRecord> {
        let pending = self.unsent.iter().filter(|(_, vm)| vm != partner);
        let pending: Vec<(Reverse<u32>, String)> = pending.take(limit).cloned().collect();
        let mut records = Vec::new();
        for entry in pending {
            self.unsent.remove(&entry);
            let (_, vm) = entry;
            let Some(peer) = self.peers.get_mut(&vm) else { continue };
            if peer.remaining_sends.use_send() {
                records.extend(peer.record.clone());
            }
            if peer.remaining_sends.0 > 0 {
                self.unsent.insert((Reverse(peer.remaining_sends.0), vm));
            }
        }
        records
    }

    fn take_leaving_members(&mut self) -> Vec<InstanceId> {
        let entries = self
            .leaving
            .iter_mut()
            .filter_map(|(member, remaining_sends)| remaining_sends.use_send().then_some(member));
        entries.take(MAX_LEAVING_ENTRIES).cloned().collect()
    }

    fn take_leaving_upstreams(&mut self) -> Vec<LeavingUpstream> {
        let upstreams = self.leaving_upstreams.iter_mut();
        let entries = upstreams.filter_map(|(upstream, notice)| {
            notice.remaining_sends.use_send().then(|| LeavingUpstream {
                upstream: upstream.clone(),
                process: notice.process.clone(),
            })
        });
        entries.take(MAX_LEAVING_ENTRIES).collect()
    }
}
