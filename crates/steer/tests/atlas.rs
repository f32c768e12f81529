//! Region lookup by client address.

use {proptest::prelude::*, settings::ClientBlock, std::net::Ipv4Addr, steer::RegionTable};

fn block(first: u32, prefix: u8, region: usize) -> ClientBlock {
    let mask = u32::MAX.checked_shl(32 - u32::from(prefix)).unwrap_or(0);
    ClientBlock {
        first_address: Ipv4Addr::from(first & mask),
        prefix_bits: prefix,
        region_index: region,
    }
}

/// Reference implementation: returns the region of the most specific block that contains
/// `address`, from a linear scan.
fn scan_blocks(blocks: &[ClientBlock], address: u32) -> Option<usize> {
    let contains = |block: &&ClientBlock| {
        let mask = u32::MAX
            .checked_shl(32 - u32::from(block.prefix_bits))
            .unwrap_or(0);
        address & mask == u32::from(block.first_address)
    };
    let found = blocks
        .iter()
        .filter(contains)
        .max_by_key(|block| block.prefix_bits);
    found.map(|block| block.region_index)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn overlapping_blocks_resolve_to_the_most_specific_one(
        parts in prop::collection::vec((any::<u32>(), 1_u8..=24), 0..40),
        addresses in prop::collection::vec(any::<u32>(), 0..60),
    ) {
        let mut blocks: Vec<ClientBlock> = Vec::new();
        for (index, (first, prefix)) in parts.iter().enumerate() {
            let new = block(*first, *prefix, index % 5);
            if !blocks.iter().any(|known| (known.first_address, known.prefix_bits) == (new.first_address, new.prefix_bits)) {
                blocks.push(new);
            }
        }
        let table = RegionTable::from_blocks(&blocks);
        let firsts = blocks.iter().map(|block| u32::from(block.first_address));
        for address in addresses.iter().copied().chain(firsts) {
            prop_assert_eq!(table.find_region(Ipv4Addr::from(address)), scan_blocks(&blocks, address));
        }
    }
}
