//! A small deployment: the store, plain replicas, and gateways as processes of their own.

use std::{
    ffi::{c_int, c_void},
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::fd::FromRawFd,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Client, Request, Response, serve_unless},
    store::Store,
};

/// Host of all routes.
pub const HOST: &str = "desk.example";
const ZONES: [&str; 3] = ["tt-north-a", "tt-north-b", "tt-north-c"];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;

/// The record of a run, `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:8.3} s  {}\n",
            self.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
        print!("{line}");
        self.file
            .lock()
            .expect("lock")
            .write_all(line.as_bytes())
            .ok();
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Gateway {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(i32::try_from(self.child.id()).expect("a pid"), signal) };
    }

    /// Returns the memory that the process has resident, in MB.
    pub fn resident_mb(&self) -> f64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line
            .and_then(|l| l.trim().strip_suffix(" kB"))
            .and_then(|n| n.trim().parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut client = Client::connect(self.ready)?;
            client.send("GET", "ready", "/v1/readyz", "0", 1000, b"")?;
            Ok(client.read(|_| {})?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

const READY: u8 = 0;
const LEAVING: u8 = 1;
const ENDED: u8 = 2;
const DOWN: u8 = 3;

/// A replica of service `desk`.
#[derive(Clone)]
pub struct Replica {
    pub id: &'static str,
    fields: String,
    state: Arc<AtomicU8>,
}

impl Replica {
    fn register(&self, store: &Store, state: &str, seq: u64) {
        let entry = format!(r#"{{{},"State":"{state}","Seq":{seq}}}"#, self.fields);
        store.put("keyed.servers", self.id, &entry);
    }

    /// Reports that the replica is draining, which the store has accepted when this returns; from then on
    /// its answers say so too.
    pub fn leave(&self, store: &Store) {
        self.register(store, "draining", 1_000_000);
        self.state.store(LEAVING, Ordering::SeqCst);
    }

    /// Makes the replica fall over: it drops all connections, and is back after `time`.
    pub fn fall(&self, time: Duration) {
        self.state.store(DOWN, Ordering::SeqCst);
        let state = self.state.clone();
        thread::spawn(move || {
            thread::sleep(time);
            state.store(READY, Ordering::SeqCst);
        });
    }

    /// Ends the replica and removes its entry.
    pub fn end(&self, store: &Store) {
        self.state.store(ENDED, Ordering::SeqCst);
        store.put("keyed.servers", self.id, "");
    }
}

/// A deployment; dropping it ends its processes.
pub struct Site {
    pub store: Store,
    store_addr: SocketAddr,
    pub gateways: Vec<Gateway>,
    dir: PathBuf,
    base: [u8; 2],
}

impl Site {
    /// Starts the store and writes the configuration: route `PREFIX` of [`HOST`] to service `desk`, of the
    /// given kind and time-out.
    pub fn new(kind: &str, timeout_ms: u64) -> io::Result<Self> {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.subsec_nanos());
        let base = [
            10 + (nanos / 1000 % 200) as u8,
            (nanos / 200_000 % 250) as u8,
        ];
        let dir = std::env::temp_dir().join(format!("review-2-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let (store, store_addr) = Store::start(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?);
        store.put(
            "keyed.op",
            "config",
            &format!(
                r#"{{"Version":3,"Routes":[{{"Name":"r1","Host":"{HOST}","PathPrefix":"/desk/","Service":"desk","Kind":"{kind}","TimeoutMs":{timeout_ms},"GoalMs":150,"Priority":0,"MaxAttempts":1}}],"Services":[{{"Name":"desk"}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
            ),
        );
        Ok(Self {
            store,
            store_addr,
            gateways: Vec::new(),
            dir,
            base,
        })
    }

    /// Starts a plain replica of service `desk` and registers it, with a heartbeat every 1.2 s.
    pub fn start_replica<F>(
        &self,
        id: &'static str,
        zone: usize,
        slots: usize,
        handle: F,
    ) -> io::Result<Replica>
    where
        F: Fn(Request) -> Response + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let state = Arc::new(AtomicU8::new(READY));
        let (ended, answering) = (state.clone(), state.clone());
        let is_cut = move |_| ended.load(Ordering::SeqCst) >= ENDED;
        serve_unless(listener, is_cut, move |request| {
            if request.path() == "/healthz" {
                return Response::new(200, "").with("x-replica-id", id);
            }
            let expected = request.header("x-expect-replica");
            if !expected.is_empty() && expected != id {
                return Response::new(421, "").with("x-attempt-id", request.header("x-attempt-id"));
            }
            let attempt = request.header("x-attempt-id").to_owned();
            let response = handle(request);
            let response = response
                .with("x-attempt-id", attempt)
                .with("x-server-seal", format!("{id}.seal"));
            if answering.load(Ordering::SeqCst) == READY {
                return response;
            }
            response.with("server-leaving", 1)
        });
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let fields = format!(
            r#""Service":"desk","Address":"{addr}","Zone":"{}","Version":"v1","Slots":{slots},"ColdLeftMs":0,"born":{born}"#,
            ZONES[zone]
        );
        let replica = Replica {
            id,
            fields,
            state: state.clone(),
        };
        let (store, beating) = (self.store.clone(), replica.clone());
        thread::spawn(move || {
            for seq in 1.. {
                match state.load(Ordering::SeqCst) {
                    READY => beating.register(&store, "ready", seq),
                    LEAVING => beating.register(&store, "draining", seq),
                    DOWN => {}
                    _ => return,
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
        Ok(replica)
    }

    /// Keeps an entry of a replica of another service in the registry.
    pub fn register_other(&self, n: usize) {
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(130) * u32::try_from(n).unwrap_or(0));
            for seq in 1.. {
                let entry = format!(
                    r#"{{"Service":"other","Address":"127.0.0.1:{}","Zone":"{}","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":{seq},"born":17}}"#,
                    1 + n,
                    ZONES[n % 3]
                );
                store.put("keyed.servers", &format!("i-other{n}"), &entry);
                thread::sleep(Duration::from_millis(1200));
            }
        });
    }

    /// Starts a gateway with the command of the deploy file, on a loopback address of its own.
    pub fn start_gateway(&mut self) -> io::Result<()> {
        let n = self.gateways.len();
        let ip = Ipv4Addr::new(127, self.base[0], self.base[1], 2 + n as u8);
        let free = || -> io::Result<SocketAddr> { TcpListener::bind((ip, 0))?.local_addr() };
        let (front, ready, peers) = (free()?, free()?, free()?);
        let zone = ZONES[n % 3];
        let name = format!("frontend-{zone}-{}", n / 3 + 1);
        let settings = format!(
            r#"{{"NodeName":"{name}","Role":"gateway","MachineClass":"frontend","Serves":["frontend"],"Ip":"{ip}","Zone":"{zone}","Region":"tt-north","Zones":{{"tt-north-a":"tt-north","tt-north-b":"tt-north","tt-north-c":"tt-north"}},"Listen":{{"Front":"{front}","ReadyAddr":"{ready}"}},"PortRange":[{0},{0}],"Seeds":[],"Bootstrap":true,"LossCounts":false,"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,"Contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],"FaultTolerance":{{"Machines":2,"Zones":1,"Regions":0}},"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"SyncS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"MaxStretchMs":5000,"RetryRatio":0.2,"RetryWindowS":10,"RetrySlack":56,"RecoverS":12,"PassMs":120,"RetryAfterS":0,"RequireFence":true,"LeaseMs":3000,"UnfreezeSlackMs":300,"CeilingWindowS":5,"LoadRateFactor":1.1,"version_ms":5000}},"Platform":{{"Address":"{1}","form":"log","WritesPerS":400,"ReadsPerS":2000,"parts":24,"AppendMs":1.0,"PartBwS":20.0,"ReadBwS":80.0,"RecordBytes":262144,"CallBytes":2097152,"keep_s":300,"PartMb":200,"TtlMinMs":1000}}}}"#,
            peers.port(),
            self.store_addr,
        );
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = File::create(self.dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/caraway-gateway")
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("CARAWAYWORKS_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.gateways.push(Gateway {
            name,
            front,
            ready,
            child,
        });
        Ok(())
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.gateways.iter().all(Gateway::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the log of a gateway.
    pub fn log_of(&self, n: usize) -> String {
        fs::read_to_string(self.dir.join(format!("{}.log", self.gateways[n].name)))
            .unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.dir).ok();
        }
    }
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn connect(fd: c_int, addr: *const c_void, len: u32) -> c_int;
}

/// Connects with a receive buffer of `buffer` bytes and segments of at most 1460 bytes.
pub fn connect_small(addr: SocketAddr, buffer: c_int) -> io::Result<TcpStream> {
    let SocketAddr::V4(addr) = addr else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // struct sockaddr_in of Linux.
    let mut name = [0_u8; 16];
    name[..2].copy_from_slice(&2_u16.to_ne_bytes());
    name[2..4].copy_from_slice(&addr.port().to_be_bytes());
    name[4..8].copy_from_slice(&addr.ip().octets());
    // SAFETY: plain calls of the C library with buffers that live long enough.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let mss: c_int = 1460;
        // SOL_SOCKET, SO_RCVBUF; IPPROTO_TCP, TCP_MAXSEG.
        setsockopt(fd, 1, 8, (&raw const buffer).cast(), 4);
        setsockopt(fd, 6, 2, (&raw const mss).cast(), 4);
        if connect(fd, name.as_ptr().cast(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
