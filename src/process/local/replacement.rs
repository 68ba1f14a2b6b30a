//! Stopping, killing and replacing single entries and guards of a local system.

use {
    super::{LocalError, LocalSystem},
    crate::{
        prelude::*,
        process::{entry::RunningEntry, guard::RunningGuard},
    },
};

/// The time given to the sockets of killed tasks to close before their addresses are bound again.
const SOCKET_RELEASE_DELAY: Duration = Duration::from_millis(50);

impl LocalSystem {
    /// Stops an entry gracefully and removes it; the indexes of later entries drop by one.
    ///
    /// # Panics
    /// Panics if there is no such entry.
    pub async fn stop_entry(
        &mut self,
        index: usize,
    ) {
        let entry = self.remove_entry(index);
        entry.stop().await;
    }

    /// Kills an entry without draining it and removes it; the indexes of later entries drop by one.
    ///
    /// # Panics
    /// Panics if there is no such entry.
    pub fn kill_entry(
        &mut self,
        index: usize,
    ) {
        self.remove_entry(index).kill();
    }

    /// Stops an entry gracefully and starts a new one with the same settings but the current seeds,
    /// as the last entry.
    ///
    /// # Errors
    /// Returns [`LocalError`] if a socket cannot be bound.
    ///
    /// # Panics
    /// Panics if there is no such entry.
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

    /// Kills all entries without draining them and starts them again. They receive announcements at
    /// the same addresses as before and accept HTTP connections at new ones.
    ///
    /// # Errors
    /// Returns [`LocalError`] if a socket cannot be bound.
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

    /// Kills a guard without draining it and removes it; its stand-in upstream keeps running.
    ///
    /// # Panics
    /// Panics if there is no such guard.
    pub fn kill_guard(
        &mut self,
        index: usize,
    ) {
        self.guard_settings.remove(index);
        self.upstreams.remove(index);
        self.guards.remove(index).kill();
    }

    /// Stops a guard gracefully and starts a new one for the same upstream at the same index.
    ///
    /// # Errors
    /// Returns [`LocalError`] if a socket cannot be bound.
    ///
    /// # Panics
    /// Panics if there is no such guard.
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
