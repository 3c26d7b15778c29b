use super::*;
use crate::connections::LISTENER_RETRY_INTERVAL_S;
use beamhinge_core::http::{Content, Request};
use beamhinge_core::messages::Effect;
use beamhinge_core::settings::ExternalServices;
use beamhinge_core::types::RequestId;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Service that answers every request with half a megabyte and counts the requests.
struct LargeAnswers(Arc<AtomicUsize>);

impl Service for LargeAnswers {
    fn on_request(
        &mut self,
        _: Time,
        _: WallMs,
        _: usize,
        to: RequestId,
        _: Request,
        out: &mut Vec<Effect>,
    ) {
        self.0.fetch_add(1, Ordering::Relaxed);
        let (content, body) = (Content::Text, vec![b'x'; 512 * 1024]);
        out.push(Effect::AdminAnswer {
            to,
            status: 200,
            retry_after: None,
            content,
            body,
        });
    }
    fn on_reply(
        &mut self,
        _: Time,
        _: WallMs,
        _: CallId,
        _: Option<(u16, Vec<u8>)>,
        _: &mut Vec<Effect>,
    ) {
    }
    fn on_tick(&mut self, _: Time, _: WallMs, _: &mut Vec<Effect>) {}
}

fn free_address() -> SocketAddrV4 {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    match socket.local_addr().expect("bound") {
        std::net::SocketAddr::V4(a) => a,
        other => panic!("{other}"),
    }
}

/// Guards against a controller that fails to start, and is restarted endlessly, because the
/// address of its admin API is in use.
#[test]
fn occupied_admin_address_does_not_stop_the_service() {
    let occupying_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let std::net::SocketAddr::V4(addr) = occupying_listener.local_addr().expect("bound") else {
        panic!("the address is not IPv4")
    };
    let config = |kind| NetworkConfig {
        listeners: vec![Listener { addr, kind }],
        peers: None,
        members: Vec::new(),
        external: ExternalServices {
            cloud: addr,
            state: addr,
        },
        max_connections: 100,
    };
    let create_service = |_| LargeAnswers(Arc::default());
    let mut event_loop = EventLoop::new(
        config(ListenerKind::Admin { max_connections: 1 }),
        create_service,
    )
    .expect("starts without the admin listener");
    assert!(event_loop.listeners[0].is_none());
    drop(occupying_listener);
    event_loop.retry_listeners(event_loop.now().plus(LISTENER_RETRY_INTERVAL_S));
    assert!(
        event_loop.listeners[0].is_some(),
        "the listener is opened once the address is free"
    );
    drop(event_loop);
    let occupying_listener = TcpListener::bind(addr).expect("free again");
    assert!(
        EventLoop::new(config(ListenerKind::Platform), create_service).is_err(),
        "the platform listener is required"
    );
    drop(occupying_listener);
}

/// Runs an event loop in a separate thread. Returns its address, the number of served requests,
/// the flag that stops it when set to false, and the thread.
fn serve_in_thread(
    kind: ListenerKind,
    max_connections: usize,
) -> (
    SocketAddrV4,
    Arc<AtomicUsize>,
    Arc<AtomicBool>,
    std::thread::JoinHandle<()>,
) {
    let addr = free_address();
    let unused_address = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
    let network = NetworkConfig {
        listeners: vec![Listener { addr, kind }],
        peers: None,
        members: Vec::new(),
        external: ExternalServices {
            cloud: unused_address,
            state: unused_address,
        },
        max_connections,
    };
    let (served, keep_running) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(true)),
    );
    let (count, thread_keep_running) = (served.clone(), keep_running.clone());
    let thread = std::thread::spawn(move || {
        let event_loop = EventLoop::new(network, |_| LargeAnswers(count)).expect("listens");
        event_loop
            .run_while(|| thread_keep_running.load(Ordering::Relaxed))
            .expect("runs");
    });
    (addr, served, keep_running, thread)
}

/// With more workers than connections, each worker is served because connections are closed after
/// the answer near the limit.
#[test]
fn workers_near_the_connection_limit_take_turns() {
    let (addr, _served, keep_running, thread) = serve_in_thread(ListenerKind::Platform, 60);
    let until = Instant::now() + Duration::from_secs(20);
    let (mut kept_open, mut closed) = (Vec::new(), 0);
    while kept_open.len() + closed < 150 && Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(addr) else {
            continue;
        };
        let sent = stream.write_all(b"POST /hello HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        let mut answer = [0u8; 512];
        let n = match sent.and_then(|()| stream.read(&mut answer)) {
            Ok(n) if n > 0 => n,
            _ => continue,
        };
        let text = String::from_utf8_lossy(&answer[..n]).to_lowercase();
        match text.contains("connection: close") {
            true => closed += 1,
            false => kept_open.push(stream),
        }
    }
    keep_running.store(false, Ordering::Relaxed);
    thread
        .join()
        .expect("event loop thread ends without a panic");
    assert_eq!(kept_open.len() + closed, 150, "not all workers were served");
    assert!(
        closed > 100 && kept_open.len() < 60,
        "{closed} closed, {} kept",
        kept_open.len()
    );
}

/// Guards against unbounded buffering of answers for a client that pipelines requests and never
/// reads.
#[test]
fn client_that_never_reads_gets_no_further_answers() {
    let (addr, served, keep_running, thread) =
        serve_in_thread(ListenerKind::Admin { max_connections: 4 }, 200);
    let until = Instant::now() + Duration::from_secs(20);
    let mut stream = loop {
        match TcpStream::connect(addr) {
            Ok(s) => break s,
            Err(_) if Instant::now() < until => std::thread::sleep(Duration::from_millis(5)),
            Err(e) => panic!("{e}"),
        }
    };
    let request_count = 200usize;
    for _ in 0..request_count {
        stream
            .write_all(b"GET / HTTP/1.1\r\n\r\n")
            .expect("the request fits into the socket buffer");
    }
    std::thread::sleep(Duration::from_millis(500));
    let served_before_reading = served.load(Ordering::Relaxed);
    // The socket buffers of both ends hold a few megabytes, not a hundred.
    assert!(
        (1..60).contains(&served_before_reading),
        "{served_before_reading} requests were served for a client that does not read"
    );
    // Once the client reads, all requests are served.
    let mut bytes_left = request_count * (512 * 1024);
    let mut chunk = vec![0u8; 256 * 1024];
    while bytes_left > 0 && Instant::now() < until {
        let n = stream
            .read(&mut chunk)
            .expect("the server continues to send");
        bytes_left = bytes_left.saturating_sub(n);
    }
    assert_eq!(served.load(Ordering::Relaxed), request_count);
    keep_running.store(false, Ordering::Relaxed);
    thread
        .join()
        .expect("event loop thread ends without a panic");
}
