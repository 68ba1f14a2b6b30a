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
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// How long guards that do not answer are waited for.
const SILENCE_BOUND: Duration = Duration::from_secs(20);

/// What the guards told of one job.
#[derive(Default)]
struct Findings {
    answered: BTreeSet<SocketAddr>,
    /// Guards whose started members have a lead guard that was not heard.
    waiting: BTreeSet<SocketAddr>,
    led: BTreeMap<GangId, PlacedGang>,
    pieces: BTreeMap<GangId, Vec<SocketAddr>>,
}

impl JobRun {
    /// Returns the committed gang that guards still know, which is followed in place of a new
    /// start. What was not committed is released.
    pub(super) async fn adopt(&self) -> Option<PlacedGang> {
        let mut findings = Findings::default();
        let started = self.entry.clock.now();
        loop {
            self.inspect_all(&mut findings).await;
            let waited = self.entry.clock.now().since(started);
            let silent = !self.unheard(&findings).is_empty();
            let settled = waited >= SETTLE_TIME && !silent && findings.waiting.is_empty();
            let over = matches!(
                self.interrupt(),
                Some(Interrupt::Ended | Interrupt::Superseded)
            );
            if settled || over || !findings.led.is_empty() || waited >= SILENCE_BOUND {
                break;
            }
            self.entry.clock.sleep(INSPECT_PAUSE).await;
        }
        let (_, adopted) = findings.led.pop_last().unzip();
        if let Some(placed) = &adopted {
            tracing::info!(gang = %placed.gang, "a running gang was adopted");
        }
        self.release_rest(findings, adopted.as_ref()).await;
        adopted
    }

    /// Returns the live guards that have not answered or whose lead guard was not heard.
    fn unheard(
        &self,
        findings: &Findings,
    ) -> Vec<SocketAddr> {
        let live = self.entry.members.borrow().live(self.entry.clock.now());
        let guards = live.iter().map(|u| u.guard_address);
        guards
            .filter(|g| !findings.answered.contains(g) || findings.waiting.contains(g))
            .collect()
    }

    async fn inspect_all(
        &self,
        findings: &mut Findings,
    ) {
        let asked = self.unheard(findings);
        let inspections = asked.iter().map(|guard| self.inspect(*guard));
        for (guard, known) in asked.iter().zip(join_all(inspections).await) {
            if let Some(known) = known {
                findings.answered.insert(*guard);
                findings.waiting.remove(guard);
                known
                    .into_iter()
                    .for_each(|k| self.note_known(findings, *guard, k));
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

    fn note_known(
        &self,
        findings: &mut Findings,
        guard: SocketAddr,
        known: KnownGang,
    ) {
        findings.pieces.entry(known.gang).or_default().push(guard);
        if let Some(pieces) = known.led {
            let live = self.entry.members.borrow().live(self.entry.clock.now());
            let lead = live.iter().find(|u| u.guard_address == guard);
            let region = lead.map(|u| u.region.clone());
            let placed = PlacedGang::new(known.gang, pieces, region);
            findings.led.insert(known.gang, placed);
        } else if known.lead.is_some() {
            findings.waiting.insert(guard);
        }
    }

    /// Releases every piece that does not belong to the adopted gang.
    async fn release_rest(
        &self,
        findings: Findings,
        adopted: Option<&PlacedGang>,
    ) {
        let kept = adopted.map(|a| a.gang);
        let rest = findings
            .pieces
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
