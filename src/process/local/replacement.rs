//! Stops, kills and replaces single entries and guards of a local system.

use {
    super::{LocalError, LocalSystem},
    crate::process::{entry::RunningEntry, guard::RunningGuard},
};

impl LocalSystem {
    /// Stops an entry gracefully; the entries after it move up.
    pub async fn stop_entry(
        &mut self,
        index: usize,
    ) {
        let entry = self.take_entry(index);
        entry.stop().await;
    }

    /// Ends an entry at once; the entries after it move up.
    pub fn kill_entry(
        &mut self,
        index: usize,
    ) {
        self.take_entry(index).kill();
    }

    /// Stops an entry gracefully and starts it anew with the same settings, as the last entry.
    ///
    /// # Errors
    /// [`LocalError`] when a socket cannot be bound.
    pub async fn replace_entry(
        &mut self,
        index: usize,
    ) -> Result<(), LocalError> {
        let old = self.take_entry(index);
        let mut settings = old.entry().settings.clone();
        old.stop().await;
        settings.seeds = self.seeds();
        self.start_entry(settings).await
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

    fn take_entry(
        &mut self,
        index: usize,
    ) -> RunningEntry {
        let entry = self.entries.remove(index);
        let address = entry.http_address();
        self.peers.addresses.borrow_mut().retain(|a| *a != address);
        entry
    }
}
