//! Choice of the index version of a plan.

use base::unit::Version;

use crate::replica::Window;

/// The newest version that every group with a known window holds.
///
/// If the windows do not meet, the version that the most groups hold, the newest of those, so
/// that the answer covers as much as it can. `None` if no window is known.
pub fn choose(groups: &[Option<Window>]) -> Option<Version> {
    let windows: Vec<Window> = groups.iter().flatten().copied().collect();
    let newest_common = windows.iter().map(|w| w.newest).min()?;
    let holders = |v: Version| windows.iter().filter(|w| w.holds(v)).count();
    if holders(newest_common) == windows.len() {
        return Some(newest_common);
    }
    windows.iter().map(|w| w.newest).max_by_key(|v| (holders(*v), *v))
}
