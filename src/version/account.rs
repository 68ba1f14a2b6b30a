//! Client accounts.

use {
    super::{AccountName, IniFile, IniSection, KeyHash, Shape, parse_duration},
    serde::Serialize,
    std::time::Duration,
};

/// A client account: its key, its guaranteed shapes and its limits.
#[derive(Clone, Debug, Serialize)]
pub struct Account {
    /// The name.
    pub name: AccountName,
    /// The hash of the bearer key.
    #[serde(skip)]
    pub key: KeyHash,
    /// The accelerator shapes that are available to the account at any time.
    pub guarantees: Vec<Shape>,
    /// The maximum number of accelerators in use at once, guaranteed and borrowed.
    pub quota_accelerators: u32,
    /// The weight of the account, relative to the other accounts' weights, in the division of
    /// unreserved accelerators and in the order of queued requests.
    pub share: u32,
    /// The maximum number of requests at upstreams at once, divided among the live entries.
    pub max_in_flight: u32,
    /// The maximum number of requests queued in one entry.
    pub max_queued: u32,
    /// The maximum number of unfinished jobs.
    pub max_jobs: u32,
    /// The maximum number of requests accepted per second, divided among the live entries.
    pub max_rate_per_s: u32,
    /// The longest time that a request may wait for an upstream.
    pub max_wait: Duration,
}

impl Account {
    /// Reads an `[account NAME]` section and records faults in `file`. Returns `None` if a key is
    /// missing or not valid.
    pub fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let key =
            file.required_from_str(section, "key", "the BLAKE3 hash of the key in hexadecimal");
        let guarantees = file.optional(
            section,
            "guarantee",
            "shapes such as 2x8 rack, 4x1 any",
            parse_shapes,
        );
        let quota = file.required_from_str(section, "quota_accelerators", "a whole number");
        let share = file.optional(section, "share", "a whole number from 1 to 1000", |v| {
            v.parse().ok().filter(|s| (1..=1000).contains(s))
        });
        let in_flight = file.required_from_str(section, "max_in_flight", "a whole number");
        let queued = file.required_from_str(section, "max_queued", "a whole number");
        let jobs = file.required_from_str(section, "max_jobs", "a whole number");
        let rate = file.required_from_str(section, "max_rate_per_s", "a whole number");
        let wait = file.required(
            section,
            "max_wait",
            "a duration such as 10s",
            parse_duration,
        );
        let account = Self {
            name: section.name.as_str().into(),
            key: key?,
            guarantees: guarantees.unwrap_or_default(),
            quota_accelerators: quota?,
            share: share.unwrap_or(1),
            max_in_flight: in_flight?,
            max_queued: queued?,
            max_jobs: jobs?,
            max_rate_per_s: rate?,
            max_wait: wait?,
        };
        account.check_limits(file, section);
        Some(account)
    }

    /// Returns the total number of accelerators of the guaranteed shapes.
    pub fn guaranteed_accelerators(&self) -> u32 {
        self.guarantees.iter().map(Shape::total_accelerators).sum()
    }

    fn check_limits(
        &self,
        file: &IniFile,
        section: &IniSection,
    ) {
        let guaranteed = self.guaranteed_accelerators();
        if guaranteed > self.quota_accelerators {
            let message = format!("the quota is below the {guaranteed} guaranteed accelerators");
            file.report_fault(section, "quota_accelerators", message);
        }
        if self.guarantees.iter().any(Shape::is_plain) {
            let message = "a guaranteed shape has at least one accelerator for each member";
            file.report_fault(section, "guarantee", message);
        }
        if self.max_in_flight == 0 {
            file.report_fault(
                section,
                "max_in_flight",
                "0 would refuse every request; expected 1 or more",
            );
        }
    }
}

/// Parses a comma-separated list of shapes.
fn parse_shapes(text: &str) -> Option<Vec<Shape>> {
    text.split(',').map(|s| s.parse().ok()).collect()
}
