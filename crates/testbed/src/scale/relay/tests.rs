use super::*;
use std::net::SocketAddr;

fn bind_free_port() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    match listener.local_addr().expect("bound") {
        SocketAddr::V4(address) => (listener, address),
        other => panic!("{other}"),
    }
}

/// Data sent while the link is cut arrives in order once the link is restored, without loss.
#[test]
fn cut_link_delivers_data_after_it_is_restored() {
    let (target, target_address) = bind_free_port();
    let (listener, relay_address) = bind_free_port();
    drop(listener);
    let relays = Relays::start(vec![(
        Direction { from: 0, to: 1 },
        relay_address,
        target_address,
    )])
    .expect("listens");
    let mut sender = TcpStream::connect(relay_address).expect("accepted");
    let (mut receiver, _) = target.accept().expect("passed on");
    receiver
        .set_read_timeout(Some(Duration::from_millis(600)))
        .expect("set");
    let mut buffer = [0u8; 16];
    sender.write_all(b"one").expect("sent");
    assert_eq!(receiver.read(&mut buffer).expect("delivered"), 3);
    relays.set_cut(0, 1, true);
    sender.write_all(b"two").expect("sent");
    assert!(
        receiver.read(&mut buffer).is_err(),
        "a cut link delivers nothing"
    );
    relays.set_cut(0, 1, false);
    assert_eq!(receiver.read(&mut buffer).expect("delivered late"), 3);
    assert_eq!(&buffer[..3], b"two");
}
