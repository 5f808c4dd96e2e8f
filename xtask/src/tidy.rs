//! Checks the layout rules that neither the formatter nor the linter covers.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::bail;

const GENERATED_SUFFIX: &str = "_capnp.rs";
const SKIPPED_DIRS: [&str; 3] = ["target", ".git", "data"];

/// Checks every source file and manifest and reports all violations together.
pub(crate) fn run() -> anyhow::Result<()> {
    let mut violations = Vec::new();
    for path in list_files(Path::new("."))? {
        check_file(&path, &mut violations)?;
    }
    if violations.is_empty() {
        return Ok(());
    }
    bail!("layout rules are violated:\n{}", violations.join("\n"))
}

fn list_files(dir: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && !SKIPPED_DIRS.contains(&name.as_str()) {
            files.extend(list_files(&path)?);
        } else if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn check_file(path: &Path, violations: &mut Vec<String>) -> anyhow::Result<()> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    if name.ends_with(".rs") && !name.ends_with(GENERATED_SUFFIX) {
        check_source(path, &fs::read_to_string(path)?, violations);
    }
    if name == "Cargo.toml" && !path.starts_with("./platform") {
        let text = fs::read_to_string(path)?;
        if path.starts_with("./crates") && text.lines().any(|it| it.starts_with("platform")) {
            violations.push(format!("{}: nothing may depend on platform/", path.display()));
        }
    }
    if name == "Cargo.toml" {
        check_manifest(path, &fs::read_to_string(path)?, violations);
    }
    Ok(())
}

fn check_source(path: &Path, text: &str, violations: &mut Vec<String>) {
    if path.ends_with("mod.rs") {
        violations
            .push(format!("{}: name the file after its folder instead of mod.rs", path.display()));
    }
    if !text.starts_with("//!") && !text.starts_with("#!") {
        violations.push(format!("{}: start the module with a //! comment", path.display()));
    }
    let is_in_src = path.components().any(|it| it.as_os_str() == "src");
    if is_in_src && text.lines().any(|line| line.trim() == "#[cfg(test)]") {
        violations.push(format!("{}: move its tests to tests/", path.display()));
    }
    if !path.starts_with("./platform") {
        check_platform_names(path, text, violations);
    }
    // Joined from parts so that this file does not contain the name.
    let fusion_driver = ["Fusion", "Driver"].concat();
    if text.contains(&fusion_driver) {
        violations.push(format!("{}: build the runtime with LegacyDriver", path.display()));
    }
}

/// Checks that the names of the users' platform's protocol occur in `platform/` only. The names are
/// joined from parts so that this file does not contain them.
fn check_platform_names(path: &Path, text: &str, violations: &mut Vec<String>) {
    let names = [["x-server", "-stamp"], ["x-expect", "-instance"], ["x-token", "-counts"]];
    let more_names = [["x-prompt", "-prefix"], ["x-api", "-key"], ["/insta", "nces"]];
    for name in names.iter().chain(&more_names).map(|it| it.concat()) {
        if text.contains(&name) {
            violations.push(format!("{}: `{name}` belongs in platform/", path.display()));
        }
    }
}

fn check_manifest(path: &Path, text: &str, violations: &mut Vec<String>) {
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
            violations.push(format!("{}: sort `{key}` before `{previous}`", path.display()));
        }
        previous = key;
    }
}
