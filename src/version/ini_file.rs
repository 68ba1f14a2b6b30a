//! A parser of INI files that reports every fault with its line, including unknown sections and
//! keys.

use {
    super::{Fault, Faults},
    std::{cell::RefCell, collections::BTreeSet, fmt::Display, str::FromStr},
};

/// A parsed INI file. Reading its keys collects faults, so that all of them are reported at once.
pub struct IniFile {
    name: String,
    sections: Vec<IniSection>,
    is_well_formed: bool,
    faults: RefCell<Vec<Fault>>,
}

/// One section of an INI file, such as `[account kopano]`.
pub struct IniSection {
    /// The first word of the header, which is the kind of section.
    pub kind: String,
    /// The rest of the header, which names what the section declares; may be empty.
    pub name: String,
    /// The line number of the header, starting at 1.
    pub line: usize,
    entries: Vec<IniEntry>,
    /// The keys that a reader has asked for, whether they are present or not.
    known_keys: RefCell<BTreeSet<String>>,
}

/// One `key = value` line.
struct IniEntry {
    key: String,
    value: String,
    line: usize,
}

impl IniFile {
    /// Parses `text`; `name` is the file name that fault messages show. A syntax error is recorded
    /// as a fault.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Self {
        let mut file = Self {
            name: name.to_owned(),
            sections: Vec::new(),
            is_well_formed: true,
            faults: RefCell::default(),
        };
        match ini::Ini::load_from_str_noescape(text) {
            Ok(ini) => file.read_sections(&ini, text),
            Err(e) => file.push_syntax_fault(text, e.line),
        }
        file.check_duplicate_sections();
        file
    }

    /// Returns the sections of a kind, in file order.
    pub fn sections<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = &'a IniSection> {
        self.sections.iter().filter(move |s| s.kind == kind)
    }

    /// Returns the first section of a kind. If there is none, records a fault, unless the file has
    /// a syntax error.
    pub fn section(
        &self,
        kind: &str,
    ) -> Option<&IniSection> {
        let found = self.sections.iter().find(|s| s.kind == kind);
        if found.is_none() && self.is_well_formed {
            self.push_fault(1, kind, "-", "this section is missing".into());
        }
        found
    }

    /// Records a fault at the line of a key, or at the section's header if the key is missing.
    pub fn report_fault(
        &self,
        section: &IniSection,
        key: &str,
        message: impl Display,
    ) {
        let line = section.entry(key).map_or(section.line, |e| e.line);
        self.push_fault(line, &section.title(), key, message.to_string());
    }

    /// Reads a key with `parse`. If the key is missing or not valid, records a fault and returns
    /// `None`.
    pub fn required<T, F>(
        &self,
        section: &IniSection,
        key: &str,
        expected: &str,
        parse: F,
    ) -> Option<T>
    where
        F: FnOnce(&str) -> Option<T>,
    {
        section.known_keys.borrow_mut().insert(key.to_owned());
        if section.entry(key).is_none() {
            self.report_fault(
                section,
                key,
                format!("this key is missing; expected {expected}"),
            );
            return None;
        }
        self.optional(section, key, expected, parse)
    }

    /// Reads a key with `parse`. Returns `None` if the key is missing; if it is not valid, records
    /// a fault and returns `None`.
    pub fn optional<T, F>(
        &self,
        section: &IniSection,
        key: &str,
        expected: &str,
        parse: F,
    ) -> Option<T>
    where
        F: FnOnce(&str) -> Option<T>,
    {
        section.known_keys.borrow_mut().insert(key.to_owned());
        let entry = section.entry(key)?;
        let value = parse(&entry.value);
        if value.is_none() {
            self.report_fault(
                section,
                key,
                format!("{:?} is not valid; expected {expected}", entry.value),
            );
        }
        value
    }

    /// Reads a required key through [`FromStr`]. If the key is missing or not valid, records a
    /// fault and returns `None`.
    pub fn required_from_str<T>(
        &self,
        section: &IniSection,
        key: &str,
        expected: &str,
    ) -> Option<T>
    where
        T: FromStr,
    {
        self.required(section, key, expected, |v| v.parse().ok())
    }

    /// Records a fault for every section whose kind is not in `known_kinds` and for every key that
    /// has not been read.
    ///
    /// # Errors
    /// Returns all faults of the file, sorted by line, if there is at least one.
    pub fn finish(
        self,
        known_kinds: &[&str],
    ) -> Result<(), Faults> {
        for section in &self.sections {
            if known_kinds.contains(&section.kind.as_str()) {
                self.check_unknown_keys(section);
            } else {
                let expected = known_kinds.join(", ");
                let message = format!("unknown section; expected one of {expected}");
                self.push_fault(section.line, &section.title(), "-", message);
            }
        }
        let mut faults = self.faults.into_inner();
        faults.sort();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults { faults })
        }
    }

    /// Records a fault at the first line that is neither a header, a key with a value, a comment
    /// nor blank, or else at `parser_line`, where the parser stopped.
    fn push_syntax_fault(
        &mut self,
        text: &str,
        parser_line: usize,
    ) {
        self.is_well_formed = false;
        let line = text.lines().position(|l| !is_ini_line(l.trim()));
        let line = line.map_or(parser_line.max(1), |i| i + 1);
        let message = "this line is not valid; expected [SECTION], KEY = VALUE or a ; comment";
        self.push_fault(line, "-", "-", message.to_owned());
    }

    fn check_unknown_keys(
        &self,
        section: &IniSection,
    ) {
        let used = section.known_keys.borrow();
        for entry in &section.entries {
            if !used.contains(&entry.key) {
                let expected: Vec<&str> = used.iter().map(String::as_str).collect();
                let message = format!("unknown key; expected one of {}", expected.join(", "));
                self.push_fault(entry.line, &section.title(), &entry.key, message);
            }
        }
    }

    fn check_duplicate_sections(&self) {
        let mut seen = BTreeSet::new();
        for section in &self.sections {
            if !seen.insert(section.title()) {
                let message = "duplicate section; names must be unique".to_owned();
                self.push_fault(section.line, &section.title(), "-", message);
            }
        }
    }

    fn read_sections(
        &mut self,
        ini: &ini::Ini,
        text: &str,
    ) {
        let mut lines = LineLocator::new(text);
        for (title, properties) in ini.iter() {
            let Some(title) = title else {
                self.report_keys_outside_sections(properties, &mut lines);
                continue;
            };
            let line = lines.header_line(title);
            let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
            let mut section = IniSection {
                kind: kind.to_owned(),
                name: name.trim().to_owned(),
                line,
                entries: Vec::new(),
                known_keys: RefCell::default(),
            };
            for (key, value) in properties.iter() {
                let line = lines.key_line(key);
                if section.entry(key).is_some() {
                    let message = "duplicate key".to_owned();
                    self.push_fault(line, title, key, message);
                }
                section.entries.push(IniEntry {
                    key: key.to_owned(),
                    value: value.to_owned(),
                    line,
                });
            }
            self.sections.push(section);
        }
    }

    fn report_keys_outside_sections(
        &self,
        properties: &ini::Properties,
        lines: &mut LineLocator<'_>,
    ) {
        for (key, _) in properties.iter() {
            let message = "this key is outside any section".to_owned();
            self.push_fault(lines.key_line(key), "-", key, message);
        }
    }

    fn push_fault(
        &self,
        line: usize,
        section: &str,
        key: &str,
        message: String,
    ) {
        self.faults.borrow_mut().push(Fault {
            file: self.name.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            message,
        });
    }
}

