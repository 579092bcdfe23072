//! What an entry reports of its VM.

/// What an entry uses of its VM, as shares from 0 to 1.
///
/// ```
/// let load = balance::EntryLoad::new(0.4, 7.0);
/// assert_eq!(load.pressure(), 1.0);
/// assert_eq!(balance::EntryLoad::new(f64::NAN, -1.0).pressure(), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryLoad {
    processor: f64,
    memory: f64,
}

impl EntryLoad {
    /// Creates a load from the shares of processor time and memory that are used; shares out
    /// of range are limited to it.
    pub fn new(processor: f64, memory: f64) -> Self {
        let limit = |share: f64| if share.is_nan() { 0.0 } else { share.clamp(0.0, 1.0) };
        EntryLoad { processor: limit(processor), memory: limit(memory) }
    }

    /// Returns the larger of the shares, which limits what the entry can take.
    pub fn pressure(&self) -> f64 {
        self.processor.max(self.memory)
    }
}

/// Size of a VM; 0 stands for what is not known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmSize {
    /// Processor time in thousandths of a core.
    pub processor_millicores: u32,
    /// Bandwidth of its link.
    pub link_kbit_s: u32,
    /// Memory.
    pub memory_mib: u32,
}
