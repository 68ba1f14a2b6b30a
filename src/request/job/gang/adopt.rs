//! Takes a job over from an earlier owner: finds out what its guards hold and run.

use {
    super::{Interrupt, JobRun, PlacedGang},
    crate::{
        connection::{GangId, GangReply, GangRequest, GuardReply, KnownGang, PieceAddress},
        prelude::*,
    },
    futures_util::future::join_all,
    std::collections::{BTreeMap, BTreeSet},
};

/// The longest time that one guard's answer may take.
const INSPECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause between two rounds of asking.
const INSPECT_PAUSE: Duration = Duration::from_secs(1);

/// How long every guard is waited for before the job is started anew.
const MIN_INSPECTION_TIME: Duration = Duration::from_secs(6);

/// How long guards that do not answer are waited for.
const MAX_INSPECTION_TIME: Duration = Duration::from_secs(20);

/// What the guards told of one job.
#[derive(Default)]
struct InspectionResults {
    answered: BTreeSet<SocketAddr>,
    /// Guards whose started members have a lead guard that was not heard.
    awaiting_leader: BTreeSet<SocketAddr>,
    led_gangs: BTreeMap<GangId, PlacedGang>,
    guards_by_gang: BTreeMap<GangId, Vec<SocketAddr>>,
}

impl JobRun {
    /// Returns the committed gang that guards still know, which is followed in place of a new
    /// start. What was not committed is released.
    pub(super) async fn adopt(&self) -> Option<PlacedGang> {
        let mut findings = InspectionResults::default();
        let started = self.entry.clock.now();
        loop {
            self.inspect_all(&mut findings).await;
            let waited = self.entry.clock.now().since(started);
            let silent = !self.guards_to_inspect(&findings).is_empty();
            let settled =
                waited >= MIN_INSPECTION_TIME && !silent && findings.awaiting_leader.is_empty();
            let over = matches!(
                self.interrupt(),
                Some(Interrupt::Ended | Interrupt::Superseded)
            );
            if settled || over || !findings.led_gangs.is_empty() || waited >= MAX_INSPECTION_TIME {
                break;
            }
            self.entry.clock.sleep(INSPECT_PAUSE).await;
        }
        let (_, adopted) = findings.led_gangs.pop_last().unzip();
        if let Some(placed) = &adopted {
            tracing::info!(gang = %placed.gang, "a running gang was adopted");
        }
        self.release_others(findings, adopted.as_ref()).await;
        adopted
    }

    /// Returns the live guards that have not answered or whose lead guard was not heard.
    fn guards_to_inspect(
        &self,
        findings: &InspectionResults,
    ) -> Vec<SocketAddr> {
        let live = self.entry.members.borrow().live(self.entry.clock.now());
        let guards = live.iter().map(|u| u.guard_address);
        guards
            .filter(|g| !findings.answered.contains(g) || findings.awaiting_leader.contains(g))
            .collect()
    }

    async fn inspect_all(
        &self,
        findings: &mut InspectionResults,
    ) {
        let asked = self.guards_to_inspect(findings);
        let inspections = asked.iter().map(|guard| self.inspect(*guard));
        for (guard, known) in asked.iter().zip(join_all(inspections).await) {
            if let Some(known) = known {
                findings.answered.insert(*guard);
                findings.awaiting_leader.remove(guard);
                known
                    .into_iter()
                    .for_each(|k| self.record_known_gang(findings, *guard, k));
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
        findings: &mut InspectionResults,
        guard: SocketAddr,
        known: KnownGang,
    ) {
        findings
            .guards_by_gang
            .entry(known.gang)
            .or_default()
            .push(guard);
        if let Some(pieces) = known.led {
            let live = self.entry.members.borrow().live(self.entry.clock.now());
            let lead = live.iter().find(|u| u.guard_address == guard);
            let region = lead.map(|u| u.region.clone());
            let placed = PlacedGang::new(known.gang, pieces, region);
            findings.led_gangs.insert(known.gang, placed);
        } else if known.lead.is_some() {
            findings.awaiting_leader.insert(guard);
        }
    }

    /// Releases every piece that does not belong to the adopted gang.
    async fn release_others(
        &self,
        findings: InspectionResults,
        adopted: Option<&PlacedGang>,
    ) {
        let kept = adopted.map(|a| a.gang);
        let rest = findings
            .guards_by_gang
            .iter()
            .filter(|(gang, _)| Some(**gang) != kept);
        let releases = rest.flat_map(|(gang, guards)| {
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
