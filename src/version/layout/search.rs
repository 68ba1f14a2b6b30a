//! A bounded search for a layout that holds more shapes than the greedy one.

use super::{Guarantee, LaidShape, ground::Ground};

/// The most placements that one search tries.
const MAX_STEPS: u32 = 4_000;

/// Which ways to lay one shape a search tries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ways {
    /// The tightest packing of each group of workers.
    TightestOfGroups,
    /// Every choice of workers, as far as the bound goes.
    EveryChoice,
}

/// The search's state.
struct Search<'a> {
    guarantees: &'a [Guarantee],
    ways: Ways,
    steps: u32,
    path: Vec<Option<LaidShape>>,
    best: Vec<Option<LaidShape>>,
    best_laid: u32,
}

/// Lays guarantees, in the given order, on what is free, so that as many accelerators as possible
/// are laid. Returns for each guarantee the laid shape. The search goes first over groups of
/// workers, then over every choice of workers; it ends at its bound and returns the best that it
/// has seen, so a large fleet may have a better layout than it finds.
pub(super) fn search_layout(
    ground: &Ground<'_>,
    guarantees: &[Guarantee],
) -> Vec<Option<LaidShape>> {
    let mut search = Search {
        guarantees,
        ways: Ways::TightestOfGroups,
        steps: 0,
        path: Vec::new(),
        best: vec![None; guarantees.len()],
        best_laid: 0,
    };
    search.descend(ground, 0);
    if search.best.iter().any(Option::is_none) {
        search.ways = Ways::EveryChoice;
        search.steps = 0;
        search.descend(ground, 0);
    }
    search.best
}

impl Search<'_> {
    fn descend(
        &mut self,
        ground: &Ground<'_>,
        laid: u32,
    ) {
        self.steps += 1;
        let depth = self.path.len();
        let rest: u32 = self.guarantees[depth..]
            .iter()
            .map(|g| g.shape.total())
            .sum();
        if laid > self.best_laid {
            self.best_laid = laid;
            self.best = self.path.clone();
            self.best.resize(self.guarantees.len(), None);
        }
        if depth == self.guarantees.len() || laid + rest <= self.best_laid {
            return;
        }
        let guarantee = &self.guarantees[depth];
        let candidates = match self.ways {
            Ways::TightestOfGroups => ground.candidates(&guarantee.shape, &[]),
            Ways::EveryChoice => ground.choices(&guarantee.shape),
        };
        for members in candidates {
            if self.steps >= MAX_STEPS {
                return;
            }
            let mut next = ground.clone();
            self.path.push(Some(next.take(guarantee, &[], members)));
            self.descend(&next, laid + guarantee.shape.total());
            self.path.pop();
        }
        self.path.push(None);
        self.descend(ground, laid);
        self.path.pop();
    }
}
