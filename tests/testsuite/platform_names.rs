//! Names of the users' platform stay in one folder.

use std::path::{Path, PathBuf};

/// Names that only the adapter may know: its headers in any case, and the paths of its calls.
const NAMES: [&str; 9] = [
    "jujubelink-attempt",
    "jujubelink-tenant",
    "jujubelink-expect",
    "jujubelink-server",
    "/api/objects",
    "/api/ready",
    "/api/order",
    "/api/report",
    "/api/kv-",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => sources(&path, found),
            false => found.push(path),
        }
    }
}

/// Guards against the platform's names in code that decides: it would have to change with the
/// platform. The stand-ins take the names from the adapter.
#[test]
fn the_platforms_names_stand_in_its_folder_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    sources(&root.join("crates/jujubelink-standins"), &mut files);
    let adapter = root.join("src/jujubelink/platform");
    let mut in_adapter = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap().to_lowercase();
        let named = NAMES.iter().filter(|name| text.contains(*name)).count();
        if file.starts_with(&adapter) {
            in_adapter += named;
        } else {
            assert_eq!(named, 0, "{}", file.display());
        }
    }
    assert!(in_adapter >= NAMES.len());
}

/// Guards against an adapter that grows beyond a tenth of the library.
#[test]
fn the_adapter_stays_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/jujubelink");
    let lines = |folder: &Path| {
        let mut files = Vec::new();
        sources(folder, &mut files);
        let texts = files
            .iter()
            .map(|file| std::fs::read_to_string(file).unwrap());
        texts.map(|text| text.lines().count()).sum::<usize>()
    };
    let (adapter, library) = (lines(&root.join("platform")), lines(&root));
    assert!(adapter * 10 < library, "{adapter} of {library} lines");
}
