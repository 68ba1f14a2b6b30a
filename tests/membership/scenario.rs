//! A scenario of random faults.

use {
    crate::{
        entries::PLACES,
        fleet::{Fleet, Place},
        network::NetworkConditions,
        op::Op,
    },
    limpetquay::{
        prelude::*,
        process::{clock::VirtualClock, membership::ServingState},
    },
    std::collections::BTreeMap,
};

/// The number of upstreams in each place.
const GUARDS_PER_PLACE: usize = 2;

/// The number of entries in each place.
const ENTRIES_PER_PLACE: usize = 2;

/// How long an upstream may still be known after it begins to leave.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// How long a killed upstream may still be known.
const DEATH_BOUND: Duration = Duration::from_secs(6);

/// How long after the end of all faults every table must equal the actual state.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// The interval at which the oracle checks the tables.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The end of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamEnd {
    pub incarnation: u64,
    pub ended_at: Millis,
    pub bound: Duration,
}

/// A running scenario.
pub struct Scenario {
    pub fleet: Fleet,
    pub ended: BTreeMap<String, UpstreamEnd>,
    /// The time of the last fault of the network or of an entry.
    pub last_fault_at: Millis,
    /// The highest incarnation of each upstream that each incarnation of an entry has known.
    pub newest_known: BTreeMap<(String, u64, String), u64>,
    /// Whether no fault of the network is active.
    pub no_active_fault: bool,
}

impl Scenario {
    pub fn new(
        clock: Rc<VirtualClock>,
        seed: u64,
    ) -> Self {
        let mut fleet = Fleet::new(clock, seed);
        fleet.populate(&PLACES, ENTRIES_PER_PLACE as u32, GUARDS_PER_PLACE as u32);
        Self {
            fleet,
            ended: BTreeMap::new(),
            last_fault_at: Millis::default(),
            newest_known: BTreeMap::new(),
            no_active_fault: true,
        }
    }

    /// Applies the steps, ends all faults, and compares every table with the actual state.
    pub async fn run(
        mut self,
        ops: Vec<Op>,
    ) -> Result<(), String> {
        self.wait(Duration::from_secs(12)).await?;
        for op in ops {
            self.apply(op).await?;
        }
        self.end_faults();
        self.wait(SETTLE_TIME).await?;
        if self.fleet.is_settled() {
            return Ok(());
        }
        Err(format!("not settled: {:#?}", self.fleet.differences()))
    }

    /// Lets time pass while the oracle checks the tables.
    async fn wait(
        &mut self,
        span: Duration,
    ) -> Result<(), String> {
        let until = self.now() + Millis::from(span);
        while self.now() < until {
            let left = until.since(self.now());
            self.fleet.wait(left.min(CHECK_INTERVAL)).await;
            self.check_tables()?;
        }
        Ok(())
    }

    async fn apply(
        &mut self,
        op: Op,
    ) -> Result<(), String> {
        match op {
            Op::Wait(ms) => self.wait(Duration::from_millis(ms)).await?,
            Op::KillGuard(i) => self.kill_guard(i),
            Op::LeaveGuard(i) => self.leave_guard(i).await,
            Op::StartGuard(i) => self.start_guard(i),
            Op::ReplaceAtAddress(i) => self.replace_at_address(i),
            Op::Drain(i, on) => self.drain(i, on),
            Op::Load(i, slots) => self.load(i, slots),
            Op::KillEntry(i) => self.kill_entry(i),
            Op::LeaveEntry(i) => self.leave_entry(i).await,
            Op::StartEntry(i, moved) => self.start_entry(i, moved),
            Op::Partition(on) => {
                self.fleet.network.set_partitioned(on);
                self.record_fault(!on);
            }
            Op::PauseGuard(i, ms) => {
                let address = nth(&self.fleet.guards, i).map(|(_, g)| g.address);
                self.pause(address, ms).await?;
            }
            Op::PauseEntry(i, ms) => {
                let address = nth(&self.fleet.entries, i).map(|(_, e)| e.address);
                self.pause(address, ms).await?;
            }
            Op::BreakPath(guard, entry) => self.break_path(guard, entry),
            Op::SetConditions(loss_percent, duplicate_percent, max_delay_ms) => {
                let conditions = NetworkConditions {
                    loss_percent,
                    duplicate_percent,
                    max_delay_ms,
                };
                self.fleet.network.set_conditions(conditions);
                self.record_fault(loss_percent == 0 && max_delay_ms < 50);
            }
        }
        Ok(())
    }

    pub fn now(&self) -> Millis {
        self.fleet.clock.now()
    }

    /// Records a fault; `is_over` is whether it has ended already.
    fn record_fault(
        &mut self,
        is_over: bool,
    ) {
        self.last_fault_at = self.now();
        self.no_active_fault &= is_over;
    }

    /// Ends all faults.
    fn end_faults(&mut self) {
        self.fleet.network.set_partitioned(false);
        self.fleet
            .network
            .set_conditions(NetworkConditions::default());
        self.fleet.network.restore_paths();
        self.no_active_fault = true;
        self.last_fault_at = self.now();
    }

    fn place_of(i: usize) -> Place {
        PLACES[i % PLACES.len()]
    }

    fn guard_name(i: usize) -> String {
        let number = i / PLACES.len() % GUARDS_PER_PLACE;
        format!("{}-w{number}", Self::place_of(i).data_centre)
    }

