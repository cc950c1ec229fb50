//! The modules of this crate import each other in one direction only, so each can be read without those above it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// By module at the crate's root: the modules it imports. Files in a module's own directory belong to it.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Rust files in `directory` and below, with their text.
fn sources(directory: &Path) -> Vec<(String, String)> {
    let mut sources = Vec::new();
    for entry in fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() {
            sources.extend(self::sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
            let relative = path.strip_prefix(root).expect("a file below src").with_extension("");
            let module = relative.components().next().expect("a file name").as_os_str();
            let text = fs::read_to_string(&path).expect("a readable file");
            sources.push((module.to_str().expect("a name in UTF-8").to_owned(), text));
        }
    }
    sources
}

/// First names of the paths in `text` that start at the crate's root; comments are left out.
fn imported(text: &str) -> BTreeSet<String> {
    let code = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    let paths = code.flat_map(|line| line.split("crate::").skip(1).collect::<Vec<_>>());
    let first = |path: &str| path.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect();
    paths.map(first).collect()
}

/// The graph of the sources given, the crate's root left out, which names all of them.
fn graph(sources: &[(String, String)]) -> Imports {
    let mut imports = Imports::new();
    for (module, text) in sources.iter().filter(|(module, _)| module != "lib") {
        let others = imported(text).into_iter().filter(|other| other != module);
        imports.entry(module.clone()).or_default().extend(others);
    }
    imports
}

/// What is left once modules that import nothing that is left are taken away, again and again: empty without a cycle.
fn cyclic(mut imports: Imports) -> Imports {
    loop {
        let left: BTreeSet<String> = imports.keys().cloned().collect();
        let before = imports.len();
        imports.retain(|_, imported| !imported.is_disjoint(&left));
        if imports.len() == before {
            return imports;
        }
    }
}

#[test]
fn modules_import_each_other_in_no_cycle() {
    let imports = graph(&sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")));
    let edges: usize = imports.values().map(BTreeSet::len).sum();
    assert!(imports.len() > 8 && edges > imports.len(), "the imports are not found any more: {imports:?}");
    for (module, imported) in &imports {
        for other in imported {
            // A path through the root's re-exports would hide where it leads.
            assert!(imports.contains_key(other), "{module} imports crate::{other}, which is no module");
        }
    }
    let cyclic = cyclic(imports);
    assert!(
        cyclic.is_empty(),
        "these modules import each other in a cycle, or import one that does: {cyclic:?}"
    );
}

#[test]
fn a_cycle_over_several_modules_is_found_and_a_diamond_is_none() {
    let source = |module: &str, text: &str| (module.to_owned(), text.to_owned());
    let diamond = [
        source("top", "use crate::left::A;\nuse crate::right::{B, C};\n"),
        source("left", "//! See crate::top.\nuse crate::base::D;"),
        source("right", "fn f() -> crate::base::D {} // crate::top"),
        source("base", "use std::fmt;"),
    ];
    assert_eq!(cyclic(graph(&diamond)), Imports::new());
    let mut cycle = diamond.to_vec();
    cycle.push(source("base", "pub use crate::top::E;"));
    assert_eq!(cyclic(graph(&cycle)).len(), 4);
}
