//! What the daemons of a run want done.

use std::net::IpAddr;
use std::time::Duration;

use crocusdale_core::daemon::{Command, DaemonEvent};
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::membership::ExchangeMessage;
use crocusdale_core::pipeline::AttemptEvent;

use super::batch_model::BatchModel;
use super::fleet_run::{
    FleetRun, HOP, ModelEvent, OfferedPieces, PLATFORM_TIME, SILENCE, daemon_index, vm_name,
};

impl FleetRun<'_> {
    pub(super) fn carry_out(&mut self, life: u64, commands: Vec<Command>) {
        for command in commands {
            self.carry_out_one(life, command);
        }
    }

    fn carry_out_one(&mut self, life: u64, command: Command) {
        match command {
            Command::SetTimer { timer, at } => {
                let after = at.since(self.now);
                self.push(after, ModelEvent::Timer { life, timer });
            }
            Command::Reply { call, answer } => self.replied(life, call, &answer),
            Command::Relay(order) => self.push(HOP, ModelEvent::Relay(order)),
            Command::ReleaseAnswer { attempt, .. } => {
                let event = DaemonEvent::Attempt { attempt, event: AttemptEvent::StreamStarted };
                self.push_core(Duration::ZERO, life, event);
            }
            Command::Cancel(attempt) => {
                self.engines.values_mut().for_each(|(_, engine)| engine.cancel(attempt));
            }
            Command::CallBatch(order) => self.push(HOP, ModelEvent::Call { life, order }),
            Command::CancelBatch(batch) => {
                self.batches.values_mut().for_each(|upstream| upstream.cancel(life, batch));
            }
            Command::FreeResults { results, excluded: _ } => self.free(&results),
            Command::QueryFreeMemory { upstream, .. } => {
                let free = self.batches.get(&upstream).map(BatchModel::free_bytes);
                self.push_core(HOP * 2, life, DaemonEvent::FreeMemoryReported { upstream, free });
            }
            command => self.carry_out_between(life, command),
        }
    }

    /// Commands that concern other daemons or the platform.
    fn carry_out_between(&mut self, life: u64, command: Command) {
        match command {
            Command::SendPieces { vm, order } => {
                let dispatcher = daemon_index(&vm);
                let offered = OfferedPieces { dispatcher, pool: order.pool.clone() };
                let attempt = order.attempt;
                if self.daemons[dispatcher].core.is_none() {
                    let event = AttemptEvent::DispatcherLost(vm);
                    self.push_core(HOP, life, DaemonEvent::Attempt { attempt, event });
                    return;
                }
                self.offered.insert(attempt, offered);
                let to = self.daemons[dispatcher].life;
                self.push_core(HOP, to, DaemonEvent::PiecesReceived(order));
            }
            Command::CancelPieces(attempt) => {
                let Some(offered) = self.offered.remove(&attempt) else { return };
                let to = self.daemons[offered.dispatcher].life;
                let pool = offered.pool;
                self.push_core(HOP, to, DaemonEvent::PiecesCancelled { attempt, pool });
            }
            Command::AnswerPieces { attempt, outcome, wait } => {
                let Some(offered) = self.offered.remove(&attempt) else { return };
                let to = self.life_of(attempt);
                let retry_after = wait.retry_after();
                let vm = vm_name(offered.dispatcher);
                let told = DaemonEvent::PoolWaitReported { pool: offered.pool, wait, vm };
                self.push_core(HOP, to, told);
                let event = match outcome {
                    Ok(results) => AttemptEvent::PiecesCompleted(results),
                    Err(fault) => AttemptEvent::PiecesFailed { fault, retry_after },
                };
                self.push_core(HOP, to, DaemonEvent::Attempt { attempt, event });
            }
            Command::ReleaseRemoteResults { vm, pool, results } => {
                let to = self.daemons[daemon_index(&vm)].life;
                self.push_core(HOP, to, DaemonEvent::ResultsReleased { pool, results });
            }
            Command::PingSeed { address, message } => {
                let [_, _, high, low] = match address.ip() {
                    IpAddr::V4(ip) => ip.octets(),
                    IpAddr::V6(_) => [0; 4],
                };
                let to = usize::from(u16::from_be_bytes([high, low]));
                self.push(HOP, ModelEvent::Ask { life, to, message });
            }
            Command::SendHeartbeat { vm, message } => {
                let to = daemon_index(&vm);
                self.push(HOP, ModelEvent::Ask { life, to, message });
            }
            Command::ReadDirectory { .. } => {
                let entries = self.published.clone();
                let configuration = Some((1, self.load.text.clone()));
                let event = DaemonEvent::DirectoryRead {
                    position: 1.into(),
                    entries,
                    evacuations: Vec::new(),
                    cold: Vec::new(),
                    configuration,
                };
                self.push_core(PLATFORM_TIME, life, event);
            }
            Command::FetchDirectory { vm, known } => {
                let core = self.daemons[daemon_index(&vm)].core.as_ref();
                let list = core.map(|core| core.published_since(known, self.now));
                self.push_core(HOP * 2, life, DaemonEvent::DirectoryFetched(list));
            }
            Command::WatchConfiguration { known: 0 } => {
                let event = DaemonEvent::ConfigurationWatched(Some((1, self.load.text.clone())));
                self.push_core(PLATFORM_TIME, life, event);
            }
            // Nothing else has an effect on what this model shows.
            _ => {}
        }
    }

    pub(super) fn answer_exchange(&mut self, life: u64, to: usize, message: &ExchangeMessage) {
        let Some(core) = &self.daemons[to].core else {
            self.push_core(SILENCE, life, DaemonEvent::HeartbeatFailed(vm_name(to)));
            return;
        };
        let mut commands = Vec::new();
        let reply = core.exchange(message, self.now, &mut commands);
        let own = self.daemons[to].life;
        self.carry_out(own, commands);
        // The question came with the same delay as the answer goes.
        let sent = MonotonicTime::from_start(self.now.since_start().saturating_sub(HOP));
        self.push_core(
            HOP,
            life,
            DaemonEvent::HeartbeatAnswered { message: Box::new(reply), sent },
        );
    }
}
