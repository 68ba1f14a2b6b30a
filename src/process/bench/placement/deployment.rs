//! The example services whose job arrivals are replayed.

use crate::{
    prelude::*,
    process::{bench::BenchError, settings::LocalSettings},
    version::{Fleet, FleetWorker},
};

/// Job kinds with small gangs, which fit between the larger gangs of the example documents.
const SMALL_KINDS: &str = "
[job-kind quick-probe]
class = normal
gang = 1x1 any
run_time = 20m
checkpoint = no
stoppable = yes

[job-kind half-worker]
class = normal
gang = 1x4 worker
run_time = 1h
checkpoint = yes
stoppable = yes

[job-kind night-batch]
class = deferrable
gang = 2x2 data-centre
run_time = 3h
checkpoint = yes
stoppable = yes
";

/// A service and the fleet that it runs on.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The service's document, extended by a few job kinds with small gangs.
    pub document: Document,
    /// The workers of the service.
    pub fleet: Rc<Fleet>,
}

impl Deployment {
    /// Returns the two example services of the repository.
    ///
    /// # Errors
    /// [`BenchError::Failed`] when an example is not valid.
    pub fn examples() -> Result<Vec<Self>, BenchError> {
        Ok(vec![
            Self::parse(
                include_str!("../../../../examples/triagehub/service.ini"),
                include_str!("../../../../examples/triagehub/local.ini"),
            )?,
            Self::parse(
                include_str!("../../../../examples/judging-service/service.ini"),
                include_str!("../../../../examples/judging-service/local.ini"),
            )?,
        ])
    }

    /// Parses a document and the settings of a local system.
    ///
    /// # Errors
    /// [`BenchError::Failed`] when the document or the settings are not valid.
    pub fn parse(
        document: &str,
        settings: &str,
    ) -> Result<Self, BenchError> {
        let document = Document::parse("service.ini", &format!("{document}{SMALL_KINDS}"));
        let document = document.map_err(|e| BenchError::Failed(e.to_string()))?;
        let settings = LocalSettings::parse("local.ini", settings);
        let settings = settings.map_err(|e| BenchError::Failed(e.to_string()))?;
        Ok(Self {
            document,
            fleet: Rc::new(build_fleet(&settings)),
        })
    }
}

/// Returns the workers that a local system with these settings starts.
fn build_fleet(settings: &LocalSettings) -> Fleet {
    let mut workers = Vec::new();
    for data_centre in &settings.data_centres {
        for i in 0..data_centre.workers {
            let rack = i / settings.workers.per_rack + 1;
            workers.push(FleetWorker {
                upstream: format!("{}-w{}", data_centre.name, i + 1).as_str().into(),
                region: data_centre.region.clone(),
                data_centre: data_centre.name.clone(),
                rack: format!("rack-{rack}").as_str().into(),
                accelerators: AcceleratorSet::first(settings.workers.accelerators),
                max_plain_tasks: 0,
            });
        }
    }
    Fleet::new(workers)
}
