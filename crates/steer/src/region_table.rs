//! Maps client addresses to regions.

use {settings::ClientBlock, std::net::Ipv4Addr};

const ADDRESS_BITS: u32 = 32;

/// Lookup table from IPv4 address blocks to regions.
///
/// Nested blocks are flattened into ranges that do not overlap, so that one binary search
/// finds the most specific block. A lookup takes a few dozen nanoseconds.
#[derive(Debug, Clone, Default)]
pub struct RegionTable {
    /// First address of each range, in ascending order.
    starts: Vec<u32>,
    /// Region of each range, or [`NO_REGION`].
    regions: Vec<u16>,
}

/// Marks a range that no block covers.
const NO_REGION: u16 = u16::MAX;

impl RegionTable {
    /// Builds the table from blocks in any order. Where blocks overlap, the longest prefix
    /// wins. A block whose region index exceeds 65534 counts as not covered.
    #[must_use]
    pub fn from_blocks(blocks: &[ClientBlock]) -> Self {
        let mut sorted: Vec<&ClientBlock> = blocks.iter().collect();
        sorted.sort_by_key(|block| (u32::from(block.first_address), block.prefix_bits));
        let mut table = Self::default();
        let mut open: Vec<(u64, u16)> = Vec::new();
        table.push_range(0, NO_REGION);
        for block in sorted {
            let start = u64::from(u32::from(block.first_address));
            let region = u16::try_from(block.region_index).unwrap_or(NO_REGION);
            table.close_ranges(&mut open, start);
            table.push_range(start, region);
            let size = 1_u64 << (ADDRESS_BITS - u32::from(block.prefix_bits));
            open.push((start + size, region));
        }
        table.close_ranges(&mut open, 1 << ADDRESS_BITS);
        table
    }

    /// Returns the index of the region nearest to `client`, or `None` when no block
    /// contains the address.
    #[must_use]
    pub fn find_region(&self, client: Ipv4Addr) -> Option<usize> {
        let address = u32::from(client);
        let after = self.starts.partition_point(|start| *start <= address);
        let region = *self.regions.get(after.checked_sub(1)?)?;
        (region != NO_REGION).then_some(usize::from(region))
    }

    /// Returns the memory used by the table's entries, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.starts.len() * size_of::<u32>() + self.regions.len() * size_of::<u16>()
    }

    /// Closes the open blocks that end at or before `until`; the range of the enclosing
    /// block resumes after each. `open` holds the end and the region of the nested blocks
    /// around the current position, the innermost last.
    fn close_ranges(&mut self, open: &mut Vec<(u64, u16)>, until: u64) {
        while let Some((end, _)) = open.last().copied() {
            if end > until {
                break;
            }
            open.pop();
            let enclosing = open.last().map_or(NO_REGION, |(_, region)| *region);
            self.push_range(end, enclosing);
        }
    }

    /// Starts a range at `start`; a range of the same region before it is extended instead.
    fn push_range(&mut self, start: u64, region: u16) {
        let Ok(start) = u32::try_from(start) else {
            return;
        };
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.regions.pop();
        }
        if self.regions.last() == Some(&region) {
            return;
        }
        self.starts.push(start);
        self.regions.push(region);
    }
}
