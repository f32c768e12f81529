//! Checks that the operations page lists exactly the log events and metrics of the sources.

use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
};

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the concatenated Rust sources below a folder.
fn read_sources(folder: &Path) -> io::Result<String> {
    let mut sources = String::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            sources.push_str(&read_sources(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push_str(&fs::read_to_string(path)?);
        }
    }
    Ok(sources)
}

/// Returns the sources of the gateway and of its platform adapter.
fn read_gateway_sources() -> io::Result<String> {
    let mut sources = read_sources(&workspace_root().join("crates/gateway/src"))?;
    sources.push_str(&read_sources(&workspace_root().join("platform/src"))?);
    Ok(sources)
}

/// Returns the texts that follow each occurrence of a prefix, up to the next quotation mark.
fn names_after(sources: &str, prefix: &str) -> BTreeSet<String> {
    let matches = sources.split(prefix).skip(1);
    let names = matches.filter_map(|rest| rest.split('"').next());
    names.map(str::to_owned).collect()
}

/// Returns the names in the first column of the table below a heading, without their labels
/// in braces.
fn names_in_table(page: &str, heading: &str) -> BTreeSet<String> {
    let section = page.split(heading).nth(1).unwrap_or_default();
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|line| line.split('|').nth(1));
    let quoted = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let names = quoted.filter_map(|name| name.split('{').next());
    names.map(str::to_owned).collect()
}

#[test]
fn operations_page_lists_exactly_the_log_events_of_the_sources() -> Result {
    let page = fs::read_to_string(workspace_root().join("docs/OPERATIONS.md"))?;

    let events = names_after(&read_gateway_sources()?, "event = \"");

    assert_eq!(names_in_table(&page, "## The log"), events);
    Ok(())
}

#[test]
fn operations_page_lists_exactly_the_metrics_of_the_sources() -> Result {
    let page = fs::read_to_string(workspace_root().join("docs/OPERATIONS.md"))?;
    let sources = read_gateway_sources()?;

    let mut metrics = names_after(&sources, "counter!(\"");
    metrics.extend(names_after(&sources, "gauge!(\""));
    metrics.extend(names_after(&sources, "histogram!(\""));

    assert_eq!(
        names_in_table(&page, "## State on request, metrics"),
        metrics
    );
    Ok(())
}
