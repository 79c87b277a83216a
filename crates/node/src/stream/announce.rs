//! The announcement of this process on the platform, and the list of the other members.

use std::rc;
use std::sync::atomic;

use rosemaryusher_core::ids;
use rosemaryusher_core::store_epoch;
use rosemaryusher_core::stream;

use crate::external_input;
use crate::logs;
use crate::platform;
use crate::stream::backoff;
use crate::stream::context;
use crate::stream::packets;
use crate::stream::status;

/// The prefix of the keys of announcements.
const MEMBER_PREFIX: &str = "rosemaryusher-members/";

/// The maximum number of announcements that are read. A process left out would be missing from
/// every search for a stream; fleets of 14,000 balancers are expected.
const MEMBER_LIMIT: usize = 16_384;

/// Interval between reads of the list of members while no balancer reports to this process or members may
/// be missing, in milliseconds.
const REDISCOVERY_INTERVAL_MS: u64 = 1_000;

/// How long a balancer waits at a fleet's first start until all processes are announced, in
/// milliseconds.
const FIRST_START_WAIT_MS: u64 = 1_000;

/// How long a process waits at a fleet's first start for a balancer's report before it calls the
/// platform, in milliseconds. Balancers read the list of members after [`FIRST_START_WAIT_MS`],
/// which takes a balancer with little CPU some time.
const BALANCER_WAIT_MS: u64 = 3_000;

/// Interval between checks for a balancer's report, in milliseconds.
const BALANCER_POLL_MS: u64 = 100;

/// Announces this process, then reads the list of members at start, whenever no balancer reports to this
/// process, and when members may be missing.
///
/// Announcing first ensures that of two processes that start together, at least one sees the other.
pub(crate) async fn discover_members(context: rc::Rc<context::ControlContext>) {
    let mut delay_ms = backoff::MIN_DELAY_MS;
    let mut has_read = context.streams().first_start && join_first_start(&context).await;
    loop {
        let needs_list = status::is_set(&context.status.needs_member_list);
        if has_read && !needs_list && status::is_set(&context.status.reaches_balancer) {
            backoff::sleep_ms(REDISCOVERY_INTERVAL_MS).await;
            renew_announcement(&context).await;
            if may_lack_announcement(&context) {
                backoff::sleep_ms(backoff::random_delay(platform::ANNOUNCE_SPREAD_MS)).await;
                let result = announce_again(&context).await;
                has_read &= !matches!(result, Ok(AnnounceOutcome::Written));
                context.record_platform_result(result.map(drop)).await;
            } else {
                delay_ms = backoff::MIN_DELAY_MS;
            }
            continue;
        }
        match announce_and_read(&context).await {
            Ok(read) => {
                context.record_platform_result(Ok(())).await;
                has_read = true;
                context.send_input(read).await;
                renew_announcement(&context).await;
                backoff::sleep_ms(REDISCOVERY_INTERVAL_MS).await;
            }
            Err(error) => {
                context.record_platform_result(Err(error)).await;
                backoff::wait(&mut delay_ms).await;
            }
        }
    }
}

/// Announces this process at a fleet's first start; returns whether it can do without the list of
/// members.
///
/// Balancers read the list once all processes are announced, and subscribe to agents. Agents skip
/// the list, since its reads by every agent would be most of the platform calls of a start. An
/// agent that no balancer reports to continues as at any other start.
async fn join_first_start(context: &context::ControlContext) -> bool {
    let result = announce(context, platform::WriteCondition::Absent).await;
    context.record_platform_result(result).await;
    match context.service {
        Some(_) if context.announced.get().is_some() => wait_for_balancer(context).await,
        Some(_) => false,
        None => {
            backoff::sleep_ms(FIRST_START_WAIT_MS).await;
            false
        }
    }
}

/// Waits up to [`BALANCER_WAIT_MS`] for a balancer's report; returns whether one arrived.
pub(crate) async fn wait_for_balancer(context: &context::ControlContext) -> bool {
    for _ in 0..BALANCER_WAIT_MS / BALANCER_POLL_MS {
        if status::is_set(&context.status.reaches_balancer) {
            return true;
        }
        backoff::sleep_ms(BALANCER_POLL_MS).await;
    }
    false
}

/// Whether the store was restored and may lack this process's announcement.
///
/// Without it, a process that starts would not query this one about streams that it does not know,
/// and could reset an open stream.
fn may_lack_announcement(context: &context::ControlContext) -> bool {
    let announced = context.announced.get().filter(|_| !context.has_withdrawn.get());
    announced.is_some_and(|announced| predates_restore(context, announced))
}

/// Whether the store was restored after an announcement was written or read.
fn predates_restore(
    context: &context::ControlContext,
    announced: store_epoch::StoreRevision,
) -> bool {
    announced.epoch.0 < context.status.store_epoch.load(atomic::Ordering::Relaxed)
}

/// What [`announce_again`] found in a restored store.
enum AnnounceOutcome {
    /// It holds the announcement.
    Found,
    /// It lacked the announcement, which is written again. Processes that started meanwhile did not find this
    /// one, so the list of members must be read.
    Written,
}

