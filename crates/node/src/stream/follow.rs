//! Long polls of the platform for the operators' configuration and the list of evacuated data
//! centres.
//!
//! Only a few processes poll; they pass changes on to the others.

use std::rc;
use std::time;

use rosemaryusher_core::ids;

use crate::platform;
use crate::stream::announce;
use crate::stream::backoff;
use crate::stream::context;
use crate::stream::packets;
use crate::stream::status;

/// How long one long poll waits, in milliseconds.
///
/// A connection may hang without being closed. A change must be in force within 3 s, so a poll
/// without an answer is repeated well within that time.
const LONG_POLL_MS: u64 = 2_000;

/// How long an agent waits after its start for the configuration from a balancer before it calls
/// the platform, in milliseconds: processes that start together are up within 300 ms, and balancers
/// report every 200 ms.
const PEER_CONFIG_WAIT_MS: u64 = 500;

/// How long a balancer waits at a fleet's first start before it may poll, in milliseconds: the list
/// of members is read after a second, and until the balancers have exchanged some reports, each
/// would consider itself a watcher.
const FIRST_START_WATCH_DELAY_MS: u64 = 2_500;

/// How this process calls the platform at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PollMode {
    /// Fetches the current value without waiting.
    FetchNow,
    /// Waits for the next change.
    LongPoll,
    /// Makes no call, since other processes pass changes on.
    Skip,
}

/// Polling state of one value.
///
/// A balancer that does not know the value fetches it once itself and polls afterwards only as a
/// watcher. An agent, and any process at a fleet's first start, calls the platform only if no
/// balancer reports to it.
struct PollState {
    has_asked: bool,
    delay_ms: u64,
}

impl PollState {
    fn new(context: &context::ControlContext) -> PollState {
        let has_asked = context.service.is_some() || context.streams().first_start;
        PollState { has_asked, delay_ms: backoff::MIN_DELAY_MS }
    }

    /// Records the result of a call; waits for the backoff delay after a failure.
    async fn record_result(
        &mut self,
        context: &context::ControlContext,
        result: Result<(), platform::StoreError>,
    ) {
        let is_answered = result.is_ok();
        context.record_platform_result(result).await;
        if is_answered {
            self.has_asked = true;
            self.delay_ms = backoff::MIN_DELAY_MS;
        } else {
            backoff::wait(&mut self.delay_ms).await;
        }
    }
}

impl PollState {
    fn mode(&self, context: &context::ControlContext, is_known: bool) -> PollMode {
        let is_watcher = status::is_set(&context.status.is_watcher);
        let is_isolated = !status::is_set(&context.status.reaches_balancer);
        match () {
            () if !is_known && !self.has_asked => PollMode::FetchNow,
            () if is_watcher || is_isolated => PollMode::LongPoll,
            () => PollMode::Skip,
        }
    }
}

impl PollMode {
    /// How long the platform may wait for a change; `None` if it is not called.
    fn timeout(self) -> Option<time::Duration> {
        match self {
            PollMode::FetchNow => Some(time::Duration::ZERO),
            PollMode::LongPoll => Some(time::Duration::from_millis(LONG_POLL_MS)),
            PollMode::Skip => None,
        }
    }
}

async fn sleep_until_recheck() {
    backoff::sleep_ms(backoff::jittered(backoff::MIN_DELAY_MS)).await;
}

/// Polls the configuration while this process is a watcher or no balancer reports to it.
pub(crate) async fn follow_config(context: rc::Rc<context::ControlContext>) {
    match context.service {
        Some(_) if context.streams().first_start => {
            announce::wait_for_balancer(&context).await;
        }
        None if context.streams().first_start => {
            backoff::sleep_ms(FIRST_START_WATCH_DELAY_MS).await
        }
        Some(_) => backoff::sleep_ms(PEER_CONFIG_WAIT_MS).await,
        None => {}
    }
    let mut poll_state = PollState::new(&context);
    loop {
        let is_known = context.generation() > ids::ConfigGeneration(0);
        let Some(timeout) = poll_state.mode(&context, is_known).timeout() else {
            sleep_until_recheck().await;
            continue;
        };
        let configs = context.platform_client.borrow().configs.clone();
        match configs.next(context.generation(), timeout).await {
            Ok(delta) => {
                poll_state.record_result(&context, Ok(())).await;
                if let Some(delta) = delta {
                    context.apply_config_delta(&delta).await;
                }
            }
            Err(error) => poll_state.record_result(&context, Err(error)).await,
        }
    }
}

/// Polls the list of evacuated data centres at a balancer; agents receive it from balancers.
pub(crate) async fn follow_evacuations(context: rc::Rc<context::ControlContext>) {
    if context.service.is_some() {
        return;
    }
    let mut poll_state = PollState::new(&context);
    loop {
        let is_known = status::is_set(&context.status.knows_evacuations);
        let Some(timeout) = poll_state.mode(&context, is_known).timeout() else {
            sleep_until_recheck().await;
            continue;
        };
        let evacuations = context.platform_client.borrow().evacuations.clone();
        match evacuations.next(timeout).await {
            Ok(listed) => {
                poll_state.record_result(&context, Ok(())).await;
                if let Some(listed) = listed {
                    let state = context.remove_unknown_data_centres(listed);
                    context.send_input(packets::StreamInput::Evacuations(state)).await;
                }
            }
            Err(error) => poll_state.record_result(&context, Err(error)).await,
        }
    }
}
