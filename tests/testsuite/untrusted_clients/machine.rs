//! The instance on a small machine, and the bounds that hold for its process.

use std::fs::File;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;

use crate::endless_bytes::site::{Answer, Site};
use crate::support::{
    Fleet, Instance, ProcessSockets, chat_body, chat_request, eventually, process_memory_bytes,
    run, try_send,
};

use super::crowd::Crowd;

/// Memory of the machine in the settings. What the process holds has to stay below it: resident memory and bytes
/// that were received and not read yet.
const MEMORY_MB: u64 = 64;

/// Descriptors of the machine in the settings. Those that the process has open have to stay below it.
const MAX_DESCRIPTORS: usize = 2_400;

/// Time between two observations of the process.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(20);

/// Name of the file in the folder for temporary files whose lock a test of a crowd holds.
const LOCK_FILE: &str = "jujubelink-test-untrusted-clients.lock";

/// Path of ordinary requests on the platform. No crowd uses its service.
const ORDINARY_PATH: &str = "/other/x";

fn machine_settings(memory_mb: u64) -> String {
    format!("[machine]\nmemory_mb = {memory_mb}\nmax_descriptors = {MAX_DESCRIPTORS}\n")
}

/// Starts an instance on a machine with this memory. No other test of a crowd runs until the file is dropped.
pub(super) async fn start_on(memory_mb: u64) -> (File, Site) {
    let lock = lock_machine();
    (lock, Site::start_with(&machine_settings(memory_mb)).await)
}

/// Waits until no other test of a crowd runs, in this process or another one. The lock ends with the file.
fn lock_machine() -> File {
    let path = std::env::temp_dir().join(LOCK_FILE);
    let file = File::create(path).expect("create the lock file");
    file.lock().expect("lock the file");
    file
}

/// Starts an instance on the platform, sends it the crowd until that makes no more progress, and checks the bounds.
pub(super) fn check_crowd(name: &str, start_crowd: impl FnOnce(&Site) -> Crowd) {
    check_crowds(name, |site| vec![start_crowd(site)]);
}

/// Like [`check_crowd`] for several crowds at the same time.
pub(super) fn check_crowds(name: &str, start_crowds: impl FnOnce(&Site) -> Vec<Crowd>) {
    run(async {
        let (_lock, site) = start_on(MEMORY_MB).await;
        let mut process = ObservedProcess::new(name, &site.instance);
        let crowds = start_crowds(&site);
        process.observe_until_settled(&crowds).await;
        let is_served = async || {
            let answer = site.request("ordinary", ORDINARY_PATH, 5_000).await;
            matches!(answer, Answer::Complete(200, _))
        };
        process.check_open(&crowds, is_served).await;
        site.proxy_of("/read/x").set_flood(None);
        site.proxy_of("/tell/x").set_flood(None);
        process.check_closed(crowds, is_served).await;
    });
}

/// Starts an instance with a configuration of its own in place of the platform's, sends it the crowd until that makes
/// no more progress, and checks the bounds.
pub(super) fn check_own_deployment(name: &str, start_crowd: impl FnOnce(SocketAddr) -> Crowd) {
    run(async {
        let _lock = lock_machine();
        let fleet = Fleet::new(1);
        let settings = machine_settings(MEMORY_MB) + "[log]\nlevel = \"error\"\n";
        let log = std::process::Stdio::inherit();
        let instance = fleet.start_instance_with(&settings, log).await;
        let address = instance.client_address;
        let is_served = async || {
            let prompt = chat_request().header("connection", "close");
            let body = chat_body("ordinary", 2, false);
            let plain = Request::get("/open/x").header("connection", "close");
            is_success(address, prompt, Some(body)).await && is_success(address, plain, None).await
        };
        eventually("an ordinary request is served", || async {
            is_served().await.then_some(())
        })
        .await;
        let mut process = ObservedProcess::new(name, &instance);
        let crowds = vec![start_crowd(address)];
        process.observe_until_settled(&crowds).await;
        process.check_open(&crowds, is_served).await;
        process.check_closed(crowds, is_served).await;
    });
}

