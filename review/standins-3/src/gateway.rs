//! Gateway processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use crate::http::Conn;

/// Settings of a deployment like the smaller ones of the users.
pub struct Site<'a> {
    pub zones: &'a [&'a str],
    pub memory_mb: u64,
    pub store: SocketAddr,
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

static HOSTS: AtomicU8 = AtomicU8::new(1);

/// A loopback IP address for one machine; the processes on it use fixed and free ports.
fn machine_ip() -> String {
    let [a, b] = (std::process::id() as u16).to_be_bytes();
    let host = HOSTS.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}.{host}", 100 + a % 100, b)
}

fn free(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

impl Gateway {
    pub fn start(site: &Site<'_>, name: &str, zone: &str, dir: &Path) -> io::Result<Self> {
        let ip = machine_ip();
        let (front, ready, peers) = (free(&ip)?, free(&ip)?, free(&ip)?);
        let zones: Vec<String> = site.zones.iter().map(|z| format!("\"{z}\":\"r\"")).collect();
        let zones = zones.join(",");
        let (store, memory, port) = (site.store, site.memory_mb, peers.port());
        let text = format!(
            r#"{{"NodeName":"{name}","Role":"gateway","MachineClass":"frontend","Serves":["frontend"],
"Ip":"{ip}","Zone":"{zone}","Region":"r","Zones":{{{zones}}},
"Listen":{{"Front":"{front}","ReadyAddr":"{ready}"}},"PortRange":[{port},{port}],
"Seeds":[],"Bootstrap":true,"LossCounts":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":{memory},"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"FaultTolerance":{{"Machines":2,"Zones":1,"Regions":0}},
"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"SyncS":4,"DrainMs":2000,
"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"MaxStretchMs":5000,
"RetryRatio":0.2,"RetryWindowS":10,"RetrySlack":56,"RecoverS":12,"PassMs":120,"RetryAfterS":0,
"RequireFence":true,"LeaseMs":3000,"UnfreezeSlackMs":300,"CeilingWindowS":5,"LoadRateFactor":1.1,
"version_ms":5000}},
"Platform":{{"Address":"{store}","form":"log","WritesPerS":400,"ReadsPerS":2000,"parts":24,
"AppendMs":1.0,"PartBwS":20.0,"ReadBwS":80.0,"RecordBytes":262144,"CallBytes":2097152,
"keep_s":300,"PartMb":200,"TtlMinMs":1000}}}}"#
        );
        let settings = dir.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let mut gateway = Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
        };
        gateway.run()?;
        Ok(gateway)
    }

    /// Starts the process.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/caraway-gateway")
            .args(["--metrics-port", "9464"])
            .env("CARAWAYWORKS_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process as the platform does (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Waits until the instance answers the platform's readiness check with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(mut conn) = Conn::connect(self.ready) {
                conn.stream.set_read_timeout(Some(Duration::from_secs(1))).ok();
                conn.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n").ok();
                if let Ok(Some(head)) = conn.read_head()
                    && head.status() == 200
                {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
