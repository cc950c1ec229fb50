//! Checks that the imports between the modules of this crate have no cycle, so that each module can be read
//! without the modules that import it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// Maps each top-level module to the modules it imports. Files in the directory of a module belong to that
/// module.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Returns the top-level module and the text of each Rust file in `directory` and its subdirectories.
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

/// Returns the first segment after `crate::` of each path in `text`, without comments.
fn imported(text: &str) -> BTreeSet<String> {
    let code = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    let paths = code.flat_map(|line| line.split("crate::").skip(1).collect::<Vec<_>>());
    let first = |path: &str| path.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect();
    paths.map(first).collect()
}

/// Returns the import graph of the sources, without the crate's root, which declares all modules.
fn import_graph(sources: &[(String, String)]) -> Imports {
    let mut imports = Imports::new();
    for (module, text) in sources.iter().filter(|(module, _)| module != "lib") {
        let others = imported(text).into_iter().filter(|other| other != module);
        imports.entry(module.clone()).or_default().extend(others);
    }
    imports
}

/// Repeatedly removes modules that import none of the remaining modules, and returns the rest: the modules
/// that are in a cycle or import one that is.
fn cyclic_modules(mut imports: Imports) -> Imports {
    loop {
        let remaining: BTreeSet<String> = imports.keys().cloned().collect();
        let before = imports.len();
        imports.retain(|_, imported| !imported.is_disjoint(&remaining));
        if imports.len() == before {
            return imports;
        }
    }
}

#[test]
fn module_imports_have_no_cycle() {
    let imports = import_graph(&sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")));
    let edges: usize = imports.values().map(BTreeSet::len).sum();
    assert!(imports.len() > 8 && edges > imports.len(), "too few imports were found: {imports:?}");
    for (module, imported) in &imports {
        for other in imported {
            // A path through the root's re-exports would hide the imported module.
            assert!(imports.contains_key(other), "{module} imports crate::{other}, which is not a module");
        }
    }
    let cyclic = cyclic_modules(imports);
    assert!(cyclic.is_empty(), "these modules are in an import cycle or import a module that is: {cyclic:?}");
}

#[test]
fn cycles_are_found_and_diamonds_are_not_reported() {
    let source = |module: &str, text: &str| (module.to_owned(), text.to_owned());
    let diamond = [
        source("top", "use crate::left::A;\nuse crate::right::{B, C};\n"),
        source("left", "//! See crate::top.\nuse crate::base::D;"),
        source("right", "fn f() -> crate::base::D {} // crate::top"),
        source("base", "use std::fmt;"),
    ];
    assert_eq!(cyclic_modules(import_graph(&diamond)), Imports::new());
    let mut cycle = diamond.to_vec();
    cycle.push(source("base", "pub use crate::top::E;"));
    assert_eq!(cyclic_modules(import_graph(&cycle)).len(), 4);
}