impl IniSection {
    /// Returns the header without its brackets.
    pub fn title(&self) -> String {
        format!("{} {}", self.kind, self.name).trim().to_owned()
    }

    fn entry(
        &self,
        key: &str,
    ) -> Option<&IniEntry> {
        self.entries.iter().find(|e| e.key == key)
    }
}

/// Returns whether a trimmed line is a header, a key with a value, a comment or blank.
fn is_ini_line(line: &str) -> bool {
    let header = line.starts_with('[') && line.contains(']');
    line.is_empty() || line.starts_with([';', '#']) || header || line.contains(['=', ':'])
}

/// Finds the line numbers of headers and keys, searching forward through the text.
struct LineLocator<'a> {
    lines: Vec<&'a str>,
    /// The number of lines searched so far, which is also the number of the last match.
    next_line: usize,
}

impl<'a> LineLocator<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            lines: text.lines().map(str::trim).collect(),
            next_line: 0,
        }
    }

    fn header_line(
        &mut self,
        title: &str,
    ) -> usize {
        self.find(|l| {
            let inner = l.strip_prefix('[').and_then(|l| l.split(']').next());
            inner.is_some_and(|i| i.trim() == title)
        })
    }

    fn key_line(
        &mut self,
        key: &str,
    ) -> usize {
        self.find(|l| l.split(['=', ':']).next().is_some_and(|k| k.trim() == key))
    }

    /// Returns the number of the next matching line, or that of the last match if there is none.
    fn find<F>(
        &mut self,
        matches: F,
    ) -> usize
    where
        F: Fn(&str) -> bool,
    {
        if let Some(i) = self.lines[self.next_line..].iter().position(|l| matches(l)) {
            self.next_line += i + 1;
        }
        self.next_line.max(1)
    }
}
