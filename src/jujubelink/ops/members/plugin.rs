//! Plug-in that maintains the member list.

use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::directory;
use super::table::MemberTable;
use crate::ops::kernel::{Context, DrainPhase, Plugin, PluginEntry, PluginScope};
use crate::ops::services::{ConfigService, MemberService, MemberState};
use crate::util::net::{Datagram, traffic};

/// Time between ticks of the failure detector, and thus the precision of its deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between reports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before the next receive after a failed one.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Larger than the largest valid datagram, so that longer ones are received whole and rejected.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

inventory::submit! {
    PluginEntry::new(|| Box::new(MembersPlugin)).with_scope(PluginScope::Standalone)
}

struct MembersPlugin;

impl Plugin for MembersPlugin {
    fn name(&self) -> &'static str {
        "members"
    }

    fn register(&self, context: &Context) -> Result<()> {
        let table = Rc::new(MemberTable::new(context));
        let service: Rc<dyn MemberService> = table.clone();
        context.provide(service);
        context.provide(table);
        Ok(())
    }

    fn start(&self, context: &Context) -> Result<()> {
        let address = context.settings().instance.peer_address;
        let socket = Datagram::bind(address)
            .with_context(|| format!("bind the membership socket to {address}"))?;
        let socket = Rc::new(socket);
        let table = context.service::<MemberTable>();
        table.set_socket(Rc::clone(&socket));
        spawn(receive(context.clone(), Rc::clone(&table), socket));
        spawn(tick(context.clone(), Rc::clone(&table)));
        spawn(report_metrics(context.clone(), Rc::clone(&table)));
        spawn(prune_targets(context.clone(), Rc::clone(&table)));
        spawn(directory::poll(context.clone(), table));
        Ok(())
    }

    fn drain(&self, context: &Context, phase: DrainPhase) -> LocalBoxFuture<'static, ()> {
        let table = context.service::<MemberTable>();
        match phase {
            DrainPhase::Announce => table.leave(),
            DrainPhase::Close => table.announce_departure(),
            DrainPhase::FinishRequests | DrainPhase::HandOver => {}
        }
        async {}.boxed_local()
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

async fn receive(context: Context, table: Rc<MemberTable>, socket: Rc<Datagram>) {
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, source)) => table.receive(&buffer[..length], source),
            // The kernel reports here that an earlier send was refused; the socket remains usable.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
            Err(error) => {
                slog::warn!(context.log(), "cannot receive datagrams"; "error" => %error);
                context.timers().sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

async fn tick(context: Context, table: Rc<MemberTable>) {
    let mut interval = context.timers().interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        table.tick();
    }
}

async fn prune_targets(context: Context, table: Rc<MemberTable>) {
    let service = context.service::<dyn ConfigService>();
    loop {
        let changed = service.changed();
        if let Some(config) = service.current() {
            table.retain_targets(|target| config.fleet.targets.contains_key(target));
        }
        changed.await;
    }
}

async fn report_metrics(context: Context, table: Rc<MemberTable>) {
    let mut interval = context.timers().interval(METRICS_INTERVAL);
    let mut before = traffic();
    loop {
        interval.tick().await;
        let members = table.members();
        let count = |state| {
            members
                .iter()
                .filter(|member| member.state == state)
                .count() as u64
        };
        let metrics = context.metrics();
        metrics.gauge("members.alive", count(MemberState::Alive));
        metrics.gauge("members.suspect", count(MemberState::Suspect));
        metrics.gauge("members.leaving", count(MemberState::Leaving));
        metrics.gauge("members.dead", count(MemberState::Dead));
        let now = traffic();
        let count = |name, now: u64, before: u64| metrics.count(name, now - before);
        count(
            "net.datagrams_sent",
            now.datagrams_sent,
            before.datagrams_sent,
        );
        count(
            "net.datagram_sent_bytes",
            now.datagram_sent_bytes,
            before.datagram_sent_bytes,
        );
        count(
            "net.datagrams_received",
            now.datagrams_received,
            before.datagrams_received,
        );
        count(
            "net.datagram_received_bytes",
            now.datagram_received_bytes,
            before.datagram_received_bytes,
        );
        count(
            "net.tcp_sent_bytes",
            now.tcp_sent_bytes,
            before.tcp_sent_bytes,
        );
        count(
            "net.tcp_received_bytes",
            now.tcp_received_bytes,
            before.tcp_received_bytes,
        );
        before = now;
    }
}
