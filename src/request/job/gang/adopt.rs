//! Takes a job over from an earlier owner: asks the guards which of its gangs they know.

use {
    super::{Interrupt, JobRun, PlacedGang},
    crate::{
        connection::{GangId, GangReply, GangRequest, GuardReply, KnownGang, PieceAddress},
        prelude::*,
    },
    futures_util::future::join_all,
    std::collections::{BTreeMap, BTreeSet},
};

/// The maximum time to wait for one guard's answer.
const INSPECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause between two rounds of inspection.
const INSPECT_PAUSE: Duration = Duration::from_secs(1);

/// The minimum time of inspection before the job is started again, even when every live guard has
/// answered.
const MIN_INSPECTION_TIME: Duration = Duration::from_secs(6);

/// The maximum time of inspection while guards do not answer.
const MAX_INSPECTION_TIME: Duration = Duration::from_secs(20);

/// What the guards reported about one job.
#[derive(Default)]
struct InspectionResults {
    /// Guards that have answered.
    answered: BTreeSet<SocketAddr>,
    /// Guards with a piece whose leader guard has not answered.
    awaiting_leader: BTreeSet<SocketAddr>,
    /// The gangs that were committed, as their leader guards reported them.
    led_gangs: BTreeMap<GangId, PlacedGang>,
    /// The guards that know each gang.
    guards_by_gang: BTreeMap<GangId, Vec<SocketAddr>>,
}

impl JobRun {
    /// Returns the latest committed gang that a guard still knows, to be followed instead of
    /// starting the job again. All other gangs of the job are released.
    pub(super) async fn adopt(&self) -> Option<PlacedGang> {
        let mut results = InspectionResults::default();
        let started = self.entry.clock.now();
        loop {
            self.inspect_all(&mut results).await;
            let waited = self.entry.clock.now().since(started);
            let unanswered = !self.guards_to_inspect(&results).is_empty();
            let is_complete =
                waited >= MIN_INSPECTION_TIME && !unanswered && results.awaiting_leader.is_empty();
            let is_over = matches!(
                self.interrupt(),
                Some(Interrupt::Ended | Interrupt::Superseded)
            );
            if is_complete
                || is_over
                || !results.led_gangs.is_empty()
                || waited >= MAX_INSPECTION_TIME
            {
                break;
            }
            self.entry.clock.sleep(INSPECT_PAUSE).await;
        }
        let (_, adopted) = results.led_gangs.pop_last().unzip();
        if let Some(placed) = &adopted {
            tracing::info!(gang = %placed.gang, "adopted a running gang");
        }
        self.release_others(results, adopted.as_ref()).await;
        adopted
    }

    /// Returns the live guards that have not answered or have a piece whose leader guard has not
    /// answered.
    fn guards_to_inspect(
        &self,
        results: &InspectionResults,
    ) -> Vec<SocketAddr> {
        let live = self.entry.members.borrow().live(self.entry.clock.now());
        let guards = live.iter().map(|u| u.guard_address);
        guards
            .filter(|g| !results.answered.contains(g) || results.awaiting_leader.contains(g))
            .collect()
    }

    async fn inspect_all(
        &self,
        results: &mut InspectionResults,
    ) {
        let guards = self.guards_to_inspect(results);
        let inspections = guards.iter().map(|guard| self.inspect(*guard));
        for (guard, known) in guards.iter().zip(join_all(inspections).await) {
            if let Some(known) = known {
                results.answered.insert(*guard);
                results.awaiting_leader.remove(guard);
                known
                    .into_iter()
                    .for_each(|k| self.record_known_gang(results, *guard, k));
            }
        }
    }

    async fn inspect(
        &self,
        guard: SocketAddr,
    ) -> Option<Vec<KnownGang>> {
        let req = GangRequest::Inspect {
            job: self.spec.id,
            ownership: self.ownership,
        };
        match PlacedGang::call(&self.entry, guard, req, INSPECT_TIMEOUT).await {
            Ok(GuardReply::Gang(GangReply::Known(known))) => Some(known),
            _ => None,
        }
    }

    fn record_known_gang(
        &self,
        results: &mut InspectionResults,
        guard: SocketAddr,
        known: KnownGang,
    ) {
        results
            .guards_by_gang
            .entry(known.gang)
            .or_default()
            .push(guard);
        if let Some(pieces) = known.led {
            let live = self.entry.members.borrow().live(self.entry.clock.now());
            let leader = live.iter().find(|u| u.guard_address == guard);
            let region = leader.map(|u| u.region.clone());
            let placed = PlacedGang::new(known.gang, pieces, region);
            results.led_gangs.insert(known.gang, placed);
        } else if known.lead.is_some() {
            results.awaiting_leader.insert(guard);
        }
    }

    /// Releases every piece that does not belong to the adopted gang.
    async fn release_others(
        &self,
        results: InspectionResults,
        adopted: Option<&PlacedGang>,
    ) {
        let kept = adopted.map(|a| a.gang);
        let other_gangs = results
            .guards_by_gang
            .iter()
            .filter(|(gang, _)| Some(**gang) != kept);
        let releases = other_gangs.flat_map(|(gang, guards)| {
            guards.iter().map(|guard| {
                let piece = PieceAddress {
                    guard: *guard,
                    members: Vec::new(),
                };
                let placed = PlacedGang::new(*gang, vec![piece], None);
                async move { placed.release(self).await }
            })
        });
        join_all(releases).await;
    }
}
