//! Selection of the index version of a plan.

use base::unit::Version;

use crate::replica::Window;

/// Returns the newest version that every group with a known window holds.
///
/// If the windows have no common version, returns the one that the most groups hold, and the
/// newest of those, for the largest coverage. Returns `None` if no window is known.
pub fn choose(groups: &[Option<Window>]) -> Option<Version> {
    let windows: Vec<Window> = groups.iter().flatten().copied().collect();
    let newest_common = windows.iter().map(|w| w.newest).min()?;
    let holder_count = |v: Version| windows.iter().filter(|w| w.holds(v)).count();
    if holder_count(newest_common) == windows.len() {
        return Some(newest_common);
    }
    windows.iter().map(|w| w.newest).max_by_key(|v| (holder_count(*v), *v))
}
