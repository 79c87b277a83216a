//! A load of many callers, and the outcomes of their requests.

use std::net;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::backend;
use crate::caller;

/// Size of the bundle that each caller fetches at the end, in bytes.
const BUNDLE_SIZE: usize = 20_000;

/// Retries of a refused request.
const MAX_RETRIES: u32 = 5;

/// The load on one service.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Service name, which every answer contains.
    pub service: String,
    /// Service address for requests.
    pub requests: net::SocketAddr,
    /// Service address for datagrams.
    pub datagrams: net::SocketAddr,
    /// Number of callers; each also keeps one flow open.
    pub callers: u64,
    /// Rounds of each caller: a POST, a GET and a datagram.
    pub rounds: u64,
    /// Pause after each round, in milliseconds.
    pub pause_ms: u64,
    /// Seed of message ids, tokens, tags and POST ids.
    pub seed: u64,
}

/// Outcomes of all requests and flows.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadSummary {
    /// Requests sent; retransmissions are not counted.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused, which were not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without any answer.
    #[serde(rename = "silent")]
    pub timed_out: u64,
    /// Answers from another service or to another request.
    pub misdelivered: u64,
    /// Bundles with wrong contents.
    pub incomplete: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows broken, answered by another service, or with an unanswered datagram.
    pub broken_flows: u64,
    /// Ids of POST requests that were answered.
    pub ids_answered: Vec<String>,
    /// Ids of POST requests that were refused.
    pub ids_refused: Vec<String>,
}

impl LoadSummary {
    /// Adds the counts and ids of another summary.
    pub fn add(&mut self, other: LoadSummary) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.timed_out += other.timed_out;
        self.misdelivered += other.misdelivered;
        self.incomplete += other.incomplete;
        self.flows += other.flows;
        self.broken_flows += other.broken_flows;
        self.ids_answered.extend(other.ids_answered);
        self.ids_refused.extend(other.ids_refused);
    }
}

/// Runs all callers of a plan to the end.
///
/// # Errors
///
/// Fails if no socket can be opened.
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
        count_outcome(plan, &mut summary, &outcome, "GET");
        is_broken |= match flow.ping().await {
            caller::FlowOutcome::Continued(echo) => echo.service != plan.service,
            caller::FlowOutcome::Broken(_) | caller::FlowOutcome::TimedOut => true,
        };
        smol::Timer::after(time::Duration::from_millis(plan.pause_ms)).await;
    }
    fetch_bundle(plan, &mut client, &mut summary).await;
    summary.broken_flows += u64::from(is_broken);
    Ok(summary)
}

/// Sends a POST request; retries it under a new id while it is refused.
async fn post(
    plan: &LoadPlan,
    client: &mut caller::CallerClient,
    id: &str,
    summary: &mut LoadSummary,
) {
    for attempt in 0..=MAX_RETRIES {
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
        count_outcome(plan, summary, &outcome, "POST");
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
    let expected = backend::bundle(&plan.service, BUNDLE_SIZE);
    match &outcome {
        caller::CallerOutcome::Answered(_, body) if body == expected.as_bytes() => {
            summary.answered += 1;
        }
        caller::CallerOutcome::Answered(..) => summary.incomplete += 1,
        caller::CallerOutcome::Refused { .. } => summary.refused += 1,
        caller::CallerOutcome::Unknown => summary.unknown += 1,
        caller::CallerOutcome::TimedOut => summary.timed_out += 1,
    }
}

fn count_outcome(
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
        caller::CallerOutcome::TimedOut => summary.timed_out += 1,
    }
}
