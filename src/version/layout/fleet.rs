//! The workers that shapes and gangs are laid on.

use {
    crate::version::{AcceleratorSet, Adjacency, DataCentre, RackName, Region, UpstreamName},
    std::collections::BTreeMap,
};

/// One worker, where it stands and what it has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetWorker {
    /// The worker.
    pub upstream: UpstreamName,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: RackName,
    /// All its accelerators.
    pub accelerators: AcceleratorSet,
    /// The most tasks without accelerators that it runs at once.
    pub plain_tasks: u32,
}

impl FleetWorker {
    /// Returns how many groups of `accelerators` it holds when it is empty; 0 accelerators stand
    /// for tasks without any.
    pub fn most_members(
        &self,
        accelerators: u32,
    ) -> u32 {
        let members = self.accelerators.len().checked_div(accelerators);
        members.unwrap_or(self.plain_tasks)
    }
}

/// Workers by name, grouped by worker, rack, data centre and region. Workers are named by their
/// index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    workers: Vec<FleetWorker>,
    groups: [Vec<Vec<usize>>; 5],
    group_of: [Vec<usize>; 5],
}

impl Fleet {
    /// Sorts workers by name and groups them. Of two workers of one name the first is kept.
    pub fn new(mut workers: Vec<FleetWorker>) -> Self {
        workers.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        workers.dedup_by(|b, a| a.upstream == b.upstream);
        let groups = Adjacency::ALL.map(|adjacency| group_workers(&workers, adjacency));
        let group_of = groups.each_ref().map(|g| index_groups(g, workers.len()));
        Self {
            workers,
            groups,
            group_of,
        }
    }

    /// Returns the workers, by name.
    pub fn workers(&self) -> &[FleetWorker] {
        &self.workers
    }

    /// Returns the groups of workers that are as near to each other as `adjacency` says.
    pub fn groups(
        &self,
        adjacency: Adjacency,
    ) -> &[Vec<usize>] {
        &self.groups[adjacency as usize]
    }

    /// Returns the index, within [`groups`](Self::groups), of the group that a worker is in.
    pub fn group_of(
        &self,
        adjacency: Adjacency,
        worker: usize,
    ) -> usize {
        self.group_of[adjacency as usize][worker]
    }

    /// Returns the index of a worker.
    pub fn index_of(
        &self,
        upstream: &UpstreamName,
    ) -> Option<usize> {
        let found = self.workers.binary_search_by(|w| w.upstream.cmp(upstream));
        found.ok()
    }

    /// Returns the number of accelerators of the largest worker.
    pub fn largest_worker(&self) -> u32 {
        let sizes = self.workers.iter().map(|w| w.accelerators.len());
        sizes.max().unwrap_or_default()
    }

    /// Returns how many groups of `accelerators`, each on one worker, an empty group of workers
    /// holds at most.
    pub fn most_members(
        &self,
        adjacency: Adjacency,
        accelerators: u32,
    ) -> u32 {
        let members = self.groups(adjacency).iter().map(|g| {
            let fitting = g
                .iter()
                .map(|i| self.workers[*i].most_members(accelerators));
            fitting.sum::<u32>()
        });
        members.max().unwrap_or_default()
    }
}

/// Groups workers by the unit that an adjacency names.
fn group_workers(
    workers: &[FleetWorker],
    adjacency: Adjacency,
) -> Vec<Vec<usize>> {
    let mut groups: BTreeMap<[&str; 3], Vec<usize>> = BTreeMap::new();
    for (i, worker) in workers.iter().enumerate() {
        let region = worker.region.as_str();
        let data_centre = worker.data_centre.as_str();
        let unit = match adjacency {
            Adjacency::Worker => [worker.upstream.as_str(), "", ""],
            Adjacency::Rack => [region, data_centre, worker.rack.as_str()],
            Adjacency::DataCentre => [region, data_centre, ""],
            Adjacency::Region => [region, "", ""],
            Adjacency::Any => ["", "", ""],
        };
        groups.entry(unit).or_default().push(i);
    }
    groups.into_values().collect()
}

/// Returns for each worker the index of its group.
fn index_groups(
    groups: &[Vec<usize>],
    workers: usize,
) -> Vec<usize> {
    let mut index = vec![0; workers];
    for (group, members) in groups.iter().enumerate() {
        for worker in members {
            index[*worker] = group;
        }
    }
    index
}
