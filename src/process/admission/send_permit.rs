//! The permit to send one request to one upstream.

use {super::Admission, crate::prelude::*};

/// The right to send one request to one upstream. The request counts as in progress until this is
/// dropped.
pub struct SendPermit {
    admission: Rc<Admission>,
    upstream: UpstreamName,
    account: AccountName,
    kind: KindName,
    granted_at: Millis,
}

impl SendPermit {
    /// Creates the permit of a request that is already counted as in progress.
    pub(super) fn new(
        admission: Rc<Admission>,
        upstream: UpstreamName,
        account: AccountName,
        kind: KindName,
        granted_at: Millis,
    ) -> Self {
        Self {
            admission,
            upstream,
            account,
            kind,
            granted_at,
        }
    }

    /// Returns the upstream that the request is sent to.
    pub fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }

    /// Records that the upstream answered.
    pub fn record_answer(
        &self,
        now: Millis,
    ) {
        let took = now.since(self.granted_at);
        self.admission
            .record_answer(now, &self.upstream, &self.kind, took);
    }

    /// Records that the request failed at the upstream.
    pub fn record_failure(
        &self,
        now: Millis,
        body: &[u8],
    ) {
        self.admission
            .record_failure(now, &self.upstream, &self.account, &self.kind, body);
    }

    /// Records that the guard refused the request; the upstream counts as full for a short time.
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
