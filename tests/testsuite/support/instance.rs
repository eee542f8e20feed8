//! An instance of the real binary.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use jujubelink::util::hash::sha256_hex;

use super::{eventually, free_address, spawn};

/// A running instance. Dropping it kills the process.
pub(crate) struct Instance {
    child: Child,
    settings: PathBuf,
    pub(crate) client_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
}

/// Administration key of every instance, with role `admin`.
pub(crate) const ADMIN_KEY: &str = "test administration key";

impl Instance {
    /// Starts an instance at free addresses and waits until it accepts client connections.
    pub(crate) async fn start(platform: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let addresses = [free_address(), free_address(), free_address()];
        Self::start_on(addresses, platform, seeds).await
    }

    /// Starts an instance on the given client, administration and peer addresses.
    pub(crate) async fn start_on(
        addresses: [SocketAddr; 3],
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        Self::start_with(addresses, platform, seeds, "", Stdio::inherit()).await
    }

    /// Starts an instance with further settings (TOML) and a destination for its log. A table `stop` in
    /// the further settings replaces the default one.
    pub(crate) async fn start_with(
        [client_address, admin_address, peer_address]: [SocketAddr; 3],
        platform: SocketAddr,
        seeds: &[SocketAddr],
        further_settings: &str,
        log: Stdio,
    ) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            r#"
[instance]
peer_address = "{peer_address}"
failure_domain = "a"
region = "r"
seeds = [{seeds}]
cluster_key = "test cluster key"

[listen]
client_address = "{client_address}"
admin_address = "{admin_address}"

[platform]
address = "{platform}"

{stop}

[admin.keys.tester]
role = "admin"
sha256 = "{admin_hash}"

{further_settings}
"#,
            admin_hash = sha256_hex(ADMIN_KEY.as_bytes()),
            stop = match further_settings.contains("[stop]") {
                true => "",
                false => "[stop]\nbalancer_notice_ms = 100",
            },
            seeds = seeds.join(", ")
        );
        let name = format!(
            "jujubelink-test-{}-{}.toml",
            std::process::id(),
            peer_address.port()
        );
        let settings = std::env::temp_dir().join(name);
        let mut file = std::fs::File::create(&settings).expect("create the settings file");
        file.write_all(text.as_bytes())
            .expect("write the settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_jujubelink"));
        command.arg("serve").arg("--settings").arg(&settings);
        let child = spawn(command.stdout(log)).expect("start the instance");
        let instance = Self {
            child,
            settings,
            client_address,
            admin_address,
            peer_address,
        };
        eventually("the instance accepts client connections", || async {
            std::net::TcpStream::connect(client_address).ok()
        })
        .await;
        // With a fleet store there is no administration API.
        if !further_settings.contains("[fleet]") {
            eventually("the instance accepts administration calls", || async {
                std::net::TcpStream::connect(admin_address).ok()
            })
            .await;
        }
        instance
    }

    /// Process id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Changes the settings file. The instance reads it again at the next reload.
    pub(crate) fn change_settings(&self, change: impl FnOnce(String) -> String) {
        let text = std::fs::read_to_string(&self.settings).expect("read the settings file");
        std::fs::write(&self.settings, change(text)).expect("write the settings file");
    }

    /// Sends SIGHUP, after which the instance reads its settings again.
    pub(crate) fn reload(&self) {
        self.signal("-HUP");
    }

    /// Stops the execution of the process (SIGSTOP). Its sockets stay open, and the kernel still
    /// completes handshakes and receives data.
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
    }

    /// Continues the execution of a paused process (SIGCONT).
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends a signal, such as `-STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let mut command = Command::new("kill");
        let kill = spawn(command.args([name, &self.pid().to_string()]));
        let status = kill.expect("start kill").wait();
        assert!(status.expect("run kill").success());
    }

    /// Exit status, if the process has ended.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("read the exit status")
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    /// Takes the reading end of the log of an instance that was started with a piped log.
    pub(crate) fn take_log(&mut self) -> std::process::ChildStdout {
        self.child.stdout.take().expect("the log is piped")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}
