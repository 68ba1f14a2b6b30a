//! The workers that guaranteed shapes and gangs are placed on.

use {
    crate::version::{AcceleratorSet, Adjacency, DataCentre, RackName, Region, UpstreamName},
    std::collections::BTreeMap,
};

/// The location and total capacity of one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetWorker {
    /// The name of the worker.
    pub upstream: UpstreamName,
    /// The region.
    pub region: Region,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The rack, unique within the data centre.
    pub rack: RackName,
    /// All accelerators, in use or free.
    pub accelerators: AcceleratorSet,
    /// The maximum number of plain tasks, which use no accelerator, that run at once.
    pub max_plain_tasks: u32,
}

impl FleetWorker {
    /// Returns how many members with `accelerators` accelerators each fit on the worker when
    /// nothing runs there; with 0, how many plain tasks.
    pub fn max_members(
        &self,
        accelerators: u32,
    ) -> u32 {
        let members = self.accelerators.len().checked_div(accelerators);
        members.unwrap_or(self.max_plain_tasks)
    }
}

/// All workers, sorted by name and grouped at each [`Adjacency`] level.
///
/// Methods refer to a worker by its index in [`workers`](Self::workers).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    workers: Vec<FleetWorker>,
    /// The worker indexes of each group, by adjacency.
    groups: [Vec<Vec<usize>>; 5],
    /// The group index of each worker, by adjacency.
    group_of: [Vec<usize>; 5],
}

impl Fleet {
    /// Creates a fleet. Of several workers with the same name, the first is kept.
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

    /// Returns the workers, sorted by name.
    pub fn workers(&self) -> &[FleetWorker] {
        &self.workers
    }

    /// Returns the groups whose workers satisfy `adjacency`: for example, with
    /// [`Adjacency::Rack`], one group for each rack.
    pub fn groups(
        &self,
        adjacency: Adjacency,
    ) -> &[Vec<usize>] {
        &self.groups[adjacency as usize]
    }

    /// Returns the index in [`groups`](Self::groups) of the group that contains a worker.
    ///
    /// # Panics
    /// Panics if `worker` is not the index of a worker.
    pub fn group_of(
        &self,
        adjacency: Adjacency,
        worker: usize,
    ) -> usize {
        self.group_of[adjacency as usize][worker]
    }

    /// Returns the index of a worker, or `None` if the fleet does not contain it.
    pub fn index_of(
        &self,
        upstream: &UpstreamName,
    ) -> Option<usize> {
        let found = self.workers.binary_search_by(|w| w.upstream.cmp(upstream));
        found.ok()
    }

    /// Returns the number of accelerators of the largest worker.
    pub fn largest_worker_accelerators(&self) -> u32 {
        let sizes = self.workers.iter().map(|w| w.accelerators.len());
        sizes.max().unwrap_or_default()
    }

    /// Returns how many members with `accelerators` accelerators each fit into the group with the
    /// most capacity when nothing runs there.
    pub fn max_members(
        &self,
        adjacency: Adjacency,
        accelerators: u32,
    ) -> u32 {
        let members = self.groups(adjacency).iter().map(|g| {
            let fitting = g.iter().map(|i| self.workers[*i].max_members(accelerators));
            fitting.sum::<u32>()
        });
        members.max().unwrap_or_default()
    }
}

/// Groups worker indexes by worker, rack, data centre or region, or into one group for
/// [`Adjacency::Any`].
fn group_workers(
    workers: &[FleetWorker],
    adjacency: Adjacency,
) -> Vec<Vec<usize>> {
    let mut groups: BTreeMap<[&str; 3], Vec<usize>> = BTreeMap::new();
    for (i, worker) in workers.iter().enumerate() {
        let region = worker.region.as_str();
        let data_centre = worker.data_centre.as_str();
        let group_key = match adjacency {
            Adjacency::Worker => [worker.upstream.as_str(), "", ""],
            Adjacency::Rack => [region, data_centre, worker.rack.as_str()],
            Adjacency::DataCentre => [region, data_centre, ""],
            Adjacency::Region => [region, "", ""],
            Adjacency::Any => ["", "", ""],
        };
        groups.entry(group_key).or_default().push(i);
    }
    groups.into_values().collect()
}

/// Returns the group index of each worker.
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
