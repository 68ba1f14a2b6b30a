//! A summary of a local system's state, printed after a demonstration.

use {
    super::LocalSystem,
    crate::process::output::print_text,
    crate::{
        prelude::*,
        process::{entry::Entry, link::LinkPurpose},
        request::{FleetView, Fragmentation, ShapeMix},
        version::Fleet,
    },
    std::io,
};

/// Prints how many idle accelerators no declared shape can use, and the bytes sent between regions
/// by purpose.
pub(super) fn print_system_state(system: &LocalSystem) -> io::Result<()> {
    if let Some(first) = system.entries().first() {
        print_fragmentation(first.entry())?;
    }
    for purpose in LinkPurpose::ALL {
        let entries = system.entries().iter();
        let bytes: u64 = entries.map(|e| e.entry().link_traffic.bytes(purpose)).sum();
        print_text(&format!("bytes across regions for {purpose}: {bytes}\n"))?;
    }
    Ok(())
}

fn print_fragmentation(entry: &Entry) -> io::Result<()> {
    let live = entry.members.borrow().live(entry.clock.now());
    let view = FleetView {
        fleet: Rc::new(Fleet::new(live.iter().map(|u| u.fleet_worker()).collect())),
        capacities: live.iter().map(|u| u.free_capacity()).collect(),
    };
    let mix = Rc::new(ShapeMix::of(&entry.document()));
    let fragmentation = Fragmentation::of(&view, mix);
    print_text(&format!(
        "fragmentation: {:.1} of {} idle accelerators cannot be used by the declared shapes\n",
        fragmentation.unusable(),
        fragmentation.idle(),
    ))
}
