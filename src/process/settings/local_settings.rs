//! Settings of a whole system in one process.

use {
    super::common_values::{read_count, read_name, read_plain_tasks},
    crate::{
        prelude::*,
        version::{Faults, IniFile, IniSection},
    },
};

/// The workers of a local system, all alike.
#[derive(Clone, Debug)]
pub struct LocalWorkers {
    /// The slots of each.
    pub slots: u32,
    /// The connections of each.
    pub connections: u32,
    /// The accelerators of each.
    pub accelerators: u32,
    /// The most tasks without accelerators that each runs at once.
    pub plain_tasks: u32,
    /// The workers of each rack.
    pub per_rack: u32,
}

/// One data centre of a local system.
#[derive(Clone, Debug)]
pub struct LocalDataCentre {
    /// Its name.
    pub name: DataCentre,
    /// Its region.
    pub region: Region,
    /// The number of its entries.
    pub entries: u32,
    /// The number of its workers.
    pub workers: u32,
}

/// Settings of a whole system in one process.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// The workers.
    pub workers: LocalWorkers,
    /// The data centres.
    pub data_centres: Vec<LocalDataCentre>,
}

impl LocalSettings {
    /// Parses and checks a settings file; `name` is the file's name in fault messages.
    ///
    /// # Errors
    /// Every fault of the text.
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
