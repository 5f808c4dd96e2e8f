//! Checks the layout rules that neither the formatter nor the linter knows.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::bail;

const GENERATED_SUFFIX: &str = "_capnp.rs";
const SKIPPED_DIRS: [&str; 3] = ["target", ".git", "data"];

/// Reads every source file and manifest and lists all broken rules at once.
pub(crate) fn run() -> anyhow::Result<()> {
    let mut faults = Vec::new();
    for path in files_below(Path::new("."))? {
        check_file(&path, &mut faults)?;
    }
    if faults.is_empty() {
        return Ok(());
    }
    bail!("the tree breaks layout rules:\n{}", faults.join("\n"))
}

fn files_below(dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && !SKIPPED_DIRS.contains(&name.as_str()) {
            files.extend(files_below(&path)?);
        } else if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn check_file(path: &Path, faults: &mut Vec<String>) -> anyhow::Result<()> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    if name.ends_with(".rs") && !name.ends_with(GENERATED_SUFFIX) {
        check_source(path, &fs::read_to_string(path)?, faults);
    }
    if name == "Cargo.toml" && !path.starts_with("./platform") {
        let text = fs::read_to_string(path)?;
        if path.starts_with("./crates") && text.lines().any(|it| it.starts_with("platform")) {
            faults.push(format!("{}: nothing may depend on platform/", path.display()));
        }
    }
    if name == "Cargo.toml" {
        check_manifest(path, &fs::read_to_string(path)?, faults);
    }
    Ok(())
}

fn check_source(path: &Path, text: &str, faults: &mut Vec<String>) {
    if path.ends_with("mod.rs") {
        faults
            .push(format!("{}: name the file after its folder instead of mod.rs", path.display()));
    }
    if !text.starts_with("//!") && !text.starts_with("#!") {
        faults.push(format!("{}: open the module with a //! comment", path.display()));
    }
    let in_src = path.components().any(|it| it.as_os_str() == "src");
    if in_src && text.lines().any(|line| line.trim() == "#[cfg(test)]") {
        faults.push(format!("{}: move its tests to tests/", path.display()));
    }
    if !path.starts_with("./platform") {
        check_platform_words(path, text, faults);
    }
    let driver = ["Fusion", "Driver"].concat();
    if text.contains(&driver) {
        faults.push(format!("{}: build the runtime with LegacyDriver", path.display()));
    }
}

/// The users' platform is spoken in one folder only.
fn check_platform_words(path: &Path, text: &str, faults: &mut Vec<String>) {
    let words = [["x-server", "-stamp"], ["x-expect", "-instance"], ["x-token", "-counts"]];
    let more = [["x-prompt", "-prefix"], ["x-api", "-key"], ["/insta", "nces"]];
    for word in words.iter().chain(&more).map(|it| it.concat()) {
        if text.contains(&word) {
            faults.push(format!("{}: `{word}` belongs into platform/", path.display()));
        }
    }
}

fn check_manifest(path: &Path, text: &str, faults: &mut Vec<String>) {
    let mut in_dependencies = false;
    let mut previous = "";
    for line in text.lines() {
        if line.starts_with('[') {
            in_dependencies = line.ends_with("dependencies]");
            previous = "";
            continue;
        }
        let key = line.split(['.', ' ', '=']).next().unwrap_or_default();
        if !in_dependencies || key.is_empty() {
            previous = "";
            continue;
        }
        if key < previous {
            faults.push(format!("{}: sort `{key}` before `{previous}`", path.display()));
        }
        previous = key;
    }
}
