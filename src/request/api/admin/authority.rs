//! Who may administer, and what is written down of it.

use crate::{
    connection::{HttpRequest, Problem},
    prelude::*,
    process::{
        entry::Entry,
        state::{AuditRecord, RecordBody, StateError},
    },
    version::{KeyHash, Role},
};

/// The pause that an operator is told to make while the log is away.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Returns the operator whose key the request shows, when it has the role. Before the first
/// document the operator of the entry's settings may do everything.
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

/// Records who did what.
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

/// Returns the answer to a change that is not known to be on the log; `look` says where an
/// operator finds out.
pub(super) fn log_problem(
    e: StateError,
    look: &str,
) -> Problem {
    match e {
        StateError::NotRecorded => Problem::new(503, "not-recorded", e),
        StateError::Unknown => {
            let detail = format!("{e}; {look} tells once the log answers");
            Problem::new(503, "unknown", detail)
        }
    }
    .retry_after(RETRY_AFTER)
}
