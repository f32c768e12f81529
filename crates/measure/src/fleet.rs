//! Fleet settings of any size, for slopes.

use std::fmt::Write;

const REGIONS: usize = 3;
const SERVICES: usize = 3;

/// Settings with so many sites, a pool of one target for each of three services at
/// each, and so many client blocks.
#[must_use]
pub fn fleet(sites: usize, blocks: usize) -> String {
    let mut out = "firm: design\nfirst_preset: ordinary\nregions:\n".to_owned();
    for region in 0..REGIONS {
        let _ = writeln!(out, "  - {{name: region-{region}, requests_per_s: 900000}}");
    }
    out.push_str("sites:\n");
    for site in 0..sites {
        let region = site % REGIONS;
        let _ = writeln!(
            out,
            "  - {{name: site-{site}, region: region-{region}, zones: [zone-{site}]}}"
        );
    }
    out.push_str("clients:\n");
    for block in 0..blocks.max(1) {
        let (a, b, c) = (11 + block / 65536, block / 256 % 256, block % 256);
        let _ = writeln!(
            out,
            "  - {{block: {a}.{b}.{c}.0/24, region: region-{}}}",
            block % REGIONS
        );
    }
    out.push_str("services:\n");
    for service in 0..SERVICES {
        let _ = writeln!(out, "  - name: service-{service}\n    operations:");
        out.push_str(
            "      - {name: read, method: GET, path: /read, idempotent: true, timeout_ms: 2000}\n",
        );
        out.push_str("    targets:\n");
        for site in 0..sites {
            let address = format!("10.{}.{service}.{}:9000", 1 + site / 200, 1 + site % 200);
            let _ = writeln!(
                out,
                "      - {{name: t-{service}-{site}, zone: zone-{site}, address: \"{address}\", slots: 4, connections: 350}}"
            );
        }
    }
    out.push_str("presets:\n  - name: ordinary\n");
    out
}
