//! Tests of gangs and guarantees: real guards and entries run in virtual time, with a fake log,
//! network and workers that inject faults.

mod allocator;
mod fake_log;
mod fake_net;
mod fake_worker;
mod fuzz;
mod node;
mod oracle;
mod overruns;
mod step;
mod test_cluster;
