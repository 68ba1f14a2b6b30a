//! The data centres to whose workers operators want nothing to be sent.

use {
    crate::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

/// The evacuated data centres, as this process has read them.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// The offset of the record that requests each evacuation.
    requested_at: BTreeMap<DataCentre, u64>,
    names: Rc<BTreeSet<DataCentre>>,
    /// When the last read was sent that the store has answered up to the end of the topic; `None`
    /// before the first complete one.
    read_at: Option<Millis>,
}

impl Evacuations {
    /// Replaces all evacuations by those of a complete read, each with the offset of its record.
    pub fn replace(
        &mut self,
        requested_at: BTreeMap<DataCentre, u64>,
    ) {
        self.requested_at = requested_at;
        self.update_names();
    }

    /// Applies the record of a request.
    pub fn begin(
        &mut self,
        data_centre: DataCentre,
        offset: u64,
    ) {
        let requested_at = self.requested_at.entry(data_centre).or_default();
        *requested_at = (*requested_at).max(offset);
        self.update_names();
    }

    /// Applies the record that withdraws a request. A complete read may contain a later request
    /// than the records that are read after it, and then the evacuation stays.
    pub fn end(
        &mut self,
        data_centre: &DataCentre,
        offset: u64,
    ) {
        let requested_at = self.requested_at.get(data_centre);
        if requested_at.is_some_and(|at| *at < offset) {
            self.requested_at.remove(data_centre);
            self.update_names();
        }
    }

    /// Records that the store has answered a read that was sent at `sent_at`, up to the end of the
    /// topic, so that everything stored before is known.
    pub fn confirm_read(
        &mut self,
        sent_at: Millis,
    ) {
        self.read_at = self.read_at.max(Some(sent_at));
    }

    /// Returns the evacuated data centres, or `None` while they are not known: before the first
    /// complete read, or if the last answered read was sent `max_age` ago or earlier. Without
    /// `max_age`, those that were read last count however old they are.
    pub fn known(
        &self,
        now: Millis,
        max_age: Option<Millis>,
    ) -> Option<Rc<BTreeSet<DataCentre>>> {
        let is_current = max_age.is_none_or(|max| self.read_at.is_some_and(|at| now < at + max));
        is_current.then(|| self.names.clone())
    }

    /// Returns the evacuated data centres that were read last.
    pub fn names(&self) -> &BTreeSet<DataCentre> {
        &self.names
    }

    fn update_names(&mut self) {
        let names: BTreeSet<DataCentre> = self.requested_at.keys().cloned().collect();
        for name in names.difference(&self.names) {
            tracing::info!(data_centre = %name, offset = self.requested_at[name], "evacuation requested");
        }
        for name in self.names.difference(&names) {
            tracing::info!(data_centre = %name, "evacuation withdrawn");
        }
        self.names = Rc::new(names);
    }
}
