//! How the kernel treats the connections of a peer that falls silent, as if the network lost all packets.

use std::time::Duration;

use caraway_http::{ConnectTimeouts, set_socket_options};
use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Code of the instruction that ends a filter (`BPF_RET | BPF_K`); it accepts as many bytes of the packet
/// as its operand says.
const RETURN: u16 = 0x06;
/// Time for which a sound endpoint may fall silent.
const SILENCE: Duration = Duration::from_millis(1500);

/// Opens a connection with the options of the gateway; returns it with the peer's end.
async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
    let client = client.expect("a connection");
    set_socket_options(&client, &ConnectTimeouts::default()).expect("options");
    (client, accepted.expect("a connection").0)
}

/// Makes a socket lose everything that arrives, without an acknowledgement, for [`SILENCE`].
async fn fall_silent(socket: &TcpStream) {
    // A program of one instruction: accept no byte of any packet.
    let drop_all = SockFilter::new(RETURN, 0, 0, 0);
    let socket = SockRef::from(socket);
    socket.attach_filter(&[drop_all]).expect("a filter");
    sleep(SILENCE).await;
    socket.detach_filter().expect("no filter");
}

/// Checks that a request still crosses the connection.
async fn check_alive(client: &mut TcpStream, peer: &mut TcpStream) {
    client.write_all(b"ping").await.expect("it is sent");
    let mut received = [0; 4];
    let read = peer.read_exact(&mut received).await;
    read.expect("the connection is alive");
    assert_eq!(&received, b"ping");
}

// Guards against: the kernel ends an idle connection at the second keep-alive probe, though the endpoint
// was silent for less than two seconds and is sound.
#[tokio::test]
async fn idle_connection_outlives_a_short_silence() {
    let (mut client, mut peer) = connect().await;
    // The silence covers the first probe.
    sleep(Duration::from_millis(500)).await;
    fall_silent(&peer).await;
    sleep(Duration::from_millis(1500)).await;
    check_alive(&mut client, &mut peer).await;
}

// Guards against: the kernel ends a connection whose request was sent during a short silence, before the
// retransmission that arrives.
#[tokio::test]
async fn request_sent_in_a_short_silence_arrives() {
    let (mut client, mut peer) = connect().await;
    let silence = fall_silent(&peer);
    let sent = async {
        sleep(Duration::from_millis(20)).await;
        client.write_all(b"ping").await.expect("it is sent");
    };
    tokio::join!(silence, sent);
    let mut received = [0; 4];
    let read = peer.read_exact(&mut received).await;
    read.expect("the connection is alive");
    assert_eq!(&received, b"ping");
}

// Guards against: a connection of an endpoint that is silent for good stays open.
#[tokio::test]
async fn connection_of_a_peer_that_is_gone_ends() {
    let (mut client, peer) = connect().await;
    client.write_all(b"ping").await.expect("it is sent");
    let ((), ended) = tokio::join!(
        async {
            for _ in 0..4 {
                fall_silent(&peer).await;
            }
        },
        async { client.read_exact(&mut [0]).await }
    );
    ended.expect_err("the kernel ends it");
}
