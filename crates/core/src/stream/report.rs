//! Reports of a backend server, and the order of its runs.

use std::cmp;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::ids;

/// One run of a backend server, identified by its id and its start time.
///
/// A backend server may restart under the same id, with no streams and a new sequence of reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRun {
    /// The id that it reports under.
    pub id: String,
    /// When it started, by its own clock; `None` if it does not report this.
    pub born: Option<ids::UnixMillis>,
}

impl fmt::Display for HostRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{} born {}", self.id, born.0),
            None => f.write_str(&self.id),
        }
    }
}

/// The order of a run relative to the one that an agent knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOrder {
    /// It is the same run.
    Same,
    /// It started later.
    Later,
    /// Its start time is earlier: it is dead, or its clock was set back.
    Earlier,
    /// It has a start time and the known run has none, so their order is unknown.
    Unordered,
    /// It has no start time and the known run has one, so the report is from another process.
    Foreign,
}

impl HostRun {
    /// Checks the length of its id.
    ///
    /// # Errors
    ///
    /// [`ReportError::Id`] if the id is empty or too long.
    pub fn check(&self) -> Result<(), ReportError> {
        match self.id.len() {
            1..=MAX_ID_BYTES => Ok(()),
            _ => Err(ReportError::Id),
        }
    }

    /// The order of this run relative to a known one.
    ///
    /// If neither has a start time, a different id is a later run.
    pub fn compare(&self, known: &HostRun) -> RunOrder {
        match (self.born, known.born) {
            _ if self == known => RunOrder::Same,
            (Some(born), Some(known)) => match born.cmp(&known) {
                cmp::Ordering::Greater => RunOrder::Later,
                cmp::Ordering::Less | cmp::Ordering::Equal => RunOrder::Earlier,
            },
            (Some(_), None) => RunOrder::Unordered,
            (None, Some(_)) => RunOrder::Foreign,
            (None, None) => RunOrder::Later,
        }
    }
}

/// A report of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostReport {
    /// The run that sent it.
    pub run: HostRun,
    /// Increases with each report of a run.
    pub sequence: u64,
    /// The name of its service.
    pub service: String,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// The remaining time of its slow start, in milliseconds.
    pub slow_ms: u64,
}

/// The maximum length of a backend server's id; an agent stores several dozens.
const MAX_ID_BYTES: usize = 256;

/// Why a report is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportError {
    /// The id is empty or too long.
    Id,
    /// The service is in neither the settings nor the configuration.
    Service,
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::Id => {
                write!(f, "the id in the path is empty or longer than {MAX_ID_BYTES} bytes")
            }
            ReportError::Service => f.write_str(
                "service: is in neither the settings nor the configuration; use a service that is",
            ),
        }
    }
}

impl HostReport {
    /// Whether it is from a backend server of this service.
    pub fn is_of(&self, service: ids::ServiceId) -> bool {
        ids::ServiceId::of_name(&self.service) == service
    }

    /// Checks a report to an agent whose backend server is of service `own`.
    ///
    /// A report from an unrelated process must not be taken for a new run, which would reset every
    /// stream of the current one.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the report is rejected.
    pub fn check(
        &self,
        own: Option<ids::ServiceId>,
        state: &config::ConfigState,
    ) -> Result<(), ReportError> {
        self.run.check()?;
        let service = ids::ServiceId::of_name(&self.service);
        match own == Some(service) || state.service(service).is_some() {
            true => Ok(()),
            false => Err(ReportError::Service),
        }
    }
}
