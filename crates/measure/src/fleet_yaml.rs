//! Generates fleet settings of any size for scaling measurements.

use std::fmt::Write;

const REGION_COUNT: usize = 3;
const SERVICE_COUNT: usize = 3;

/// Returns fleet settings as YAML, with the given numbers of sites and client blocks.
///
/// Each site has one pool of a single target for each of three services. There is at least one
/// client block.
#[must_use]
pub fn build_fleet_yaml(site_count: usize, client_block_count: usize) -> String {
    let mut yaml = "firm: design\nfirst_preset: ordinary\nregions:\n".to_owned();
    for region in 0..REGION_COUNT {
        let _ = writeln!(
            yaml,
            "  - {{name: region-{region}, requests_per_s: 900000}}"
        );
    }
    yaml.push_str("sites:\n");
    for site in 0..site_count {
        let region = site % REGION_COUNT;
        let _ = writeln!(
            yaml,
            "  - {{name: site-{site}, region: region-{region}, zones: [zone-{site}]}}"
        );
    }
    yaml.push_str("clients:\n");
    for block in 0..client_block_count.max(1) {
        let (first_byte, second_byte, third_byte) =
            (11 + block / 65536, block / 256 % 256, block % 256);
        let _ = writeln!(
            yaml,
            "  - {{block: {first_byte}.{second_byte}.{third_byte}.0/24, region: region-{}}}",
            block % REGION_COUNT
        );
    }
    yaml.push_str("services:\n");
    for service in 0..SERVICE_COUNT {
        let _ = writeln!(yaml, "  - name: service-{service}\n    operations:");
        yaml.push_str(
            "      - {name: read, method: GET, path: /read, idempotent: true, timeout_ms: 2000}\n",
        );
        yaml.push_str("    targets:\n");
        for site in 0..site_count {
            let address = format!("10.{}.{service}.{}:9000", 1 + site / 200, 1 + site % 200);
            let _ = writeln!(
                yaml,
                "      - {{name: t-{service}-{site}, zone: zone-{site}, address: \"{address}\", slots: 4, connections: 350}}"
            );
        }
    }
    yaml.push_str("presets:\n  - name: ordinary\n");
    yaml
}
