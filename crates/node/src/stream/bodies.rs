//! Parsing of the reports and leave requests that a backend server sends.

use std::net;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::stream::report;
use serde::Deserialize;
use serde::de;
use serde_json::value;

/// The body of a backend server's report.
///
/// Unused fields are required and parsed too: a report in which one is missing or has another type
/// comes from another kind of sender and is rejected.
#[derive(Deserialize)]
struct ReportBody {
    service: String,
    #[serde(rename = "address")]
    _address: net::SocketAddrV4,
    #[serde(rename = "data_centre")]
    _data_centre: String,
    #[serde(rename = "version")]
    _version: String,
    slow_start_ms: f64,
    slots: u32,
    state: ReportState,
    sequence: u64,
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ReportState {
    Ready,
    Draining,
}

/// The body of a backend server's leave request.
#[derive(Default, Deserialize)]
struct LeaveBody {
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<u64>,
}

/// Deserialises a number that may be absent but not null.
fn whole_number<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    u64::deserialize(deserializer).map(Some)
}

/// Parses a report of the backend server `id`, for an agent of service `own_service`.
///
/// # Errors
///
/// Returns the reason if the body is malformed or fails [`report::HostReport::check`].
pub fn parse_report(
    id: &str,
    body: &[u8],
    own_service: Option<ids::ServiceId>,
    state: &config::ConfigState,
) -> Result<report::HostReport, String> {
    let body: ReportBody = parse_object(body)?;
    let report = report::HostReport {
        run: host_run(id, body.born),
        sequence: body.sequence,
        service: body.service,
        slots: body.slots,
        is_draining: matches!(body.state, ReportState::Draining),
        slow_ms: body.slow_start_ms.ceil() as u64,
    };
    report.check(own_service, state).map_err(|fault| fault.to_string())?;
    Ok(report)
}

/// Parses which run of the backend server `id` has left; the body may be empty.
///
/// # Errors
///
/// Returns the reason if the body or the id is malformed.
pub fn parse_leave(id: &str, body: &[u8]) -> Result<report::HostRun, String> {
    let body = match body {
        [] => LeaveBody::default(),
        bytes => parse_object(bytes)?,
    };
    let run = host_run(id, body.born);
    run.check().map_err(|fault| fault.to_string())?;
    Ok(run)
}

/// Deserialises a JSON object; rejects the array form that serde accepts for a struct.
fn parse_object<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let fields: serde_json::Map<String, value::Value> =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    serde_path_to_error::deserialize(value::Value::Object(fields))
        .map_err(|error| error.to_string())
}

fn host_run(id: &str, born: Option<u64>) -> report::HostRun {
    report::HostRun { id: id.to_owned(), born: born.map(ids::UnixMillis) }
}
