//! A request's place at an upstream.

use {super::Admission, crate::prelude::*};

/// The right to send one request to one upstream; it counts as in progress until this is dropped.
pub struct SendPermit {
    admission: Rc<Admission>,
    upstream: UpstreamName,
    account: AccountName,
    kind: KindName,
    granted_at: Millis,
}

impl SendPermit {
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
            granted_at: since,
        }
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }

    /// Notes that the upstream answered.
    pub fn record_answer(
        &self,
        now: Millis,
    ) {
        let took = now.since(self.granted_at);
        self.admission
            .record_answer(now, &self.upstream, &self.kind, took);
    }

    /// Notes that the upstream failed the request.
    pub fn record_failure(
        &self,
        now: Millis,
        body: &[u8],
    ) {
        self.admission
            .record_failure(now, &self.upstream, &self.account, &self.kind, body);
    }

    /// Notes that the guard had no slot; the upstream counts as full for some time.
    pub fn record_refusal(
        &self,
        now: Millis,
    ) {
        self.admission.record_refusal(now, &self.upstream);
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        self.admission
            .release(&self.upstream, &self.account, &self.kind);
    }
}
