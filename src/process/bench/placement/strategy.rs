//! Ways to decide that are compared.

use {
    super::first_come_rules::{FirstComeRules, NoBackfillRules},
    crate::{
        process::job_queue::{QueueRules, WeighedRules},
        request::{FirstFitPlacement, PackPlacement, PlacementPolicy, WeighedPlacement},
    },
};

/// Weights of completion time and fragmentation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// How much completion time counts.
    pub completion: f64,
    /// How much fragmentation counts.
    pub fragmentation: f64,
}

/// The weights that lean to completion time, as triagehub's document has them.
pub(super) const COMPLETION_WEIGHTS: Weights = Weights {
    completion: 0.8,
    fragmentation: 0.2,
};

/// The weights that lean to fragmentation, as judging-service's document has them.
pub(super) const FRAGMENTATION_WEIGHTS: Weights = Weights {
    completion: 0.2,
    fragmentation: 0.8,
};

/// A way to decide.
pub struct Strategy {
    /// Its name.
    pub name: &'static str,
    /// The choice of workers.
    pub policy: Box<dyn PlacementPolicy>,
    /// The order of jobs.
    pub rules: Box<dyn QueueRules>,
    /// Weights in place of the document's.
    pub weights: Option<Weights>,
}

impl Strategy {
    /// Returns all strategies: the system's own with either weights, and those to compare with.
    pub fn all() -> Vec<Self> {
        let weighed = |name, weights| Self {
            name,
            policy: Box::new(WeighedPlacement),
            rules: Box::new(WeighedRules),
            weights: Some(weights),
        };
        vec![
            weighed("completion 0.8/0.2", COMPLETION_WEIGHTS),
            weighed("fragmentation 0.2/0.8", FRAGMENTATION_WEIGHTS),
            Self {
                name: "first come, first fit",
                policy: Box::new(FirstFitPlacement),
                rules: Box::new(FirstComeRules),
                weights: None,
            },
            Self {
                name: "first come, best fit",
                policy: Box::new(PackPlacement),
                rules: Box::new(FirstComeRules),
                weights: None,
            },
            Self {
                name: "weighed, no backfill",
                policy: Box::new(WeighedPlacement),
                rules: Box::new(NoBackfillRules),
                weights: None,
            },
        ]
    }
}
