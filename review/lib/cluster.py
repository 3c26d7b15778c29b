"""Three controllers as separate processes by the deploy file, with stand-ins around them."""

import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from fleet import Cloud, Worker
from http_ import Client, Closed
from state import State

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The site file tradeledger-prairie: three small controllers, and its machines and limits.
ZONES = ["regina", "saskatoon"]
NODES = {"worker-0": "regina", "worker-1": "saskatoon", "worker-2": "regina"}
SHAPES = {
    "gopher": {"label": "gopher", "vcpus": 8.0, "cards": 0.0, "memoryGb": 32.0, "cacheGb": 60.0,
               "fetchGbPerS": 0.4, "rate": 0.53, "lowPrice": 0.16, "bootS": 35.0},
    "bison": {"label": "bison", "vcpus": 64.0, "cards": 0.0, "memoryGb": 256.0, "cacheGb": 70.0,
              "fetchGbPerS": 0.4, "rate": 4.11, "lowPrice": 1.23, "bootS": 25.0},
}
CAPACITY = {("gopher", "regina", False): 1, ("gopher", "saskatoon", False): 1,
            ("gopher", "regina", True): 13, ("gopher", "saskatoon", True): 13,
            ("bison", "regina", False): 1, ("bison", "saskatoon", False): 1,
            ("bison", "regina", True): 1, ("bison", "saskatoon", True): 1}
REPORT_S, LEASE_S, CANCEL_S = 1.0, 10.0, 40.0
STATE = {"rps": 100.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20}

SETTINGS = """\
label = "{label}"
area = "{area}"
public_addr = "127.0.0.1:{public}"
peer_bind = "127.0.0.1:{peer}"
{members}
[external]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[params]
nodes = 3
zones = ["regina", "saskatoon"]
skew_ms = 1000.0

[[params.teams]]
name = "records-ops"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[params.objectives]]
kind = "wait"
class = "eligibility"
within_s = 8.0
share = 0.96

[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 40.0

[params.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 20

[params.cloud]
rps = 5.0
list_lag_s = 4.0

[params.machine_limits]
cpu_share = 0.04
ram_mb = 40.0
max_connections = 600
"""


def free_ports(count):
    """Ports below the range of outgoing connections that nobody listens on."""
    found, port = [], 10_000 + os.getpid() * 7 % 20_000
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


class CannotRun(Exception):
    """The case could not run."""


class Cluster:
    def __init__(self, record):
        self.begun = time.monotonic()
        self.lines, self.record_lock = open(record, "w", buffering=1), threading.Lock()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.jobs, self.processes, self.workers = {}, {}, []
        self.state = State(**STATE)
        self.cloud = Cloud(SHAPES, ZONES, dict(CAPACITY), self._worker)
        ports = free_ports(2 * len(NODES))
        self.public = dict(zip(NODES, ports))
        self.peer = dict(zip(NODES, ports[len(NODES):]))
        # What the other controllers are told as a controller's address: its own by default.
        self.peer_address = lambda of, seen_by: self.peer[of]
        # Which port workers and users reach a controller at.
        self.log("settings", f"trouble={int(TROUBLE)}")

    def log(self, *words):
        with self.record_lock:
            at = time.monotonic() - self.begun
            print(f"{at:8.3f}", *words, file=self.lines)

    def at(self):
        return time.monotonic() - self.begun

    def _worker(self, name, shape, zone, spot):
        worker = Worker(name, shape, zone, spot, self.public, self.jobs,
                        lambda *words: self.log("run", *words), REPORT_S, LEASE_S)
        self.workers.append(worker)
        return worker

    def command(self):
        for line in (ROOT / "deploy/service.toml").read_text().splitlines():
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return shlex.split(json.loads(value.strip()))
        raise CannotRun("deploy/service.toml names no command")

    def start(self):
        cloud = self.cloud.port()
        command = self.command()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        for label, area in NODES.items():
            members = "".join(
                f'\n[[members]]\nlabel = "{other}"\narea = "{NODES[other]}"\n'
                f'addr = "127.0.0.1:{self.peer_address(other, label)}"\n'
                for other in NODES if other != label)
            path = self.folder / f"{label}.toml"
            path.write_text(SETTINGS.format(
                label=label, area=area, public=self.public[label], peer=self.peer[label],
                members=members, cloud=cloud, state=self.state.port(label)))
            self.start_controller(label)
        for label in NODES:
            self.wait_until(lambda: self.healthy(label), 20, f"{label} is not healthy")
        self.wait_until(self.state.leader, 20, "no controller leads")
        self.log("cluster", "up, leader", self.state.leader())

    def start_controller(self, label):
        self.processes[label] = subprocess.Popen(
            [*self.command(), str(self.folder / f"{label}.toml")], cwd=ROOT,
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
            stderr=open(self.folder / f"{label}.log", "ab"), start_new_session=True)

    def log_of(self, label):
        return (self.folder / f"{label}.log").read_text(errors="replace").splitlines()

    def healthy(self, label, timeout=1.0):
        try:
            client = Client(self.public[label], timeout)
            status, _ = client.request("GET", "/up", timeout=timeout)
            client.close()
            return status == 200
        except (OSError, Closed):
            return False

    def wait_until(self, condition, seconds, otherwise):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.1)
        raise CannotRun(otherwise)

    def ask(self, label, method, path, value=None, timeout=5.0):
        """One request over a connection of its own; status None when no answer comes."""
        try:
            client = Client(self.public[label], timeout)
            answer = client.request(method, path, value, timeout)
            client.close()
            return answer
        except (OSError, Closed):
            return None, None

    def job(self, number, **fields):
        """Uploads a description and returns it as it is submitted."""
        job = {"nameId": f"job-{number:06d}", "jobClass": "eligibility", "owner": "records-ops",
               "jobKind": "batch", "urgency": "high", "pieces": 1, "vcpus": 2.0, "cards": 0.0,
               "memoryGb": 7.0, "bundle": "img-01", "imageGb": 1.2, "shapes": None, "yard": None,
               "oneZone": False, "apart": False, "loaners": True, "expectS": 15.0,
               "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": None}
        run_s = fields.pop("runS", 15.0)
        job.update(fields)
        self.jobs[job["nameId"]] = dict(job, runS=run_s)
        return job

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
            process.wait()
        for label in NODES:
            for line in self.log_of(label):
                if "ERROR" in line or "WARN" in line:
                    self.log("log", label, line.strip())
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, record):
    """Runs `case(cluster)`, which returns whether the rule held, and exits with the result."""
    cluster = Cluster(record)
    watchdog = threading.Timer(118, lambda: (cluster.log("result", "out of time"),
                                             [p.kill() for p in cluster.processes.values()],
                                             os._exit(COULD_NOT_RUN)))
    watchdog.daemon = True
    watchdog.start()
    result = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        held = case(cluster)
        result = HELD if held else BROKEN
    except CannotRun as error:
        cluster.log("cannot run:", error)
        print(f"cannot run: {error}", file=sys.stderr)
    finally:
        cluster.stop()
    cluster.log("result", {0: "held", 1: "broken", 2: "could not run"}[result])
    os._exit(result)
