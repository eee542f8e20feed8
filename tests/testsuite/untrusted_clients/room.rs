//! Which connections give way if there is no room for another one, or no memory for a request.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use jujubelink::core::capacity::{
    Admission, ConnectionId, ConnectionPhase, Grant, Ledger, LedgerLimits, Owner, TransferId,
};
use proptest::prelude::*;

use crate::support::property_config;

const CONNECTION_BYTES: usize = 10_000;

const LIMITS: LedgerLimits = LedgerLimits {
    transfer_bytes: 800_000,
    total_bytes: 1_000_000,
    connections: 4,
};

const START: Duration = Duration::ZERO;

/// Time for which a connection has to wait for its client before it gives way.
const MIN_WAIT: Duration = Duration::from_secs(3);

fn address(number: u8) -> Option<IpAddr> {
    Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)))
}

fn owner(number: u8) -> Owner {
    Owner {
        address: address(number),
        workspace: None,
    }
}

/// Opens a connection for which there is room.
fn open(ledger: &mut Ledger, number: u8, now: Duration) -> ConnectionId {
    match ledger.open_connection(address(number), CONNECTION_BYTES, now) {
        Admission::Admitted { id, ended } => {
            assert!(ended.is_empty(), "no connection has to end");
            id
        }
        Admission::Refused => panic!("the connection was refused"),
    }
}

/// Opens a connection and returns those that end in favor of it; `None` if it is refused.
fn open_in_favor(ledger: &mut Ledger, number: u8, now: Duration) -> Option<Vec<ConnectionId>> {
    match ledger.open_connection(address(number), CONNECTION_BYTES, now) {
        Admission::Admitted { ended, .. } => Some(ended),
        Admission::Refused => None,
    }
}

/// Begins a request of a connection.
fn begin_request(ledger: &mut Ledger, connection: ConnectionId, bytes: usize) -> TransferId {
    ledger.set_phase(connection, ConnectionPhase::Serving, START);
    let transfer = ledger.begin_on(Some(connection), owner(1), START);
    let grant = ledger.grow(transfer, bytes, START);
    assert_eq!(grant, Grant::Granted { ended: vec![] });
    transfer
}

/// Guards against a crowd of open connections that shuts out all further callers.
#[test]
fn connections_that_wait_for_their_clients_give_way() {
    let mut ledger = Ledger::with_limits(LIMITS);
    let ids: Vec<_> = (0..4).map(|_| open(&mut ledger, 1, START)).collect();
    let before = MIN_WAIT - Duration::from_millis(1);
    assert_eq!(open_in_favor(&mut ledger, 1, before), None);
    assert_eq!(open_in_favor(&mut ledger, 1, MIN_WAIT), Some(vec![ids[0]]));
    assert_eq!(ledger.connections(), 4);
    assert_eq!(ledger.total_bytes(), 4 * CONNECTION_BYTES);
}

/// Guards against a request that is cut off although its client does what is expected of it.
#[test]
fn connections_that_serve_do_not_give_way() {
    let mut ledger = Ledger::with_limits(LIMITS);
    for _ in 0..4 {
        let id = open(&mut ledger, 1, START);
        let transfer = begin_request(&mut ledger, id, 1_000);
        ledger.complete(transfer);
    }
    let late = Duration::from_secs(1_000);
    assert_eq!(open_in_favor(&mut ledger, 1, late), None);
}

/// Guards against callers that did as expected and lose their connection before those that did not.
#[test]
fn connections_without_a_request_give_way_first() {
    let mut ledger = Ledger::with_limits(LIMITS);
    let [receiving, idle, stalled, unused] = [(); 4].map(|()| open(&mut ledger, 1, START));
    begin_request(&mut ledger, receiving, 1_000);
    let transfer = begin_request(&mut ledger, idle, 1_000);
    ledger.end(transfer);
    ledger.set_phase(idle, ConnectionPhase::Idle, START);
    let transfer = begin_request(&mut ledger, stalled, 1_000);
    ledger.complete(transfer);
    ledger.set_phase(stalled, ConnectionPhase::Stalled, START);
    for expected in [unused, stalled, idle, receiving] {
        let ended = open_in_favor(&mut ledger, 1, MIN_WAIT);
        assert_eq!(ended, Some(vec![expected]));
    }
}

/// Guards against a client that keeps its connection by sending a head byte by byte, or by taking a few bytes of its
/// response at a time.
#[test]
fn a_phase_counts_from_its_beginning() {
    let mut ledger = Ledger::with_limits(LIMITS);
    let ids: Vec<_> = (0..4).map(|_| open(&mut ledger, 1, START)).collect();
    ledger.set_phase(ids[0], ConnectionPhase::ReceivingHead, START);
    for second in 1..=3 {
        let now = Duration::from_secs(second);
        ledger.set_phase(ids[0], ConnectionPhase::ReceivingHead, now);
        for id in &ids[1..] {
            ledger.set_phase(*id, ConnectionPhase::Serving, now);
        }
    }
    assert_eq!(open_in_favor(&mut ledger, 1, MIN_WAIT), Some(vec![ids[0]]));
}

/// Guards against an address that takes the room of those that have fewer connections.
#[test]
fn the_address_with_most_connections_gives_way() {
    let mut ledger = Ledger::with_limits(LIMITS);
    let few = open(&mut ledger, 1, START);
    let crowd: Vec<_> = (0..3).map(|_| open(&mut ledger, 2, START)).collect();
    assert_eq!(
        open_in_favor(&mut ledger, 3, MIN_WAIT),
        Some(vec![crowd[0]])
    );
    assert_eq!(
        open_in_favor(&mut ledger, 2, MIN_WAIT),
        Some(vec![crowd[1]])
    );
    ledger.close_connection(few);
}

