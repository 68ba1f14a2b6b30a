//! The combinations of placement policy and queue rules that the replays compare.

use {
    super::first_come_rules::{FirstComeRules, NoBackfillRules},
    crate::{
        process::job_queue::{QueueRules, WeighedRules},
        request::{FirstFitPlacement, PackPlacement, PlacementPolicy, WeighedPlacement},
    },
};

/// The weights of completion time and fragmentation, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The weight of completion time.
    pub completion: f64,
    /// The weight of fragmentation.
    pub fragmentation: f64,
}

/// Weights in favour of completion time, as in the document of triagehub.
pub(super) const COMPLETION_WEIGHTS: Weights = Weights {
    completion: 0.8,
    fragmentation: 0.2,
};

/// Weights against fragmentation, as in the document of judging-service.
pub(super) const FRAGMENTATION_WEIGHTS: Weights = Weights {
    completion: 0.2,
    fragmentation: 0.8,
};

/// A placement policy with the queue rules that it is replayed with.
pub struct Strategy {
    /// The name of the strategy in tables and plots.
    pub name: &'static str,
    /// Selects the workers for a job.
    pub policy: Box<dyn PlacementPolicy>,
    /// Decides the order of the waiting jobs.
    pub rules: Box<dyn QueueRules>,
    /// Weights that replace those of the document.
    pub weights: Option<Weights>,
}

impl Strategy {
    /// Returns all strategies: the one of the system with either weights, then the baselines.
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
