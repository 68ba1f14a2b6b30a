//! Gangs and guarantees: real guards and job tasks in virtual time, between fakes that fail.

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
