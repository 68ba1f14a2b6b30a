//! Stops, kills and replaces single entries and guards of a local system.

use {
    super::{LocalError, LocalSystem},
    crate::{
        prelude::*,
        process::{entry::RunningEntry, guard::RunningGuard},
    },
};

/// The pause in which the sockets of killed tasks close.
const SOCKET_RELEASE_DELAY: Duration = Duration::from_millis(50);

impl LocalSystem {
    /// Stops an entry gracefully; the entries after it move up.
    pub async fn stop_entry(
        &mut self,
        index: usize,
    ) {
        let entry = self.remove_entry(index);
        entry.stop().await;
    }

    /// Ends an entry at once; the entries after it move up.
    pub fn kill_entry(
        &mut self,
        index: usize,
    ) {
        self.remove_entry(index).kill();
    }

    /// Stops an entry gracefully and starts it anew with the same settings, as the last entry.
    ///
    /// # Errors
    /// [`LocalError`] when a socket cannot be bound.
    pub async fn replace_entry(
        &mut self,
        index: usize,
    ) -> Result<(), LocalError> {
        let old = self.remove_entry(index);
        let mut settings = old.entry().settings.clone();
        old.stop().await;
        settings.seeds = self.seeds();
        self.start_entry(settings).await
    }

    /// Ends all entries at once and starts them anew. They hear announcements where they did, and
    /// take HTTP connections elsewhere.
    ///
    /// # Errors
    /// [`LocalError`] when a socket cannot be bound.
    pub async fn restart_all_entries(&mut self) -> Result<(), LocalError> {
        let mut all_settings = Vec::new();
        for old in self.entries.drain(..) {
            let mut settings = old.entry().settings.clone();
            settings.announcements = old.announcement_address();
            all_settings.push(settings);
            old.kill();
        }
        self.peers.addresses.borrow_mut().clear();
        self.clock.sleep(SOCKET_RELEASE_DELAY).await;
        for settings in all_settings {
            self.start_entry(settings).await?;
        }
        Ok(())
    }

    /// Ends a guard at once; its upstream goes on.
    ///
    /// # Panics
    /// When there is no such guard.
    pub fn kill_guard(
        &mut self,
        index: usize,
    ) {
        self.guard_settings.remove(index);
        self.upstreams.remove(index);
        self.guards.remove(index).kill();
    }

    /// Stops a guard gracefully and starts it anew beside the same upstream, in its place.
    ///
    /// # Errors
    /// [`LocalError`] when a socket cannot be bound.
    ///
    /// # Panics
    /// When there is no such guard.
    pub async fn replace_guard(
        &mut self,
        index: usize,
    ) -> Result<(), LocalError> {
        self.guards.remove(index).stop().await;
        let settings = &mut self.guard_settings[index];
        settings.entries = self
            .entries
            .iter()
            .map(RunningEntry::announcement_address)
            .collect();
        let guard = RunningGuard::start(settings.clone(), self.clock.clone()).await?;
        self.guards.insert(index, guard);
        Ok(())
    }

    fn remove_entry(
        &mut self,
        index: usize,
    ) -> RunningEntry {
        let entry = self.entries.remove(index);
        let address = entry.http_address();
        self.peers.addresses.borrow_mut().retain(|a| *a != address);
        entry
    }
}
