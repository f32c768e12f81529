//! Holds the operations page to the code: events of the log and metrics.

use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
};

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The text of all sources below a folder.
fn sources(folder: &Path) -> io::Result<String> {
    let mut all = String::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            all.push_str(&sources(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            all.push_str(&fs::read_to_string(path)?);
        }
    }
    Ok(all)
}

fn code() -> io::Result<String> {
    let mut all = sources(&root().join("crates/gateway/src"))?;
    all.push_str(&sources(&root().join("platform/src"))?);
    Ok(all)
}

/// Names in quotes that follow a text of the code.
fn named(code: &str, before: &str) -> BTreeSet<String> {
    let after = code.split(before).skip(1);
    let names = after.filter_map(|rest| rest.split('"').next());
    names.map(str::to_owned).collect()
}

/// Names in the first column of the table under a heading of the page; labels in braces
/// are left out.
fn listed(page: &str, heading: &str) -> BTreeSet<String> {
    let part = page.split(heading).nth(1).unwrap_or_default();
    let part = part.split("\n## ").next().unwrap_or_default();
    let rows = part.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.filter_map(|line| line.split('|').nth(1));
    let quoted = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let names = quoted.filter_map(|name| name.split('{').next());
    names.map(str::to_owned).collect()
}

#[test]
fn page_lists_the_events_of_the_log_and_no_others() -> Result {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md"))?;

    let events = named(&code()?, "event = \"");

    assert_eq!(listed(&page, "## The log"), events);
    Ok(())
}

#[test]
fn page_lists_the_metrics_and_no_others() -> Result {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md"))?;
    let code = code()?;

    let mut metrics = named(&code, "counter!(\"");
    metrics.extend(named(&code, "gauge!(\""));
    metrics.extend(named(&code, "histogram!(\""));

    assert_eq!(listed(&page, "## State on request, metrics"), metrics);
    Ok(())
}
