//! A bounded branch-and-bound search for a layout that places more accelerators than the greedy
//! algorithm.

use super::{Guarantee, PlacedShape, free_accelerators::FreeAccelerators};

/// The number of nodes after which one pass of the search tries no further placement.
const MAX_SEARCH_NODES: u32 = 4_000;

/// The placements of one shape that a search tries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CandidateSource {
    /// The tightest packing in each group of workers.
    TightestPerGroup,
    /// The placements on every choice of workers, up to a maximum number.
    Enumerated,
}

/// The state of a search.
struct Search<'a> {
    guarantees: &'a [Guarantee],
    candidate_source: CandidateSource,
    visited_nodes: u32,
    /// The decision for each guarantee up to the current node; `None` leaves it unplaced.
    path: Vec<Option<PlacedShape>>,
    /// The best complete solution so far.
    best: Vec<Option<PlacedShape>>,
    best_accelerators: u32,
}

/// Searches for the placement of guarantees on free accelerators that places the most accelerators,
/// and returns the placed shape of each guarantee, or `None` where it stays unplaced.
///
/// A first pass tries the tightest packing in each group of workers. If it leaves a guarantee
/// unplaced, a second pass tries every choice of workers. Each pass is bounded by
/// [`MAX_SEARCH_NODES`] and the best result so far is returned, so on a large fleet a better layout
/// may exist.
pub(super) fn search_layout(
    free: &FreeAccelerators<'_>,
    guarantees: &[Guarantee],
) -> Vec<Option<PlacedShape>> {
    let mut search = Search {
        guarantees,
        candidate_source: CandidateSource::TightestPerGroup,
        visited_nodes: 0,
        path: Vec::new(),
        best: vec![None; guarantees.len()],
        best_accelerators: 0,
    };
    search.descend(free, 0);
    if search.best.iter().any(Option::is_none) {
        search.candidate_source = CandidateSource::Enumerated;
        search.visited_nodes = 0;
        search.descend(free, 0);
    }
    search.best
}

impl Search<'_> {
    /// Visits the node at the end of `path`, where `placed_accelerators` accelerators are placed,
    /// and the nodes below it that can still improve on the best solution.
    fn descend(
        &mut self,
        free: &FreeAccelerators<'_>,
        placed_accelerators: u32,
    ) {
        self.visited_nodes += 1;
        let depth = self.path.len();
        let remaining_accelerators: u32 = self.guarantees[depth..]
            .iter()
            .map(|g| g.shape.total_accelerators())
            .sum();
        if placed_accelerators > self.best_accelerators {
            self.best_accelerators = placed_accelerators;
            self.best = self.path.clone();
            self.best.resize(self.guarantees.len(), None);
        }
        if depth == self.guarantees.len()
            || placed_accelerators + remaining_accelerators <= self.best_accelerators
        {
            return;
        }
        let guarantee = &self.guarantees[depth];
        let candidates = match self.candidate_source {
            CandidateSource::TightestPerGroup => free.candidates(&guarantee.shape, &[]),
            CandidateSource::Enumerated => free.enumerate_placements(&guarantee.shape),
        };
        for members in candidates {
            if self.visited_nodes >= MAX_SEARCH_NODES {
                return;
            }
            let mut free_after = free.clone();
            self.path
                .push(Some(free_after.allocate_members(guarantee, &[], members)));
            self.descend(
                &free_after,
                placed_accelerators + guarantee.shape.total_accelerators(),
            );
            self.path.pop();
        }
        self.path.push(None);
        self.descend(free, placed_accelerators);
        self.path.pop();
    }
}
