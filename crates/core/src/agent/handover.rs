//! Hand-over of request records from a departing run to its successor.

use crate::agent;
use crate::ids;
use crate::ledger;
use crate::message;
use crate::ticket;

/// The read-only request record of a departed run.
#[derive(Clone, Debug, Default)]
pub(crate) struct ImportedRecords {
    ledger: ledger::RequestLedger,
    is_complete: bool,
    last_import: ids::UnixMillis,
}

impl agent::AgentEngine {
    /// Imports a part of the request record of a departed run.
    pub(crate) fn import_records(
        &mut self,
        home: ids::InstanceId,
        entries: Vec<ledger::HandoverEntry>,
        is_last: bool,
        now: ids::UnixMillis,
    ) {
        let record = self.imported.entry(home).or_default();
        record.last_import = now;
        record.is_complete |= is_last;
        for entry in entries {
            record.ledger.add_transferred(entry, now);
        }
    }

    /// Removes records whose tickets have all expired.
    pub(crate) fn sweep_imported(&mut self, now: ids::UnixMillis) {
        let retention_ms = 2 * ticket::TICKET_LIFETIME_MS;
        self.imported.retain(|_, record| now.since(record.last_import) < retention_ms);
        for record in self.imported.values_mut() {
            record.ledger.sweep(now);
        }
    }
}

impl agent::AgentEngine {
    /// The records to hand over to a successor, imported ones first.
    ///
    /// Empty records are included: a successor needs a complete record to report that a request
    /// has not run.
    pub fn export_records(&self) -> Vec<(ids::InstanceId, Vec<ledger::HandoverEntry>)> {
        let imported = self.imported.iter().filter(|(_, record)| record.is_complete);
        let imported = imported.map(|(home, record)| (*home, record.ledger.export()));
        imported.chain([(self.config.instance, self.ledger.export())]).collect()
    }

    /// Looks up a request in the record of a departed run.
    ///
    /// Returns `None` until the record is complete, because a missing entry proves nothing before.
    pub(crate) fn imported_state(
        &self,
        home: ids::InstanceId,
        key: ledger::RequestKey,
        request: &message::CallerRequest,
    ) -> Option<ImportedState> {
        let record = self.imported.get(&home).filter(|record| record.is_complete)?;
        let Some(entry) = record.ledger.get(key) else { return Some(ImportedState::NotRun) };
        match &entry.state {
            _ if !super::requests::is_same_request(entry, request) => Some(ImportedState::Reused),
            ledger::RequestState::Done(answer) => Some(ImportedState::Done(answer.clone())),
            _ => Some(ImportedState::Unknown),
        }
    }
}

/// The state of a request in the record of a departed run.
#[derive(Clone, Debug)]
pub(crate) enum ImportedState {
    Done(std::sync::Arc<message::BackendAnswer>),
    NotRun,
    Reused,
    Unknown,
}