/// Guards against connections that take the memory which requests need.
#[test]
fn connections_leave_memory_to_requests() {
    let limits = LedgerLimits {
        connections: 1_000,
        ..LIMITS
    };
    let mut ledger = Ledger::with_limits(limits);
    while open_in_favor(&mut ledger, 1, START).is_some() {}
    assert_eq!(ledger.connections(), 87, "seven eighths of the memory");
    let transfer = ledger.begin(owner(2), START);
    let grant = ledger.grow(transfer, 100_000, START);
    assert_eq!(grant, Grant::Granted { ended: vec![] });
}

/// Guards against responses that nobody reads and that hold the memory which other requests need.
#[test]
fn stalled_connections_give_way_to_requests() {
    let mut ledger = Ledger::with_limits(LIMITS);
    let [first, second] = [(); 2].map(|()| open(&mut ledger, 1, START));
    for id in [first, second] {
        let transfer = begin_request(&mut ledger, id, 300_000);
        ledger.complete(transfer);
    }
    ledger.set_phase(second, ConnectionPhase::Stalled, START);
    let asking = open(&mut ledger, 1, MIN_WAIT);
    let transfer = ledger.begin_on(Some(asking), owner(1), MIN_WAIT);
    let before = MIN_WAIT - Duration::from_millis(1);
    assert_eq!(ledger.grow(transfer, 250_000, before), Grant::Refused);
    let ended = vec![second];
    assert_eq!(
        ledger.grow(transfer, 250_000, MIN_WAIT),
        Grant::Granted { ended }
    );
    assert_eq!(ledger.held_bytes(), 550_000);
    assert_eq!(ledger.total_bytes(), 550_000 + 2 * CONNECTION_BYTES);
}

/// A step of a random course.
#[derive(Debug, Clone)]
enum Action {
    Open(u8),
    Phase(usize, ConnectionPhase),
    Begin(usize),
    Grow(usize, usize),
    Complete(usize),
    EndTransfer(usize),
    Close(usize),
}

fn action() -> impl Strategy<Value = Action> {
    let phase = prop_oneof![
        Just(ConnectionPhase::Idle),
        Just(ConnectionPhase::ReceivingHead),
        Just(ConnectionPhase::Serving),
        Just(ConnectionPhase::Stalled),
    ];
    prop_oneof![
        (0..4u8).prop_map(Action::Open),
        (any::<usize>(), phase).prop_map(|(at, phase)| Action::Phase(at, phase)),
        any::<usize>().prop_map(Action::Begin),
        (any::<usize>(), 0..200_000usize).prop_map(|(at, bytes)| Action::Grow(at, bytes)),
        any::<usize>().prop_map(Action::Complete),
        any::<usize>().prop_map(Action::EndTransfer),
        any::<usize>().prop_map(Action::Close),
    ]
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against sums that drift from what is held, against more than the limits, and against an end of
    /// connections that serve.
    #[test]
    fn connections_and_transfers_stay_within_the_limits(
        actions in prop::collection::vec(action(), 1..200),
    ) {
        let mut ledger = Ledger::with_limits(LIMITS);
        let mut open: Vec<(ConnectionId, ConnectionPhase)> = Vec::new();
        let mut transfers: Vec<TransferId> = Vec::new();
        for (second, action) in actions.into_iter().enumerate() {
            let now = Duration::from_secs(second as u64);
            let mut ended = Vec::new();
            let connection = |at: usize| Some(open[at.checked_rem(open.len())?].0);
            let transfer = |at: usize| Some(transfers[at.checked_rem(transfers.len())?]);
            match action {
                Action::Open(number) => {
                    let admission = ledger.open_connection(address(number), CONNECTION_BYTES, now);
                    if let Admission::Admitted { id, ended: others } = admission {
                        open.push((id, ConnectionPhase::Idle));
                        ended = others;
                    }
                }
                Action::Phase(at, phase) => {
                    let Some(id) = connection(at) else { continue };
                    ledger.set_phase(id, phase, now);
                    let entry = open.iter_mut().find(|(other, _)| *other == id);
                    entry.unwrap().1 = phase;
                }
                Action::Begin(at) => {
                    transfers.push(ledger.begin_on(connection(at), owner(1), now));
                }
                Action::Grow(at, bytes) => {
                    let Some(id) = transfer(at) else { continue };
                    if let Grant::Granted { ended: others } = ledger.grow(id, bytes, now) {
                        prop_assert!(!others.contains(&id));
                        for (connection, phase) in &open {
                            let has_ended = others.contains(connection);
                            prop_assert!(!has_ended || *phase != ConnectionPhase::Serving);
                        }
                        ended = others;
                    }
                }
                Action::Complete(at) => {
                    let Some(id) = transfer(at) else { continue };
                    ledger.complete(id);
                }
                Action::EndTransfer(at) => {
                    let Some(id) = transfer(at) else { continue };
                    ledger.end(id);
                    transfers.retain(|other| *other != id);
                }
                Action::Close(at) => {
                    let Some(id) = connection(at) else { continue };
                    ledger.close_connection(id);
                    open.retain(|(other, _)| *other != id);
                }
            }
            open.retain(|(id, _)| !ended.contains(id));
            prop_assert_eq!(ledger.connections(), open.len());
            let connection_bytes = open.len() * CONNECTION_BYTES;
            prop_assert_eq!(ledger.total_bytes(), ledger.held_bytes() + connection_bytes);
            prop_assert!(ledger.connections() <= LIMITS.connections);
            prop_assert!(ledger.held_bytes() <= LIMITS.transfer_bytes);
            prop_assert!(ledger.total_bytes() <= LIMITS.total_bytes);
        }
    }
}
