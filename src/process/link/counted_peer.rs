//! A connection to a guard of another region, with traffic accounting.

use {
    super::{LinkPurpose, LinkTraffic},
    crate::{
        connection::{GuardPeer, GuardReply, GuardRequest, LinkError},
        prelude::*,
    },
    serde::Serialize,
};

/// The overhead of a frame in bytes: its header, its number, and the headers of TCP and IP.
const FRAME_OVERHEAD_BYTES: usize = 5 + 2 + 40;

/// A guard peer whose calls and replies are counted as traffic across the link.
pub struct CountedPeer {
    peer: Rc<dyn GuardPeer>,
    traffic: LinkTraffic,
}

impl CountedPeer {
    /// Wraps the peer of a guard in another region.
    pub fn new(
        peer: Rc<dyn GuardPeer>,
        traffic: LinkTraffic,
    ) -> Self {
        Self { peer, traffic }
    }

    async fn call_counted(
        &self,
        req: GuardRequest,
    ) -> Result<GuardReply, LinkError> {
        let purpose = purpose_of(&req);
        self.traffic.count_crossing(purpose, frame_bytes(&req));
        let reply = self.peer.call(req).await?;
        self.traffic.count_crossing(purpose, frame_bytes(&reply));
        Ok(reply)
    }
}

impl GuardPeer for CountedPeer {
    fn call(
        &self,
        req: GuardRequest,
    ) -> LocalBoxFuture<'_, Result<GuardReply, LinkError>> {
        Box::pin(self.call_counted(req))
    }
}

fn purpose_of(req: &GuardRequest) -> LinkPurpose {
    match req {
        GuardRequest::Run(_) => LinkPurpose::Requests,
        GuardRequest::Document { .. }
        | GuardRequest::Layout { .. }
        | GuardRequest::Drain { .. } => LinkPurpose::Documents,
        _ => LinkPurpose::Gang,
    }
}

/// Returns the size of a message on the wire, including the frame overhead, in bytes.
fn frame_bytes<T>(message: &T) -> usize
where
    T: Serialize,
{
    let content = postcard::experimental::serialized_size(message).unwrap_or_default();
    content + FRAME_OVERHEAD_BYTES
}
