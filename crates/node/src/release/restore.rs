//! What becomes of an accepted configuration where the platform's store comes back from a copy that
//! lacks it.

use eyre::WrapErr as _;

use crate::platform;
use crate::release;
use crate::release::parts;

/// How the head that a restored store holds compares with the one that was accepted before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadFate {
    /// It is the same, or was accepted on top of it.
    Kept,
    /// The copy is older: what was accepted is to be written again.
    Lost,
    /// Another was accepted on top of the older copy. It came later, and its operator was told so: it
    /// holds.
    Replaced,
}

/// Compares the head that a restored store holds, if any, with the one that was accepted before.
///
/// Numbers say nothing here, since the store gives them out again; each write has an id of its own.
pub fn head_fate(held: &release::HeadObject, found: Option<&release::HeadObject>) -> HeadFate {
    let Some(newest) = held.history.first() else { return HeadFate::Kept };
    let Some(found) = found else { return HeadFate::Lost };
    let is_in = |history: &[release::WriteRecord], write_id: &str| {
        history.iter().any(|write| write.write_id == write_id)
    };
    match found.history.first() {
        _ if is_in(&found.history, &newest.write_id) => HeadFate::Kept,
        Some(write) if !is_in(&held.history, &write.write_id) => HeadFate::Replaced,
        _ => HeadFate::Lost,
    }
}

/// Sees what became of an accepted head after a restore, and writes it again where it is lost; says
/// what had become of it.
///
/// Any process that held it may do so, several at once too: the write has the condition that the store
/// still holds what was found, and whoever finds the head there afterwards has nothing to do.
///
/// # Errors
///
/// Fails if the platform cannot be reached, or holds what is no configuration.
pub async fn mend_head(
    store: &dyn platform::ObjectStore,
    held: &platform::StoredObject,
    found: Option<&platform::StoredObject>,
    cache: &parts::PartCache,
) -> eyre::Result<HeadFate> {
    let held_head = release::read_head_object(held)?;
    let found_head = found.map(release::read_head_object).transpose()?;
    let fate = head_fate(&held_head, found_head.as_ref());
    match fate {
        HeadFate::Kept => {}
        HeadFate::Replaced => log::warn!(
            "the store was restored without the configuration of {}, and another was accepted since, \
             which holds; apply the earlier one again if it is wanted",
            describe(&held_head),
        ),
        HeadFate::Lost => {
            parts::write_again(store, &held_head.parts, cache).await?;
            let condition = match found {
                Some(found) => platform::WriteCondition::Version(found.version),
                None => platform::WriteCondition::Absent,
            };
            let written = store.put(release::HEAD_KEY, held.value.clone(), condition).await;
            written.wrap_err("cannot write the configuration again that the store has lost")?;
            metrics::counter!("rosemaryusher_releases_restored_total").increment(1);
            log::warn!(
                "the store was restored without the configuration of {}; it is written again",
                describe(&held_head),
            );
        }
    }
    Ok(fate)
}

fn describe(head: &release::HeadObject) -> String {
    match head.history.first() {
        Some(write) => format!("{} (write {})", write.author, write.write_id),
        None => "nobody".to_owned(),
    }
}
