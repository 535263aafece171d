use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use crocusdale_core::identity::CallId;
use crocusdale_core::pipeline::FinalAnswer;
use crocusdale_core::sync::lock;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::forwarding::RelayedAnswer;

/// Shards of the table.
const SHARDS: usize = 16;

/// What a call gets.
#[derive(Debug)]
pub enum CallReply {
    /// A piece of the last stage's stream.
    Piece(String),
    /// An upstream's answer that is passed through.
    Relayed(RelayedAnswer),
    /// The final answer; nothing comes after it.
    Final(FinalAnswer),
}

/// Calls that wait for their answers.
#[derive(Debug, Default)]
pub struct CallTable {
    shards: [Mutex<HashMap<CallId, UnboundedSender<CallReply>>>; SHARDS],
}

impl CallTable {
    /// Opens `call`; its replies come out of the receiver.
    #[must_use]
    pub fn open(&self, call: CallId) -> UnboundedReceiver<CallReply> {
        let (sender, receiver) = unbounded_channel();
        self.shard(call).insert(call, sender);
        receiver
    }

    /// Gives `call` a reply that is not its last one.
    pub fn reply(&self, call: CallId, reply: CallReply) {
        if let Some(sender) = self.shard(call).get(&call) {
            // A receiver that is gone belongs to a caller that is gone; the core hears of it.
            let _ = sender.send(reply);
        }
    }

    /// Passes a piece on.
    pub fn forward(&self, call: CallId, text: String) {
        self.reply(call, CallReply::Piece(text));
    }

    /// Gives `call` its final answer and closes it.
    pub fn finish(&self, call: CallId, answer: FinalAnswer) {
        if let Some(sender) = self.shard(call).remove(&call) {
            let _ = sender.send(CallReply::Final(answer));
        }
    }

    /// Closes `call` without an answer.
    pub fn close(&self, call: CallId) {
        self.shard(call).remove(&call);
    }

    fn shard(&self, call: CallId) -> MutexGuard<'_, HashMap<CallId, UnboundedSender<CallReply>>> {
        let index = (call.0 as usize / SHARDS) % SHARDS;
        lock(&self.shards[index])
    }
}
