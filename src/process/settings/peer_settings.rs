//! The settings section that names the other entries.

use {
    super::common_values::read_list,
    crate::{
        prelude::*,
        version::{IniFile, IniSection},
    },
    derive_more::Debug,
};

/// The minimum length of the shared key, in bytes.
const MIN_KEY_LEN: usize = 16;

/// The addresses of other entries, and the key that lets entries read each other's state.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The HTTP addresses of other entries. The list is shared and mutable because a local system
    /// adds them once its entries are bound to ephemeral ports.
    pub addresses: Rc<RefCell<Vec<SocketAddr>>>,
    /// The key that all entries share; left out of debug output.
    #[debug(skip)]
    pub key: Arc<str>,
}

impl PeerSettings {
    /// Reads the optional `[peers]` section and reports its faults to `file`.
    pub(super) fn read(file: &IniFile) -> Option<Self> {
        let section = file.sections("peers").next()?;
        let addresses = read_list(file, section, "addresses", "IP addresses and ports");
        let key = read_key(file, section);
        Some(Self {
            addresses: Rc::new(RefCell::new(addresses?)),
            key: key?,
        })
    }
}

fn read_key(
    file: &IniFile,
    section: &IniSection,
) -> Option<Arc<str>> {
    let expected = "a secret of at least 16 characters";
    file.required(section, "key", expected, |v| {
        (v.len() >= MIN_KEY_LEN).then(|| Arc::from(v))
    })
}
