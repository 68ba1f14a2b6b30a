//! Settings of the way from one entry to the others.

use {
    super::common_values::read_list,
    crate::{
        prelude::*,
        version::{IniFile, IniSection},
    },
    derive_more::Debug,
};

/// The fewest characters of the key that entries share.
const MIN_KEY_LEN: usize = 16;

/// Where other entries are, and the key that lets them read each other's state.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The HTTP addresses of other entries. They are filled in later where ports are drawn.
    pub addresses: Rc<RefCell<Vec<SocketAddr>>>,
    /// The key that all entries share.
    #[debug(skip)]
    pub key: Arc<str>,
}

impl PeerSettings {
    /// Reads the `[peers]` section when there is one; faults go to `file`.
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
