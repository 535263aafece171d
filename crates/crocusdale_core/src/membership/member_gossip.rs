//! What a daemon tells its peers of the fleet.

use std::time::Duration;

use rand::seq::IndexedRandom as _;

use super::member_view::PeerState;
use super::{DirectoryNews, ExchangeMessage, LeavingUpstream, MemberRecord, MemberView};
use crate::identity::{InstanceId, stable_hash};

/// Records that one message carries at most.
const RECORDS_LIMIT: usize = 12;
/// Time for which every message carries that a member is in doubt, and the most such records of one.
/// Meanwhile it reaches everybody, however many members have ended with it.
const DOUBT_NEWS: Duration = Duration::from_secs(5);
const DOUBTS_LIMIT: usize = 128;
/// Records that the answer to a member that asks for all carries at most, about 100 bytes each: a
/// fleet of the size that the users aim at, in 50 KB.
const WELCOME_LIMIT: usize = 512;
/// Records of no news that a message carries, so that lost news spreads in the end.
const REPAIR_RECORDS: usize = 2;
/// Leaving members, and leaving upstreams, that one message carries at most.
const LEAVING_LIMIT: usize = 16;

impl MemberView {
    /// Builds this daemon's half of an exchange with `partner`.
    pub fn message(
        &mut self,
        partner: &str,
        position: (u64, u64),
        directory: DirectoryNews,
    ) -> ExchangeMessage {
        let mut records = Vec::new();
        records.extend(self.objection(partner).cloned());
        records.extend(self.spend_records(partner, RECORDS_LIMIT - records.len()));
        records.extend(self.recent_doubts(partner, &records));
        let vms: Vec<&String> = self.peers.keys().collect();
        for vm in vms.choose_multiple(&mut self.random, REPAIR_RECORDS) {
            let record = self.peers[*vm].record.as_ref();
            if records.len() < RECORDS_LIMIT && vm.as_str() != partner {
                records.extend(record.filter(|record| !records.contains(record)).cloned());
            }
        }
        ExchangeMessage {
            sender: self.own.clone(),
            sender_leaving: self.own_leaving,
            revision: position.0,
            digest: position.1,
            records,
            leaving: self.spend_leaving(),
            leaving_upstreams: self.spend_leaving_upstreams(),
            directory: directory.changed,
            directory_age: directory.age,
            known_members: self.asks_for_all.then(|| self.digest()),
            // Another part of the core knows these.
            crash_summary: 0,
            crashes: Vec::new(),
            limit_digest: 0,
            limits: Vec::new(),
        }
    }

    /// Builds the answer to a member that has the records of the digest `known` and asks for what
    /// it lacks: all that is known of the fleet, unless that is the same.
    pub fn welcome(
        &mut self,
        partner: &str,
        known: u64,
        position: (u64, u64),
        directory: DirectoryNews,
    ) -> ExchangeMessage {
        let mut message = self.message(partner, position, directory);
        if self.own.place.is_some() && known != self.digest() {
            let others = self.peers.values().filter_map(|peer| peer.record.as_ref());
            let others: Vec<&MemberRecord> =
                others.filter(|record| record.instance.vm != partner).collect();
            // Of a fleet beyond the limit each answer tells another part.
            let told = others.choose_multiple(&mut self.random, WELCOME_LIMIT);
            message.records = told.map(|record| (*record).clone()).collect();
            message.records.extend(self.objection(partner).cloned());
        }
        message
    }

    /// Members other than `partner` and those in `told` that are in doubt since a short time ago.
    ///
    /// Guards against callers that are sent to ended daemons for long after many have ended at one time:
    /// the news of each would wait for room in a message.
    fn recent_doubts(&mut self, partner: &str, told: &[MemberRecord]) -> Vec<MemberRecord> {
        if self.asks_for_all {
            // Partners tell each other everything then.
            return Vec::new();
        }
        let now = self.last_tick.unwrap_or_default();
        let recent = self.peers.values().filter(|peer| now.since(peer.since) < DOUBT_NEWS);
        let records = recent.filter_map(|peer| peer.record.as_ref());
        let doubts = records.filter(|record| record.is_doubt());
        let doubts: Vec<&MemberRecord> = doubts
            .filter(|record| record.instance.vm != partner && !told.contains(record))
            .collect();
        doubts.choose_multiple(&mut self.random, DOUBTS_LIMIT).copied().cloned().collect()
    }

    /// What `partner` must hear of itself, or it can't refute it: that it is suspected, or that an
    /// earlier life of its VM is taken for the later one.
    fn objection(&self, partner: &str) -> Option<&MemberRecord> {
        let peer = self.peers.get(partner)?;
        peer.record.as_ref().filter(|record| record.is_doubt() || peer.contested)
    }

    /// Sets whether partners are asked for all records that this daemon lacks.
    pub fn ask_for_all(&mut self, asks: bool) {
        self.asks_for_all = asks;
    }

    /// Digest of all records, this daemon's own among them, whatever their order.
    fn digest(&self) -> u64 {
        let rank = |record: &MemberRecord| {
            let life = record.instance.incarnation.to_string();
            let belief = format!("{}/{}/{}", record.generation, record.refutation, record.status);
            stable_hash(&[&record.instance.vm, &life, &belief])
        };
        self.records().chain([&self.own]).fold(0, |digest, record| digest ^ rank(record))
    }

    /// Takes out the newest news: what has been told least often goes first, so that the news of a
    /// lost zone doesn't wait until that of its first VM has been told often enough.
    fn spend_records(&mut self, partner: &str, limit: usize) -> Vec<MemberRecord> {
        let peers = self.peers.iter_mut();
        let mut news: Vec<&mut PeerState> = peers
            .filter(|(vm, peer)| vm.as_str() != partner && peer.gossip.0 > 0)
            .map(|(_, peer)| peer)
            .collect();
        news.sort_by_key(|peer| std::cmp::Reverse(peer.gossip.0));
        let told = news.into_iter().take(limit);
        told.filter_map(|peer| peer.gossip.spend().then(|| peer.record.clone())?).collect()
    }

    fn spend_leaving(&mut self) -> Vec<InstanceId> {
        let fresh =
            self.leaving.iter_mut().filter_map(|(each, gossip)| gossip.spend().then_some(each));
        fresh.take(LEAVING_LIMIT).cloned().collect()
    }

    fn spend_leaving_upstreams(&mut self) -> Vec<LeavingUpstream> {
        let all = self.leaving_upstreams.iter_mut();
        let fresh = all.filter_map(|(upstream, news)| {
            let (upstream, life) = (upstream.clone(), news.life.clone());
            news.gossip.spend().then_some(LeavingUpstream { upstream, life })
        });
        fresh.take(LEAVING_LIMIT).collect()
    }
}
