//! Repairs the head object after the platform's store was restored from a backup that lacks the last
//! accepted configuration.

use eyre::WrapErr as _;

use crate::platform;
use crate::release;
use crate::release::parts;

/// How the head in a restored store relates to the head accepted before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadStatus {
    /// The same write, or a later one based on it.
    Kept,
    /// An older write: the accepted head must be written again.
    Lost,
    /// A write accepted after the restore on top of an older head. It is the later one and stays in
    /// force.
    Replaced,
}

/// Compares the head in a restored store, if any, with the head accepted before.
///
/// Write ids are compared, since a restored store reuses version numbers.
pub fn head_status(
    accepted: &release::HeadObject,
    restored: Option<&release::HeadObject>,
) -> HeadStatus {
    let Some(newest) = accepted.history.first() else { return HeadStatus::Kept };
    let Some(restored) = restored else { return HeadStatus::Lost };
    let is_in = |history: &[release::WriteRecord], write_id: &str| {
        history.iter().any(|write| write.write_id == write_id)
    };
    match restored.history.first() {
        _ if is_in(&restored.history, &newest.write_id) => HeadStatus::Kept,
        Some(write) if !is_in(&accepted.history, &write.write_id) => HeadStatus::Replaced,
        _ => HeadStatus::Lost,
    }
}

/// Writes the accepted head and its parts again if a restore of the store lost them.
///
/// Returns the status found before the repair. Several processes may call this at once: the write is
/// conditional on the version of `restored`, and the others then find [`HeadStatus::Kept`].
///
/// # Errors
///
/// Fails if the platform cannot be reached, a head cannot be parsed, or another process wrote first.
pub async fn repair_head(
    store: &dyn platform::ObjectStore,
    accepted: &platform::StoredObject,
    restored: Option<&platform::StoredObject>,
    cache: &parts::PartCache,
) -> eyre::Result<HeadStatus> {
    let accepted_head = release::read_head_object(accepted)?;
    let restored_head = restored.map(release::read_head_object).transpose()?;
    let status = head_status(&accepted_head, restored_head.as_ref());
    match status {
        HeadStatus::Kept => {}
        HeadStatus::Replaced => log::warn!(
            "the store was restored without the configuration of {}; a configuration accepted since \
             then stays in force, apply the earlier one again if needed",
            describe(&accepted_head),
        ),
        HeadStatus::Lost => {
            parts::rewrite_parts(store, &accepted_head.parts, cache).await?;
            let condition = match restored {
                Some(restored) => platform::WriteCondition::Version(restored.version),
                None => platform::WriteCondition::Absent,
            };
            let written = store.put(release::HEAD_KEY, accepted.value.clone(), condition).await;
            written.wrap_err("cannot write the lost configuration again")?;
            metrics::counter!("rosemaryusher_releases_restored_total").increment(1);
            log::warn!(
                "the store was restored without the configuration of {}; it is written again",
                describe(&accepted_head),
            );
        }
    }
    Ok(status)
}

fn describe(head: &release::HeadObject) -> String {
    match head.history.first() {
        Some(write) => format!("{} (write {})", write.author, write.write_id),
        None => "an unknown author".to_owned(),
    }
}
