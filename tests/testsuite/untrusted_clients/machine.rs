//! The instance on a small machine.

use std::fs::File;

use crate::endless_bytes::site::{Answer, Site};
use crate::support::{eventually, run};

use super::crowd::Crowd;

/// Memory of the machine in the settings. The resident memory of the process has to stay below it.
const MEMORY_MB: u64 = 64;

/// Descriptors of the machine in the settings. Those that the process has open have to stay below it.
const MAX_DESCRIPTORS: usize = 2_400;

/// Name of the file in the folder for temporary files whose lock a test of a crowd holds.
const LOCK_FILE: &str = "jujubelink-test-untrusted-clients.lock";

/// Starts an instance on a machine with this memory. No other test of a crowd runs until the file is dropped.
pub(super) async fn start_on(memory_mb: u64) -> (File, Site) {
    let lock = lock_machine();
    let settings =
        format!("[machine]\nmemory_mb = {memory_mb}\nmax_descriptors = {MAX_DESCRIPTORS}\n");
    (lock, Site::start_with(&settings).await)
}

/// Waits until no other test of a crowd runs, in this process or another one. The lock ends with the file.
fn lock_machine() -> File {
    let path = std::env::temp_dir().join(LOCK_FILE);
    let file = File::create(path).expect("create the lock file");
    file.lock().expect("lock the file");
    file
}

/// Starts an instance, sends it the crowd until that makes no more progress, and checks the bounds.
pub(super) fn check_crowd(name: &str, start_crowd: impl FnOnce(&Site) -> Crowd) {
    run(async {
        let (_lock, mut site) = start_on(MEMORY_MB).await;
        let resident_before = site.memory_bytes("VmRSS");
        let crowd = start_crowd(&site);
        let mut most_descriptors = 0;
        while !crowd.is_settled() {
            compio::time::sleep(std::time::Duration::from_millis(20)).await;
            most_descriptors = most_descriptors.max(open_descriptors(&site));
        }
        let exit_status = site.instance.exit_status();
        assert_eq!(exit_status, None, "{name}: the process has ended");
        let peak_bytes = site.memory_bytes("VmHWM");
        println!(
            "crowd \"{name}\": sent {} bytes over {} connections, memory {resident_before} bytes before, peak \
             {peak_bytes} bytes, {most_descriptors} descriptors",
            crowd.sent_bytes(),
            crowd.connections()
        );
        assert!(
            peak_bytes < MEMORY_MB * 1_000_000,
            "{name}: {peak_bytes} bytes are resident"
        );
        assert!(
            most_descriptors < MAX_DESCRIPTORS,
            "{name}: {most_descriptors} descriptors are open"
        );
        site.proxy_of("/read/x").set_flood(None);
        site.proxy_of("/tell/x").set_flood(None);
        drop(crowd);
        eventually("an ordinary request is served", || async {
            let answer = site.request("ordinary", "/other/x", 5_000).await;
            matches!(answer, Answer::Complete(200, _)).then_some(())
        })
        .await;
        let exit_status = site.instance.exit_status();
        assert_eq!(exit_status, None, "{name}: the process has ended");
    });
}

/// Returns the number of descriptors that the process has open; 0 if it has ended.
fn open_descriptors(site: &Site) -> usize {
    let path = format!("/proc/{}/fd", site.instance.pid());
    std::fs::read_dir(path).map_or(0, Iterator::count)
}