/// Sends a request on a new connection. Returns whether its response is complete and a success.
async fn is_success(
    address: SocketAddr,
    request: http::request::Builder,
    body: Option<String>,
) -> bool {
    let response = try_send(address, request, body).await;
    response.is_some_and(|response| response.status == 200)
}

/// The process of an instance while clients load it.
struct ObservedProcess<'a> {
    /// Name of the crowd for messages.
    name: &'a str,
    pid: u32,
    sockets: ProcessSockets,
    resident_before: u64,
    most_held_bytes: u64,
    most_unread_bytes: u64,
    most_descriptors: usize,
}

impl<'a> ObservedProcess<'a> {
    fn new(name: &'a str, instance: &Instance) -> Self {
        let pid = instance.pid();
        Self {
            name,
            pid,
            sockets: ProcessSockets::new(pid, instance.client_address),
            resident_before: process_memory_bytes(pid, "VmRSS").expect("a running process"),
            most_held_bytes: 0,
            most_unread_bytes: 0,
            most_descriptors: 0,
        }
    }

    /// Observes the process once and checks that it runs within its bounds.
    fn observe(&mut self) {
        let name = self.name;
        let resident_bytes = process_memory_bytes(self.pid, "VmRSS");
        let resident_bytes =
            resident_bytes.unwrap_or_else(|| panic!("{name}: the process has ended"));
        let sockets = self.sockets.observe();
        let held_bytes = resident_bytes + sockets.unread_bytes;
        self.most_held_bytes = self.most_held_bytes.max(held_bytes);
        self.most_unread_bytes = self.most_unread_bytes.max(sockets.unread_bytes);
        self.most_descriptors = self.most_descriptors.max(sockets.descriptors);
    }

    async fn observe_until_settled(&mut self, crowds: &[Crowd]) {
        while !crowds.iter().all(Crowd::is_settled) {
            compio::time::sleep(OBSERVATION_PERIOD).await;
            self.observe();
        }
    }

    /// Checks that an ordinary request is served while the crowds stay open, and the bounds until then.
    async fn check_open(&mut self, crowds: &[Crowd], is_served: impl AsyncFn() -> bool) {
        let name = self.name;
        eventually(
            &format!("{name}: an ordinary request is served while the crowd stays open"),
            || async { is_served().await.then_some(()) },
        )
        .await;
        self.observe();
        let peak_bytes = process_memory_bytes(self.pid, "VmHWM").expect("a running process");
        let (sent, connections) = (
            crowds.iter().map(Crowd::sent_bytes).sum::<u64>(),
            crowds.iter().map(Crowd::connections).sum::<u64>(),
        );
        println!(
            "crowd \"{name}\": sent {sent} bytes over {connections} connections, resident {} bytes before, peak \
             {peak_bytes}, most received and not read {}, most of both {}, {} descriptors",
            self.resident_before,
            self.most_unread_bytes,
            self.most_held_bytes,
            self.most_descriptors
        );
        let limit_bytes = MEMORY_MB * 1_000_000;
        assert!(
            peak_bytes < limit_bytes,
            "{name}: {peak_bytes} bytes are resident"
        );
        let held_bytes = self.most_held_bytes;
        assert!(
            held_bytes < limit_bytes,
            "{name}: {held_bytes} bytes are resident or received and not read"
        );
        let descriptors = self.most_descriptors;
        assert!(
            descriptors < MAX_DESCRIPTORS,
            "{name}: {descriptors} descriptors are open"
        );
    }

    /// Closes the crowds and checks that an ordinary request is served afterwards.
    async fn check_closed(&mut self, crowds: Vec<Crowd>, is_served: impl AsyncFn() -> bool) {
        drop(crowds);
        eventually("an ordinary request is served", || async {
            is_served().await.then_some(())
        })
        .await;
        self.observe();
    }
}
