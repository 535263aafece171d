use std::sync::atomic::{AtomicUsize, Ordering};

use anyhow::{Context as _, Result, ensure};
use crocusdale_core::configuration::{Declarations, StageRules};
use crocusdale_core::identity::RequestKey;
use crocusdale_core::pipeline::{FinalOutcome, OutcomeKind, StreamLine, SubmittedRequest};
use serde_json::{Value, json, value::RawValue};

use crate::http_caller::HttpCaller;

/// Calls the stages of a request one after another, without any daemon and without any guard: the
/// least that a caller would have to do by itself.
pub(crate) struct DirectCaller {
    caller: HttpCaller,
    declarations: Declarations,
    turn: AtomicUsize,
}

impl DirectCaller {
    pub(crate) fn new(caller: HttpCaller, declarations: Declarations) -> Self {
        Self { caller, declarations, turn: AtomicUsize::new(0) }
    }

    pub(crate) async fn send(&self, request: &SubmittedRequest) -> Result<FinalOutcome> {
        let workspace = self.declarations.workspace(&request.workspace).context("workspace")?;
        let labels = request.labels.or(&workspace.labels);
        let pipeline = self.declarations.pipeline_for(&labels).context("pipeline")?;
        let mut inputs: Vec<Value> = Vec::new();
        for group in pipeline.plan.groups() {
            let calls = group.iter().map(|step| self.call(&step.stage, request, &inputs));
            inputs = join_all(calls).await?;
        }
        let key = RequestKey::new(request.workspace.clone(), request.key.clone());
        let mut outcome = FinalOutcome::new(OutcomeKind::Answered, &key);
        outcome.answer = Some(RawValue::from_string(Value::Array(inputs).to_string())?);
        Ok(outcome)
    }

    async fn call(
        &self,
        stage: &str,
        request: &SubmittedRequest,
        inputs: &[Value],
    ) -> Result<Value> {
        let rules = self.declarations.stage(stage).context("stage")?;
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let upstream = &self.declarations.upstreams()[rules.pool[turn % rules.pool.len()]];
        let body = json!({
            "attempt": format!("0-0-{turn:x}"), "workspace": request.workspace,
            "key": request.key, "stage": stage, "request": request.payload, "inputs": inputs,
        });
        let reply = self.caller.post(upstream.address, &rules.path, body.to_string()).await?;
        ensure!(reply.0.is_success(), "status {}", reply.0);
        Ok(json!({ "stage": stage, "answer": read_answer(rules, &reply.1)? }))
    }
}

fn read_answer(rules: &StageRules, body: &str) -> Result<Value> {
    if !rules.stream {
        return Ok(serde_json::from_str::<Value>(body)?["answer"].take());
    }
    let mut text = String::new();
    for line in body.lines() {
        text += &serde_json::from_str::<StreamLine>(line)?.text;
    }
    Ok(Value::String(text))
}

/// Waits for all calls, in order.
async fn join_all(
    calls: impl Iterator<Item = impl Future<Output = Result<Value>>>,
) -> Result<Vec<Value>> {
    futures::future::try_join_all(calls).await
}
