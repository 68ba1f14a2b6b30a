//! A request's place at an upstream.

use {super::Admission, crate::prelude::*};

/// The right to send one request to one upstream; it counts as in progress until this is dropped.
pub struct Place {
    admission: Rc<Admission>,
    upstream: UpstreamName,
    account: AccountName,
    kind: KindName,
    since: Millis,
}

impl Place {
    /// Counts a request in at an upstream.
    pub(super) fn new(
        admission: Rc<Admission>,
        upstream: UpstreamName,
        account: AccountName,
        kind: KindName,
        since: Millis,
    ) -> Self {
        Self {
            admission,
            upstream,
            account,
            kind,
            since,
        }
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }

    /// Notes that the upstream answered.
    pub fn answered(
        &self,
        now: Millis,
    ) {
        let took = now.since(self.since);
        self.admission
            .record_answer(now, &self.upstream, &self.kind, took);
    }

    /// Notes that the upstream failed the request.
    pub fn failed(
        &self,
        now: Millis,
        body: &[u8],
    ) {
        self.admission
            .record_failure(now, &self.upstream, &self.account, &self.kind, body);
    }

    /// Notes that the guard had no slot; the upstream counts as full for some time.
    pub fn refused(
        &self,
        now: Millis,
    ) {
        self.admission.record_full(now, &self.upstream);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.admission
            .leave(&self.upstream, &self.account, &self.kind);
    }
}
