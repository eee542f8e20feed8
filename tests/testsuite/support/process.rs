//! What the kernel shows of a process.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// State of a listening socket in `/proc/net/tcp`. Its column of unread bytes holds the length of its backlog.
const LISTENING: &str = "0A";

/// Returns a field of a process' status in bytes, such as `VmRSS`. `None` once the process has ended.
pub(crate) fn process_memory_bytes(pid: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kib = value.trim_start_matches(':').trim().strip_suffix(" kB")?;
    Some(kib.parse::<u64>().ok()? * 1024)
}

/// The sockets of a process, and those that wait in the backlog of its client listener.
pub(crate) struct ProcessSockets {
    pid: u32,
    client_address: SocketAddr,
}

/// What the sockets of a process show at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SocketObservation {
    /// Open descriptors of all kinds.
    pub(crate) descriptors: usize,
    /// Bytes that have arrived over TCP, and that the process has not read.
    pub(crate) unread_bytes: u64,
}

impl ProcessSockets {
    pub(crate) fn new(pid: u32, client_address: SocketAddr) -> Self {
        Self {
            pid,
            client_address,
        }
    }

    /// Observes the sockets. A process that has ended has none.
    pub(crate) fn observe(&self) -> SocketObservation {
        let folder = format!("/proc/{}/fd", self.pid);
        let mut descriptors = 0;
        let mut inodes = HashSet::new();
        for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
            descriptors += 1;
            inodes.extend(socket_inode(&entry.path()));
        }
        let table = std::fs::read_to_string("/proc/net/tcp").expect("read the TCP sockets");
        let port = format!(":{:04X}", self.client_address.port());
        let unread = table.lines().skip(1).filter_map(|line| {
            let fields: Vec<_> = line.split_ascii_whitespace().collect();
            let [_, local, _, state, queues, _, _, _, _, inode, ..] = fields[..] else {
                return None;
            };
            // A connection in the backlog has no inode yet.
            let is_waiting = inode == "0" && local.ends_with(&port);
            let is_counted = is_waiting || inodes.contains(inode);
            let (_, unread) = queues.split_once(':')?;
            (is_counted && state != LISTENING)
                .then(|| u64::from_str_radix(unread, 16).expect("a hexadecimal number"))
        });
        SocketObservation {
            descriptors,
            unread_bytes: unread.sum(),
        }
    }
}

/// Returns the inode of a descriptor if it is a socket.
fn socket_inode(descriptor: &Path) -> Option<String> {
    let target = std::fs::read_link(descriptor).ok()?;
    let name = target.to_str()?.strip_prefix("socket:[")?;
    name.strip_suffix(']').map(str::to_owned)
}
