//! The platform's names are confined to the adapter in `src/jujubelink/platform`.

use std::path::{Path, PathBuf};

/// Headers, compared in lower case, and request paths that may occur in the adapter only.
const PLATFORM_NAMES: [&str; 9] = [
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

/// Adds the files of a folder and its subfolders to `files_found`.
fn collect_files(folder: &Path, files_found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => collect_files(&path, files_found),
            false => files_found.push(path),
        }
    }
}

/// Guards against the platform's names in other parts of the code, which would then have to change with
/// the platform. The stand-ins import the names from the adapter.
#[test]
fn platform_names_occur_only_in_the_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_files(&root.join("src"), &mut files);
    collect_files(&root.join("crates/jujubelink-standins"), &mut files);
    let adapter = root.join("src/jujubelink/platform");
    let mut in_adapter = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap().to_lowercase();
        let occurrences = PLATFORM_NAMES
            .iter()
            .filter(|name| text.contains(*name))
            .count();
        if file.starts_with(&adapter) {
            in_adapter += occurrences;
        } else {
            assert_eq!(occurrences, 0, "{}", file.display());
        }
    }
    assert!(in_adapter >= PLATFORM_NAMES.len());
}

/// Guards against logic that moves into the adapter: it has to stay below a tenth of the library.
#[test]
fn the_adapter_stays_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/jujubelink");
    let lines = |folder: &Path| {
        let mut files = Vec::new();
        collect_files(folder, &mut files);
        let texts = files
            .iter()
            .map(|file| std::fs::read_to_string(file).unwrap());
        texts.map(|text| text.lines().count()).sum::<usize>()
    };
    let (adapter, library) = (lines(&root.join("platform")), lines(&root));
    assert!(adapter * 10 < library, "{adapter} of {library} lines");
}
