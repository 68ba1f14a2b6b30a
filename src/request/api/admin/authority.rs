//! Authorisation of operators and the audit of their actions.

use crate::{
    connection::{HttpRequest, Problem},
    prelude::*,
    process::{
        entry::Entry,
        state::{AuditRecord, RecordBody, StateError},
    },
    version::{KeyHash, Role},
};

/// The retry delay in responses while the log is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Returns the operator whose key the request bears, if the operator has the role. Before the first
/// document, the bootstrap operator of the entry's settings has every role.
///
/// # Errors
/// Returns the problem to answer with when the key is missing or unknown, or the role is missing.
pub(super) fn authorise(
    entry: &Entry,
    req: &HttpRequest,
    role: Role,
) -> Result<OperatorName, Problem> {
    let key = req.bearer_key().ok_or_else(Problem::unauthorized)?;
    let document = entry.document();
    if let Some(operator) = document.operator_by_key(key) {
        if operator.roles.contains(&role) {
            return Ok(operator.name.clone());
        }
        let detail = format!("{} does not have the role {role}", operator.name);
        return Err(Problem::new(403, "role", detail));
    }
    let no_document = entry.state.fold().version() == VersionNumber::default();
    let bootstrap = entry.settings.bootstrap.as_ref().filter(|_| no_document);
    let bootstrap = bootstrap.filter(|b| b.key.matches(&KeyHash::of(key)));
    bootstrap
        .map(|b| b.operator.clone())
        .ok_or_else(Problem::unauthorized)
}

/// Appends an audit record of an operator's action to the log.
pub(super) async fn audit(
    entry: &Entry,
    operator: &OperatorName,
    action: String,
) -> Result<(), StateError> {
    let record = RecordBody::Audit(AuditRecord {
        operator: operator.clone(),
        action: action.into(),
        from_version: entry.state.fold().version(),
    });
    entry.state.append(record).await
}

/// Returns the problem for a change that may be missing from the log; `status_path` is the path
/// at which an operator can check.
pub(super) fn log_problem(
    e: StateError,
    status_path: &str,
) -> Problem {
    match e {
        StateError::NotRecorded => Problem::new(503, "not-recorded", e),
        StateError::Unknown => {
            let detail = format!("{e}; check {status_path} once the log is available again");
            Problem::new(503, "unknown", detail)
        }
    }
    .retry_after(RETRY_AFTER)
}
