//! Serves a stand-in log with clients, without the rest of a system.

use {
    crate::{
        connection::{HttpClient, HttpServer},
        prelude::*,
        process::{
            platform::HttpLog, shutdown::Shutdown, stand_in::StandInLog, state::State,
            task_group::TaskGroup,
        },
    },
    std::{io, net::Ipv4Addr},
};

/// A stand-in log served over HTTP, with the tasks that follow it.
pub(super) struct ServedLog {
    pub(super) log: Rc<StandInLog>,
    pub(super) clock: Rc<dyn Clock>,
    address: SocketAddr,
    shutdown: Rc<Shutdown>,
    tasks: TaskGroup,
}

impl ServedLog {
    /// Starts to serve an empty log.
    ///
    /// # Errors
    /// The error of the socket when it cannot be bound.
    pub(super) async fn start(clock: Rc<dyn Clock>) -> io::Result<Self> {
        let log = Rc::new(StandInLog::new(clock.clone()));
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::bind(any_port, log.clone()).await?;
        let address = server.local_addr()?;
        let shutdown: Rc<Shutdown> = Rc::default();
        let stopped = shutdown.clone();
        let tasks = TaskGroup::default();
        tasks.spawn(server.run(async move { stopped.wait().await }));
        Ok(Self {
            log,
            clock,
            address,
            shutdown,
            tasks,
        })
    }

    /// Starts an entry's state, which follows the log until the served log is dropped.
    pub(super) fn follow(
        &self,
        name: &str,
    ) -> Rc<State> {
        let client = HttpClient::new(self.clock.clone());
        let log = Rc::new(HttpLog::new(client, self.address));
        let state = State::new(log, self.clock.clone(), name.into(), rand::random());
        let state = Rc::new(state);
        let following = state.clone();
        self.tasks
            .spawn(async move { following.sync_with_log().await });
        state
    }
}

impl Drop for ServedLog {
    fn drop(&mut self) {
        self.shutdown.trigger();
        self.tasks.cancel();
    }
}
