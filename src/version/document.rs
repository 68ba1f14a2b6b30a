//! The service document.

use {
    super::{Account, Faults, IniFile, JobKind, KeyHash, KindName, Operator, RequestKind},
    crate::version::{AccountName, OperatorName},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// The number of an accepted document version. Numbers start at 1; 0 stands for the empty document
/// that is in force before the first version.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct VersionNumber(pub u64);

impl VersionNumber {
    /// Returns the number of the next version.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A valid service document: the accounts, request kinds, job kinds and operators of one service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Document {
    /// The service's name.
    pub service: Arc<str>,
    /// The weight of completion time in placement, from 0 to 1.
    pub completion_weight: f64,
    /// The weight of fragmentation in placement, from 0 to 1.
    pub fragmentation_weight: f64,
    /// The waiting time, in milliseconds per KiB sent, that routing to another region has to save.
    pub link_price_ms_per_kib: f64,
    /// The client accounts, by name.
    pub accounts: BTreeMap<AccountName, Account>,
    /// The request kinds, by name.
    pub request_kinds: BTreeMap<KindName, RequestKind>,
    /// The job kinds, by name.
    pub job_kinds: BTreeMap<KindName, JobKind>,
    /// The operators, by name.
    pub operators: BTreeMap<OperatorName, Operator>,
    /// The source text of the document.
    #[serde(skip)]
    pub text: Arc<str>,
}

impl Document {
    /// The section kinds that a document may have.
    pub const SECTIONS: [&str; 5] = ["service", "account", "request-kind", "job-kind", "operator"];

    /// Parses and checks a document; `name` is the file name that fault messages show.
    ///
    /// # Errors
    /// Returns every fault of the text if there is at least one.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Result<Self, Faults> {
        let file = IniFile::parse(name, text);
        let mut document = Self::read_service(&file);
        document.text = Arc::from(text);
        let accounts = file.sections("account");
        document.accounts = accounts
            .filter_map(|s| Account::read(&file, s))
            .map(|a| (a.name.clone(), a))
            .collect();
        let request_kinds = file.sections("request-kind");
        document.request_kinds = request_kinds
            .filter_map(|s| RequestKind::read(&file, s))
            .map(|k| (k.name.clone(), k))
            .collect();
        let job_kinds = file.sections("job-kind");
        document.job_kinds = job_kinds
            .filter_map(|s| JobKind::read(&file, s))
            .map(|k| (k.name.clone(), k))
            .collect();
        let operators = file.sections("operator");
        document.operators = operators
            .filter_map(|s| Operator::read(&file, s))
            .map(|o| (o.name.clone(), o))
            .collect();
        document.check_names_and_keys(&file);
        file.finish(&Self::SECTIONS)?;
        Ok(document)
    }

    /// Returns the account with a bearer key.
    ///
    /// The key is compared with that of every account, each time in constant time, so that the
    /// duration does not depend on the match.
    pub fn account_by_key(
        &self,
        key: &str,
    ) -> Option<&Account> {
        let hash = KeyHash::of(key);
        let matching = self.accounts.values().filter(|a| a.key.matches(&hash));
        matching.fold(None, |_, found| Some(found))
    }

    /// Returns the operator with a bearer key.
    ///
    /// The key is compared with that of every operator, each time in constant time, so that the
    /// duration does not depend on the match.
    pub fn operator_by_key(
        &self,
        key: &str,
    ) -> Option<&Operator> {
        let hash = KeyHash::of(key);
        let matching = self.operators.values().filter(|o| o.key.matches(&hash));
        matching.fold(None, |_, found| Some(found))
    }

    fn read_service(file: &IniFile) -> Self {
        let mut document = Self::default();
        let Some(section) = file.section("service") else {
            return document;
        };
        let name = file.required_from_str::<String>(section, "name", "the service's name");
        document.service = Arc::from(name.unwrap_or_default());
        let fraction = |v: &str| v.parse().ok().filter(|w| (0.0..=1.0).contains(w));
        let expected = "a number from 0 to 1";
        let completion = file.required(section, "completion_weight", expected, fraction);
        let fragmentation = file.required(section, "fragmentation_weight", expected, fraction);
        let price = file.required(
            section,
            "link_price_ms_per_kib",
            "milliseconds of wait, 0 or more",
            |v| v.parse().ok().filter(|p: &f64| p.is_finite() && *p >= 0.0),
        );
        document.completion_weight = completion.unwrap_or_default();
        document.fragmentation_weight = fragmentation.unwrap_or_default();
        document.link_price_ms_per_kib = price.unwrap_or_default();
        if completion == Some(0.0) && fragmentation == Some(0.0) {
            let message = "both weights are 0; expected at least one above 0";
            file.report_fault(section, "completion_weight", message);
        }
        document
    }

    fn check_names_and_keys(
        &self,
        file: &IniFile,
    ) {
        for kind in &Self::SECTIONS[1..] {
            for section in file.sections(kind).filter(|s| s.name.is_empty()) {
                file.report_fault(
                    section,
                    "-",
                    format!("expected a name, as in [{kind} NAME]"),
                );
            }
        }
        let hashes: Vec<&KeyHash> = self.accounts.values().map(|a| &a.key).collect();
        for section in file.sections("account") {
            let Some(account) = self.accounts.get(&section.name.as_str().into()) else {
                continue;
            };
            if hashes.iter().filter(|h| h.matches(&account.key)).count() > 1 {
                file.report_fault(section, "key", "another account has the same key");
            }
        }
        let hashes: Vec<&KeyHash> = self.operators.values().map(|o| &o.key).collect();
        for section in file.sections("operator") {
            let Some(operator) = self.operators.get(&section.name.as_str().into()) else {
                continue;
            };
            if hashes.iter().filter(|h| h.matches(&operator.key)).count() > 1 {
                file.report_fault(section, "key", "another operator has the same key");
            }
        }
    }
}
