//! The settings file of a complete system in one process.

use {
    super::common_values::{read_count, read_name, read_plain_tasks},
    crate::{
        prelude::*,
        version::{Faults, IniFile, IniSection},
    },
};

/// The properties that all workers of a local system share.
#[derive(Clone, Debug)]
pub struct LocalWorkers {
    /// The number of request slots of each worker.
    pub slots: u32,
    /// The maximum number of connections to each worker.
    pub connections: u32,
    /// The number of accelerators of each worker.
    pub accelerators: u32,
    /// The maximum number of tasks without accelerators that each worker runs at once.
    pub plain_tasks: u32,
    /// The number of workers in each rack.
    pub per_rack: u32,
}

/// One data centre of a local system.
#[derive(Clone, Debug)]
pub struct LocalDataCentre {
    /// The name of the data centre.
    pub name: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The number of entries.
    pub entries: u32,
    /// The number of workers.
    pub workers: u32,
}

/// The settings of a complete system in one process.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// The properties of the workers.
    pub workers: LocalWorkers,
    /// The data centres.
    pub data_centres: Vec<LocalDataCentre>,
}

impl LocalSettings {
    /// Parses and validates the text of a settings file; `name` is the file name in fault messages.
    ///
    /// # Errors
    /// Returns all faults of the text.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Result<Self, Faults> {
        let file = IniFile::parse(name, text);
        let workers = file
            .section("workers")
            .and_then(|s| LocalWorkers::read(&file, s));
        let sections = file.sections("data-centre");
        let data_centres = sections
            .filter_map(|s| LocalDataCentre::read(&file, s))
            .collect();
        file.section("data-centre");
        file.finish(&["workers", "data-centre"])?;
        Ok(Self {
            workers: workers.ok_or_else(Faults::default)?,
            data_centres,
        })
    }
}

impl LocalWorkers {
    fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let slots = read_count(file, section, "slots", 1..=1024);
        let connections = read_count(file, section, "connections", 1..=4096);
        let accelerators = read_count(file, section, "accelerators", 0..=64);
        let plain_tasks = read_plain_tasks(file, section);
        let per_rack = read_count(file, section, "per_rack", 1..=64);
        Some(Self {
            slots: slots?,
            connections: connections?,
            accelerators: accelerators?,
            plain_tasks,
            per_rack: per_rack?,
        })
    }
}

impl LocalDataCentre {
    fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let region = read_name(file, section, "region");
        let entries = read_count(file, section, "entries", 0..=8);
        let workers = read_count(file, section, "workers", 0..=64);
        Some(Self {
            name: section.name.as_str().into(),
            region: region?,
            entries: entries?,
            workers: workers?,
        })
    }
}
