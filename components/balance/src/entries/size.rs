//! Sizes of VMs relative to each other.

use super::{VmSize, WEIGHT_RANGE};

/// Returns the size of each VM relative to the median: that of its scarcest resource; 1 if
/// no size is known.
pub(super) fn relative_sizes(sizes: &[VmSize]) -> Vec<f64> {
    let resources: [fn(&VmSize) -> u32; 3] =
        [|size| size.processor_millicores, |size| size.link_kbit_s, |size| size.memory_mib];
    let (min, max) = WEIGHT_RANGE;
    let mut relative: Vec<Option<f64>> = vec![None; sizes.len()];
    for resource in resources {
        let Some(median) = median_known(sizes.iter().map(resource)) else { continue };
        for (size, smallest) in sizes.iter().zip(&mut relative) {
            let known = resource(size);
            if known > 0 {
                let ratio = f64::from(known) / f64::from(median);
                *smallest = Some(smallest.map_or(ratio, |smallest| smallest.min(ratio)));
            }
        }
    }
    relative.into_iter().map(|ratio| ratio.unwrap_or(1.0).clamp(min, max)).collect()
}

fn median_known(values: impl Iterator<Item = u32>) -> Option<u32> {
    let mut known: Vec<u32> = values.filter(|value| *value > 0).collect();
    known.sort_unstable();
    known.get(known.len() / 2).copied()
}
