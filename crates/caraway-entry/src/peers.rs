//! The peers thread: sends gossip and reads the platform's list.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use caraway_node::{Gossip, Input, ListedMember};
use caraway_ring::Receiver;
use caraway_types::InstanceId;
use caraway_wire::{
    CallError, Http, ListClient, PeerClient,
    list::{Listed, Listing, Role},
};
use ntex::rt::spawn;

use crate::{
    events::emit,
    shared::{Control, Shared},
};

/// A message for one peer.
#[derive(Debug)]
pub(crate) struct Beat {
    /// The peer.
    pub(crate) peer: InstanceId,
    /// The message.
    pub(crate) gossip: Gossip,
}

/// Peers with a message on the way; a further one is dropped, as the next says more.
type Busy = Arc<Mutex<BTreeSet<InstanceId>>>;

/// Sends gossip until the ring is closed.
pub(crate) async fn run(shared: Arc<Shared>, mut inbox: Receiver<Beat>) -> Result<(), CallError> {
    let http = Http::new().await?;
    spawn(follow_list(Arc::clone(&shared), http.clone()));
    let busy = Busy::default();
    while let Some(beat) = inbox.recv().await {
        let fresh = lock(&busy).insert(Arc::clone(&beat.peer));
        if fresh {
            spawn(send(
                Arc::clone(&shared),
                http.clone(),
                Arc::clone(&busy),
                beat,
            ));
        }
    }
    Ok(())
}

async fn send(shared: Arc<Shared>, http: Http, busy: Busy, beat: Beat) {
    if let Some(addr) = shared.peer(&beat.peer)
        && let Err(error) = deliver(&shared, http, addr, &beat.gossip).await
    {
        emit!(shared.log, debug, PeerUnreachable;
            "peer" => &*beat.peer, "error" => %error);
    }
    lock(&busy).remove(&beat.peer);
}

async fn deliver(
    shared: &Shared,
    http: Http,
    addr: SocketAddr,
    gossip: &Gossip,
) -> Result<(), CallError> {
    let body = PeerClient::encode(gossip)?;
    shared.metrics.control_bytes("gossip_sent", body.len());
    let limit = shared.settings.times.control_ms.get();
    PeerClient::new(http, addr)
        .exchange("gossip", body, limit)
        .await
}

async fn follow_list(shared: Arc<Shared>, http: Http) {
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
                take(&shared, listing);
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

fn take(shared: &Shared, listing: Listing) {
    let entries = listing.members.iter().filter(|m| m.role == Role::Entry);
    let peers: BTreeMap<_, _> = entries.map(|m| (Arc::clone(&m.id), m.addr)).collect();
    let mut known = shared.peers.write().unwrap_or_else(PoisonError::into_inner);
    known.extend(peers);
    drop(known);
    mark_leaving(shared, &listing);
    let members = listing.members.into_iter().map(listed).collect();
    let message = Control::Input(Input::Listing(members));
    if shared.rings.control.push(message).is_err() {
        emit!(shared.log, warn, RingFull; "ring" => "control");
    }
}

/// Remembers services that leave; only a later incarnation takes calls again.
fn mark_leaving(shared: &Shared, listing: &Listing) {
    let mut marks = shared
        .leaving_services
        .write()
        .unwrap_or_else(PoisonError::into_inner);
    for member in listing.members.iter().filter(|m| m.role == Role::Service) {
        let known = marks.get(&member.id).copied();
        if member.leaving {
            let latest = known.map_or(member.incarnation, |i| i.max(member.incarnation));
            marks.insert(Arc::clone(&member.id), latest);
        } else if known.is_some_and(|known| known < member.incarnation) {
            marks.remove(&member.id);
        }
    }
}

fn listed(member: Listed) -> ListedMember {
    ListedMember {
        id: member.id,
        zone: member.zone,
        incarnation: member.incarnation,
        leaving: member.leaving,
        endpoint: member.role != Role::Entry,
    }
}

fn lock(busy: &Busy) -> std::sync::MutexGuard<'_, BTreeSet<InstanceId>> {
    busy.lock().unwrap_or_else(PoisonError::into_inner)
}
