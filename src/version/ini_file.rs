//! INI files with checked keys and line numbers.

use {
    super::{Fault, Faults},
    std::{cell::RefCell, collections::BTreeSet, fmt::Display, str::FromStr},
};

/// An INI file whose readers collect every fault in one pass.
pub struct IniFile {
    name: String,
    sections: Vec<IniSection>,
    well_formed: bool,
    faults: RefCell<Vec<Fault>>,
}

/// One section of an INI file, such as `[account kopano]`.
pub struct IniSection {
    /// The first word of the header: the kind of section.
    pub kind: String,
    /// The rest of the header: the name of what the section declares; may be empty.
    pub name: String,
    /// The line of the header, counted from 1.
    pub line: usize,
    entries: Vec<IniEntry>,
    used: RefCell<BTreeSet<String>>,
}

/// One `key = value` line.
struct IniEntry {
    key: String,
    value: String,
    line: usize,
}

impl IniFile {
    /// Parses `text`; `name` is the file's name in fault messages. Syntax faults are collected.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Self {
        let mut file = Self {
            name: name.to_owned(),
            sections: Vec::new(),
            well_formed: true,
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

    /// Returns the one section of a kind, and records a fault when there is none in a file that is
    /// well formed.
    pub fn section(
        &self,
        kind: &str,
    ) -> Option<&IniSection> {
        let found = self.sections.iter().find(|s| s.kind == kind);
        if found.is_none() && self.well_formed {
            self.push_fault(1, kind, "-", "this section is missing".into());
        }
        found
    }

    /// Records a fault at a key, or at the section when the key does not stand there.
    pub fn fault(
        &self,
        section: &IniSection,
        key: &str,
        message: impl Display,
    ) {
        let line = section.entry(key).map_or(section.line, |e| e.line);
        self.push_fault(line, &section.title(), key, message.to_string());
    }

    /// Reads a key with `parse`; a fault and `None` when it is missing or not valid.
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
        section.used.borrow_mut().insert(key.to_owned());
        if section.entry(key).is_none() {
            self.fault(
                section,
                key,
                format!("this key is missing; expected {expected}"),
            );
            return None;
        }
        self.optional(section, key, expected, parse)
    }

    /// Reads a key with `parse`; `None` when it is missing, and a fault when it is not valid.
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
        section.used.borrow_mut().insert(key.to_owned());
        let entry = section.entry(key)?;
        let value = parse(&entry.value);
        if value.is_none() {
            self.fault(
                section,
                key,
                format!("{:?} is not valid; expected {expected}", entry.value),
            );
        }
        value
    }

    /// Reads a key through [`FromStr`].
    pub fn parsed<T>(
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

    /// Records a fault for every section and key that nothing has read, and returns all faults.
    ///
    /// # Errors
    /// All faults of the file, sorted by line, when there is at least one.
    pub fn finish(
        self,
        known_kinds: &[&str],
    ) -> Result<(), Faults> {
        for section in &self.sections {
            if known_kinds.contains(&section.kind.as_str()) {
                self.check_unused(section);
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

    /// Records the first line that is neither a header, a key with a value, a comment nor blank;
    /// `parser_line` is where the parser gave up.
    fn push_syntax_fault(
        &mut self,
        text: &str,
        parser_line: usize,
    ) {
        self.well_formed = false;
        let line = text.lines().position(|l| !is_ini_line(l.trim()));
        let line = line.map_or(parser_line.max(1), |i| i + 1);
        let message = "this line is not valid; expected [SECTION], KEY = VALUE or a ; comment";
        self.push_fault(line, "-", "-", message.to_owned());
    }

    fn check_unused(
        &self,
        section: &IniSection,
    ) {
        let used = section.used.borrow();
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
                let message = "this section stands twice; names must be unique".to_owned();
                self.push_fault(section.line, &section.title(), "-", message);
            }
        }
    }

    fn read_sections(
        &mut self,
        ini: &ini::Ini,
        text: &str,
    ) {
        let mut lines = LineIndex::new(text);
        for (title, properties) in ini.iter() {
            let Some(title) = title else {
                self.reject_loose_keys(properties, &mut lines);
                continue;
            };
            let line = lines.header(title);
            let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
            let mut section = IniSection {
                kind: kind.to_owned(),
                name: name.trim().to_owned(),
                line,
                entries: Vec::new(),
                used: RefCell::default(),
            };
            for (key, value) in properties.iter() {
                let line = lines.key(key);
                if section.entry(key).is_some() {
                    let message = "this key stands twice".to_owned();
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

    fn reject_loose_keys(
        &self,
        properties: &ini::Properties,
        lines: &mut LineIndex<'_>,
    ) {
        for (key, _) in properties.iter() {
            let message = "this key stands before the first section".to_owned();
            self.push_fault(lines.key(key), "-", key, message);
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
    /// Returns the header as it stands between the brackets.
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

/// Tells whether a trimmed line is a header, a key with a value, a comment or blank.
fn is_ini_line(line: &str) -> bool {
    let header = line.starts_with('[') && line.contains(']');
    line.is_empty() || line.starts_with([';', '#']) || header || line.contains(['=', ':'])
}

/// Finds the lines of headers and keys, walking forward through the text.
struct LineIndex<'a> {
    lines: Vec<&'a str>,
    next: usize,
}

impl<'a> LineIndex<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            lines: text.lines().map(str::trim).collect(),
            next: 0,
        }
    }

    fn header(
        &mut self,
        title: &str,
    ) -> usize {
        self.find(|l| {
            let inner = l.strip_prefix('[').and_then(|l| l.split(']').next());
            inner.is_some_and(|i| i.trim() == title)
        })
    }

    fn key(
        &mut self,
        key: &str,
    ) -> usize {
        self.find(|l| l.split(['=', ':']).next().is_some_and(|k| k.trim() == key))
    }

    /// Returns the number of the next matching line, or of the current line when none matches.
    fn find<F>(
        &mut self,
        matches: F,
    ) -> usize
    where
        F: Fn(&str) -> bool,
    {
        if let Some(i) = self.lines[self.next..].iter().position(|l| matches(l)) {
            self.next += i + 1;
        }
        self.next.max(1)
    }
}
