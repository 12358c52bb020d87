//! The peers thread: sends gossip to peers and polls the platform's list of instances.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, PoisonError},
};

use caraway_node::{Gossip, Input, ListedMember};
use caraway_ring::Receiver;
use caraway_types::InstanceId;
use caraway_wire::{
    CallError, HttpClient, ListClient, PeerClient,
    list::{ListEntry, Listing, Role},
};
use ntex::rt::spawn;

use crate::{
    events::emit,
    shared::{ControlMessage, Shared},
};

/// A gossip message to send to one peer.
#[derive(Debug)]
pub(crate) struct OutgoingGossip {
    /// The receiving peer.
    pub(crate) peer: InstanceId,
    /// The message.
    pub(crate) gossip: Gossip,
}

/// Most messages queued for a peer while an earlier one is in flight.
const QUEUE_CAPACITY: usize = 8;

/// Queued messages by peer. A peer has an entry, perhaps empty, while a message to it is in flight.
type Outbox = Rc<RefCell<BTreeMap<InstanceId, VecDeque<Gossip>>>>;

/// Sends gossip until the ring is closed, and polls the instance list. At most one message to each
/// peer is in flight.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut inbox: Receiver<OutgoingGossip>,
) -> Result<(), CallError> {
    let http = HttpClient::new().await?;
    spawn(poll_list(Arc::clone(&shared), http.clone()));
    let outbox = Outbox::default();
    while let Some(OutgoingGossip { peer, gossip }) = inbox.recv().await {
        let idle = !outbox.borrow().contains_key(&peer);
        enqueue(&outbox, &peer, gossip);
        if idle {
            let (shared, http) = (Arc::clone(&shared), http.clone());
            spawn(send_pending(shared, http, Rc::clone(&outbox), peer));
        }
    }
    Ok(())
}

/// Queues a message. A full queue drops its oldest message, since later ones carry newer state.
fn enqueue(outbox: &Outbox, peer: &InstanceId, gossip: Gossip) {
    let mut outbox = outbox.borrow_mut();
    let pending = outbox.entry(Arc::clone(peer)).or_default();
    if pending.len() >= QUEUE_CAPACITY {
        pending.pop_front();
    }
    pending.push_back(gossip);
}

/// Sends the queued messages of a peer one by one, until its queue is empty.
async fn send_pending(shared: Arc<Shared>, http: HttpClient, outbox: Outbox, peer: InstanceId) {
    while let Some(gossip) = pop_next(&outbox, &peer) {
        if let Some(addr) = shared.peer_addr(&peer)
            && let Err(error) = send_gossip(&shared, http.clone(), addr, &gossip).await
        {
            emit!(shared.log, debug, PeerUnreachable;
                "peer" => &*peer, "error" => %error);
        }
    }
}

/// Removes and returns the next message for a peer; removes the peer's queue when it is empty.
fn pop_next(outbox: &Outbox, peer: &InstanceId) -> Option<Gossip> {
    let mut outbox = outbox.borrow_mut();
    let gossip = outbox.get_mut(peer).and_then(VecDeque::pop_front);
    if gossip.is_none() {
        outbox.remove(peer);
    }
    gossip
}

async fn send_gossip(
    shared: &Shared,
    http: HttpClient,
    addr: SocketAddr,
    gossip: &Gossip,
) -> Result<(), CallError> {
    let body = PeerClient::encode(gossip)?;
    shared
        .metrics
        .record_control_bytes("gossip_sent", body.len());
    let timeout = shared.settings.times.control_ms.get();
    PeerClient::new(http, addr)
        .exchange("gossip", body, timeout)
        .await
}

/// Polls the instance list until the thread ends, and logs when it becomes unreachable or reachable
/// again.
async fn poll_list(shared: Arc<Shared>, http: HttpClient) {
    let client = ListClient::new(http, shared.settings.list);
    let times = &shared.settings.times;
    let mut reachable = true;
    loop {
        match client.fetch(times.control_ms.get()).await {
            Ok(listing) => {
                if !reachable {
                    emit!(shared.log, info, ListReachable);
                }
                reachable = true;
                apply_listing(&shared, listing);
            }
            Err(error) => {
                if reachable {
                    emit!(shared.log, warn, ListUnreachable; "error" => %error);
                }
                reachable = false;
            }
        }
        tokio::time::sleep(times.list_ms.get()).await;
    }
}

/// Updates the peers' addresses and the leaving services from the list, and sends it to the node.
fn apply_listing(shared: &Shared, listing: Listing) {
    let entries = listing.members.iter().filter(|m| m.role == Role::Entry);
    let peers: BTreeMap<_, _> = entries.map(|m| (Arc::clone(&m.id), m.addr)).collect();
    let mut known = shared.peers.write().unwrap_or_else(PoisonError::into_inner);
    known.extend(peers);
    drop(known);
    update_leaving_services(shared, &listing);
    let members = listing.members.into_iter().map(listed_member).collect();
    let message = ControlMessage::Input(Input::Listing(members));
    if shared.rings.control.push(message).is_err() {
        emit!(shared.log, warn, RingFull; "ring" => "control");
    }
}

/// Records which services are leaving. One that was leaving gets calls again only after the list
/// shows a later incarnation of it.
fn update_leaving_services(shared: &Shared, listing: &Listing) {
    let mut leaving = shared
        .leaving_services
        .write()
        .unwrap_or_else(PoisonError::into_inner);
    for member in listing.members.iter().filter(|m| m.role == Role::Service) {
        let known = leaving.get(&member.id).copied();
        if member.leaving {
            let latest = known.map_or(member.incarnation, |i| i.max(member.incarnation));
            leaving.insert(Arc::clone(&member.id), latest);
        } else if known.is_some_and(|known| known < member.incarnation) {
            leaving.remove(&member.id);
        }
    }
}

fn listed_member(member: ListEntry) -> ListedMember {
    ListedMember {
        id: member.id,
        zone: member.zone,
        incarnation: member.incarnation,
        leaving: member.leaving,
        endpoint: member.role != Role::Entry,
    }
}