/// Writes the announcement again if the restored store lacks it.
async fn announce_again(
    context: &context::ControlContext,
) -> Result<AnnounceOutcome, platform::StoreError> {
    let store = context.platform_client.borrow().store.clone();
    let found = store.get(&announcement_key(context)).await?;
    match found.filter(|object| is_own(context, object)) {
        Some(object) => {
            context.announced.set(Some(object.version));
            context.send_input(packets::StreamInput::Announced(object.version.epoch)).await;
            Ok(AnnounceOutcome::Found)
        }
        None => {
            logs::event(&serde_json::json!({ "event": "announced_again" }));
            announce(context, platform::WriteCondition::Always).await?;
            Ok(AnnounceOutcome::Written)
        }
    }
}

async fn announce_and_read(
    context: &context::ControlContext,
) -> Result<packets::StreamInput, platform::StoreError> {
    let store = context.platform_client.borrow().store.clone();
    if may_lack_announcement(context) {
        context.announced.set(None);
    }
    let must_announce = context.announced.get().is_none() && !context.has_withdrawn.get();
    if must_announce {
        announce(context, platform::WriteCondition::Absent).await?;
    }
    let mut objects = store.list(MEMBER_PREFIX, MEMBER_LIMIT).await?;
    if must_announce && context.announced.get().is_none() {
        let key = announcement_key(context);
        let existing = objects.iter().find(|object| object.key == key);
        match existing.filter(|object| is_own(context, object)) {
            Some(object) => {
                context.announced.set(Some(object.version));
                context.has_former_announcement.set(true);
            }
            None => {
                announce(context, platform::WriteCondition::Always).await?;
                objects = store.list(MEMBER_PREFIX, MEMBER_LIMIT).await?;
            }
        }
    }
    Ok(members_input(context, &objects))
}

/// The input with the members in a list that was read after this process announced itself.
fn members_input(
    context: &context::ControlContext,
    objects: &[platform::StoredObject],
) -> packets::StreamInput {
    let members = objects.iter().filter_map(parse_member);
    let members = members.filter(|member| member.address != context.own_address).collect();
    let announced = context.announced.get().unwrap_or_default();
    packets::StreamInput::Members { members, epoch: announced.epoch }
}

/// Writes the announcement again if a former run of this process has left it.
///
/// The former run may have asked the store to remove it, and the store may do so seconds later if the
/// announcement has not changed. Then processes that start would not find this one.
async fn renew_announcement(context: &context::ControlContext) {
    if !context.has_former_announcement.get() || context.has_withdrawn.get() {
        return;
    }
    let result = announce(context, platform::WriteCondition::Always).await;
    context.has_former_announcement.set(result.is_err());
    context.record_platform_result(result).await;
}

/// The announcement of one run of a process.
#[derive(serde::Serialize)]
struct RunAnnouncement {
    #[serde(flatten)]
    member: stream::AnnouncedMember,
    /// Differs in each run, so that the store assigns a new revision.
    run: String,
}

/// Writes this process's announcement; an announcement that exists already is not an error.
///
/// After a restart the previous announcement may still exist. It is then compared with the list of
/// members.
async fn announce(
    context: &context::ControlContext,
    condition: platform::WriteCondition,
) -> Result<(), platform::StoreError> {
    let store = context.platform_client.borrow().store.clone();
    let member = own_announcement(context);
    let own = RunAnnouncement { member, run: context.run.to_string() };
    let value = serde_json::to_string(&own).map_err(|_| platform::StoreError::Unavailable)?;
    match store.put(&announcement_key(context), value, condition).await {
        Ok(version) => context.announced.set(Some(version)),
        Err(platform::StoreError::Conflict) => {}
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Whether an object is the announcement that this process would write.
fn is_own(context: &context::ControlContext, object: &platform::StoredObject) -> bool {
    parse_member(object).is_some_and(|member| member == own_announcement(context))
}

fn own_announcement(context: &context::ControlContext) -> stream::AnnouncedMember {
    let data_centre = Some(ids::hash_data_centre(&context.settings.borrow().data_centre));
    stream::AnnouncedMember { address: context.own_address, service: context.service, data_centre }
}

fn parse_member(object: &platform::StoredObject) -> Option<stream::AnnouncedMember> {
    match serde_json::from_str(&object.value) {
        Ok(member) => Some(member),
        Err(error) => {
            external_input::report_invalid(
                external_input::InputSource::Announcement,
                &object.key,
                error,
            );
            None
        }
    }
}

/// Removes this process's announcement, unless its backend server may hold streams.
///
/// An announcement that remains after a shutdown makes other processes send reports to this address
/// and wait for its answer in searches. It is kept while the backend server runs, because the agent
/// is expected to restart and searches must include it.
pub(crate) async fn withdraw(context: &context::ControlContext) {
    context.has_withdrawn.set(true);
    if status::is_set(&context.status.holds_streams) {
        return;
    }
    context.send_input(packets::StreamInput::Withdrawn).await;
    let Some(version) = context.announced.take() else { return };
    let store = context.platform_client.borrow().store.clone();
    // After a restore, the same version may identify an object of another writer.
    let version = match predates_restore(context, version) {
        true => match store.get(&announcement_key(context)).await {
            Ok(Some(object)) if is_own(context, &object) => object.version,
            _ => return,
        },
        false => version,
    };
    if let Err(error) = store.remove(&announcement_key(context), version).await {
        log::info!("cannot remove the announcement of this process: {error}");
    }
}

fn announcement_key(context: &context::ControlContext) -> String {
    format!("{MEMBER_PREFIX}{}", context.settings.borrow().name)
}
