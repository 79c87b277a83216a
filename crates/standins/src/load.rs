//! Callers in number, and what became of all that they sent.

use std::net;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::backend;
use crate::caller;

/// The size of the bundle that each caller fetches last, in bytes.
const BUNDLE_SIZE: usize = 20_000;

/// How often a caller asks again after a refusal.
const RETURNS: u32 = 5;

/// What callers of one service do.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The service's name, which every answer bears.
    pub service: String,
    /// Where requests go.
    pub requests: net::SocketAddr,
    /// Where datagrams go.
    pub datagrams: net::SocketAddr,
    /// How many callers there are; each also holds a flow open.
    pub callers: u64,
    /// How many rounds each makes: a post, a get and a datagram.
    pub rounds: u64,
    /// Between two rounds, in milliseconds.
    pub pause_ms: u64,
    /// Seeds ids.
    pub seed: u64,
}

/// What became of all that callers sent.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadSummary {
    /// Requests sent, each counted once however often it was resubmitted.
    pub sent: u64,
    /// Answered.
    pub answered: u64,
    /// Told that it was not run.
    pub refused: u64,
    /// Told that it may have run.
    pub unknown: u64,
    /// Without any answer.
    pub silent: u64,
    /// Answered by another service, or with an answer to something else.
    pub misdelivered: u64,
    /// Bundles that were not whole.
    pub incomplete: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows that were broken.
    pub broken_flows: u64,
    /// Ids of posts that were answered.
    pub ids_answered: Vec<String>,
    /// Ids of posts that were not run, as their callers were told.
    pub ids_refused: Vec<String>,
}

impl LoadSummary {
    /// Adds up two summaries.
    pub fn add(&mut self, other: LoadSummary) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.silent += other.silent;
        self.misdelivered += other.misdelivered;
        self.incomplete += other.incomplete;
        self.flows += other.flows;
        self.broken_flows += other.broken_flows;
        self.ids_answered.extend(other.ids_answered);
        self.ids_refused.extend(other.ids_refused);
    }
}

/// Has callers do what the plan says.
///
/// # Errors
///
/// Fails if a caller gets no socket.
pub async fn run(plan: &LoadPlan) -> eyre::Result<LoadSummary> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> =
        (0..plan.callers).map(|caller| executor.spawn(run_caller(plan, caller))).collect();
    executor
        .run(async {
            let mut total = LoadSummary::default();
            for task in tasks {
                total.add(task.await?);
            }
            Ok(total)
        })
        .await
}

async fn run_caller(plan: &LoadPlan, number: u64) -> eyre::Result<LoadSummary> {
    let mut summary = LoadSummary { flows: 1, ..LoadSummary::default() };
    let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(number);
    let mut client = caller::CallerClient::connect(plan.requests, seed).await?;
    let mut flow = caller::CallerFlow::open(plan.datagrams).await?;
    let mut is_broken = false;
    for round in 0..plan.rounds {
        let id = format!("{}-{}-{number}-{round}", plan.service, plan.seed);
        post(plan, &mut client, &id, &mut summary).await;
        let outcome = client.get(&format!("/balance/{number}")).await;
        count(plan, &mut summary, &outcome, "GET");
        is_broken |= match flow.ping().await {
            caller::FlowOutcome::Held(echo) => echo.service != plan.service,
            caller::FlowOutcome::Broken(_) | caller::FlowOutcome::Silent => true,
        };
        smol::Timer::after(time::Duration::from_millis(plan.pause_ms)).await;
    }
    fetch_bundle(plan, &mut client, &mut summary).await;
    summary.broken_flows += u64::from(is_broken);
    Ok(summary)
}

/// Posts under an id, and again under a fresh one after a refusal, as a caller would.
async fn post(
    plan: &LoadPlan,
    client: &mut caller::CallerClient,
    id: &str,
    summary: &mut LoadSummary,
) {
    for attempt in 0..=RETURNS {
        let id = format!("{id}-{attempt}");
        let outcome = client.post("/transfers", &id).await;
        match &outcome {
            caller::CallerOutcome::Answered(_, body) => {
                summary.ids_answered.push(id.clone());
                let text = String::from_utf8_lossy(body);
                summary.misdelivered += u64::from(!text.contains(&id));
            }
            caller::CallerOutcome::Refused { .. } => summary.ids_refused.push(id.clone()),
            _ => {}
        }
        count(plan, summary, &outcome, "POST");
        let caller::CallerOutcome::Refused { after_s, .. } = outcome else { return };
        let wait = time::Duration::from_secs(u64::from(after_s.unwrap_or(1)));
        smol::Timer::after(wait).await;
    }
}

async fn fetch_bundle(
    plan: &LoadPlan,
    client: &mut caller::CallerClient,
    summary: &mut LoadSummary,
) {
    let outcome = client.get(&format!("/bundle/{BUNDLE_SIZE}")).await;
    summary.sent += 1;
    let whole = backend::bundle(&plan.service, BUNDLE_SIZE);
    match &outcome {
        caller::CallerOutcome::Answered(_, body) if body == whole.as_bytes() => {
            summary.answered += 1;
        }
        caller::CallerOutcome::Answered(..) => summary.incomplete += 1,
        caller::CallerOutcome::Refused { .. } => summary.refused += 1,
        caller::CallerOutcome::Unknown => summary.unknown += 1,
        caller::CallerOutcome::Silent => summary.silent += 1,
    }
}

fn count(
    plan: &LoadPlan,
    summary: &mut LoadSummary,
    outcome: &caller::CallerOutcome,
    method: &str,
) {
    summary.sent += 1;
    match outcome {
        caller::CallerOutcome::Answered(_, body) => {
            let start = format!("{} {method} ", plan.service);
            summary.answered += 1;
            summary.misdelivered += u64::from(!body.starts_with(start.as_bytes()));
        }
        caller::CallerOutcome::Refused { .. } => summary.refused += 1,
        caller::CallerOutcome::Unknown => summary.unknown += 1,
        caller::CallerOutcome::Silent => summary.silent += 1,
    }
}