    fn entry_name(i: usize) -> String {
        let number = i / PLACES.len() % ENTRIES_PER_PLACE;
        format!("e-{}-{number}", Self::place_of(i).data_centre)
    }

    fn kill_guard(
        &mut self,
        i: usize,
    ) {
        let name = nth(&self.fleet.guards, i).map(|(name, _)| name);
        if let Some(name) = name {
            let guard = self.fleet.kill_guard(&name).expect("a guard");
            let incarnation = guard.announcement.borrow().incarnation;
            self.record_end(name, incarnation, DEATH_BOUND);
        }
    }

    async fn leave_guard(
        &mut self,
        i: usize,
    ) {
        let name = nth(&self.fleet.guards, i).map(|(name, _)| name);
        if let Some(name) = name {
            let guard = self.fleet.guards.remove(&name).expect("a guard");
            let incarnation = guard.announcement.borrow().incarnation;
            self.record_end(name, incarnation, LEAVE_BOUND);
            guard.announcer.leave().await;
            self.fleet.network.unbind(guard.address);
        }
    }

    fn record_end(
        &mut self,
        name: String,
        incarnation: u64,
        bound: Duration,
    ) {
        let at = self.now();
        let ended = UpstreamEnd {
            incarnation,
            ended_at: at,
            bound,
        };
        self.ended.insert(name, ended);
    }

    fn start_guard(
        &mut self,
        i: usize,
    ) {
        let name = Self::guard_name(i);
        if !self.fleet.guards.contains_key(&name) {
            let address = self.fleet.fresh_address();
            self.fleet.start_guard(&name, Self::place_of(i), address);
        }
    }

    fn replace_at_address(
        &mut self,
        i: usize,
    ) {
        let other = format!("{}-x", Self::place_of(i).data_centre);
        let victim = nth(&self.fleet.guards, i).map(|(name, _)| name);
        let Some(victim) = victim.filter(|_| !self.fleet.guards.contains_key(&other)) else {
            return;
        };
        let guard = self.fleet.kill_guard(&victim).expect("a guard");
        let incarnation = guard.announcement.borrow().incarnation;
        self.record_end(victim, incarnation, DEATH_BOUND);
        self.fleet
            .start_guard(&other, Self::place_of(i), guard.address);
    }

    fn drain(
        &mut self,
        i: usize,
        on: bool,
    ) {
        let name = nth(&self.fleet.guards, i).map(|(name, _)| name);
        let serving = if on {
            ServingState::Draining
        } else {
            ServingState::Serving
        };
        if let Some(name) = name {
            self.fleet.change_guard(&name, |a| a.serving = serving);
        }
    }

    fn load(
        &mut self,
        i: usize,
        slots: u32,
    ) {
        let name = nth(&self.fleet.guards, i).map(|(name, _)| name);
        if let Some(name) = name {
            self.fleet.change_guard(&name, |a| a.slots_in_use = slots);
        }
    }

    fn kill_entry(
        &mut self,
        i: usize,
    ) {
        let name = nth(&self.fleet.entries, i).map(|(name, _)| name);
        if let Some(name) = name.filter(|_| self.fleet.entries.len() > 1) {
            self.fleet.kill_entry(&name);
            self.record_fault(true);
        }
    }

    async fn leave_entry(
        &mut self,
        i: usize,
    ) {
        let name = nth(&self.fleet.entries, i).map(|(name, _)| name);
        if let Some(name) = name.filter(|_| self.fleet.entries.len() > 1) {
            let entry = self.fleet.entries.remove(&name).expect("an entry");
            entry.membership.leave().await;
            self.fleet.network.unbind(entry.address);
            self.record_fault(true);
        }
    }

    fn start_entry(
        &mut self,
        i: usize,
        moved: bool,
    ) {
        let name = Self::entry_name(i);
        if moved && self.fleet.entries.len() > 1 {
            self.fleet.kill_entry(&name);
        }
        if !self.fleet.entries.contains_key(&name) {
            let address = self.fleet.fresh_address();
            self.fleet.start_entry(&name, Self::place_of(i), address);
            self.record_fault(true);
        }
    }

    async fn pause(
        &mut self,
        address: Option<SocketAddr>,
        ms: u64,
    ) -> Result<(), String> {
        let Some(address) = address else {
            return Ok(());
        };
        let had_no_fault = std::mem::replace(&mut self.no_active_fault, false);
        self.fleet.network.pause(address);
        self.wait(Duration::from_millis(ms)).await?;
        self.fleet.network.resume(address);
        self.no_active_fault = had_no_fault;
        self.record_fault(true);
        Ok(())
    }

    fn break_path(
        &mut self,
        guard: usize,
        entry: usize,
    ) {
        let guard = nth(&self.fleet.guards, guard).map(|(_, g)| g.address);
        let entry = nth(&self.fleet.entries, entry).map(|(_, e)| e.address);
        if let (Some(guard), Some(entry)) = (guard, entry) {
            self.fleet.network.break_path(guard, entry);
            self.record_fault(false);
        }
    }
}

/// Returns the item of a map that a number selects.
fn nth<T>(
    map: &BTreeMap<String, T>,
    i: usize,
) -> Option<(String, &T)> {
    let member = map.iter().nth(i % map.len().max(1));
    member.map(|(name, value)| (name.clone(), value))
}
