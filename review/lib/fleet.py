"""Stand-ins of the cloud and of its machines with their workers, by the protocol page."""

import threading
import time
from urllib.parse import parse_qs

import http_
from http_ import Client, Closed, serve


class Task:
    def __init__(self, piece, attempt):
        self.piece, self.attempt = piece, attempt
        self.status, self.cause, self.saved = "pulling", None, None
        self.ends = None

    def report(self):
        entry = {"piece": self.piece, "try": self.attempt, "status": self.status}
        if self.status == "exited":
            entry["cause"] = self.cause
            if self.saved is not None:
                entry["saved"] = self.saved
        return entry


class Worker:
    """The worker of one machine. `jobs` has the descriptions that users uploaded, with the true
    run time of a task as `runS`."""

    def __init__(self, name, shape, zone, spot, controllers, jobs, log, report_s, lease_s):
        self.name, self.shape, self.zone, self.spot = name, shape, zone, spot
        self.controllers, self.jobs, self.log = controllers, jobs, log
        self.report_s, self.lease_s = report_s, lease_s
        self.lock = threading.RLock()
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.begun = time.monotonic()
        self.renewed = None
        self.alive = True
        self.changed = threading.Event()
        self.endpoint = f"127.0.0.1:{serve(self._direct)}"
        threading.Thread(target=self._reports, daemon=True).start()
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        with self.lock:
            self.alive = False
            for task in self.tasks.values():
                if task.status in ("running", "saving"):
                    self.log("gone", self.name, task.piece, task.attempt)
            self.tasks = {}

    def _report(self):
        self.tick += 1
        return {"host": self.name, "endpoint": self.endpoint, "shape": self.shape["label"],
                "yard": self.zone, "loaners": self.spot, "tenure": self.tenure,
                "tick": self.tick, "baton": self.baton, "reclaimInS": None,
                "pieces": [task.report() for task in self.tasks.values()]}

    def _used(self):
        used = [0.0, 0.0]
        for task in self.tasks.values():
            if task.status != "exited":
                job = self.jobs.get(task.piece.split("/")[0])
                used[0] += job["vcpus"]
                used[1] += job["memoryGb"]
        return used

    def _execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self._start(order)
            elif order["verb"] == "kill" and task and task.status != "exited":
                self._exit(task, "stopped", saved=False)
            elif order["verb"] == "clear" and task and task.status == "exited":
                del self.tasks[key]
        if orders:
            self.changed.set()

    def _start(self, order):
        task = Task(order["piece"], order["try"])
        self.tasks[(task.piece, task.attempt)] = task
        job = self.jobs.get(task.piece.split("/")[0])
        cpus, memory = self._used() if job else (0, 0)
        if job is None or int(task.piece.split("/")[1]) >= job["pieces"]:
            task.status, task.cause = "exited", "unknown"
        elif any(t.piece == task.piece and t is not task and t.status != "exited"
                 for t in self.tasks.values()):
            task.status, task.cause = "exited", "in_use"
        elif cpus > self.shape["vcpus"] + 1e-6 or memory > self.shape["memoryGb"] + 1e-6:
            task.status, task.cause = "exited", "full"
        else:
            cached = job["bundle"] in self.images
            fetch = 0.01 if cached else job["imageGb"] / self.shape["fetchGbPerS"]
            task.ends = time.monotonic() + fetch

    def _exit(self, task, cause, saved=None):
        if task.status in ("running", "saving"):
            self.log("exit", self.name, task.piece, task.attempt, cause)
        task.status, task.cause, task.saved = "exited", cause, saved

    def _run(self):
        while self.alive:
            time.sleep(0.05)
            with self.lock:
                now = time.monotonic()
                last = self.renewed if self.renewed is not None else self.begun
                if now - last > self.lease_s:
                    for task in self.tasks.values():
                        if task.status in ("running", "saving"):
                            self.log("lease", self.name, task.piece, task.attempt)
                    self.tasks = {}
                    self.tenure += 1
                    self.tick = 0
                    self.begun, self.renewed = now, None
                    self.changed.set()
                for task in self.tasks.values():
                    if task.ends is None or now < task.ends:
                        continue
                    job = self.jobs[task.piece.split("/")[0]]
                    if task.status == "pulling":
                        self.images.add(job["bundle"])
                        task.status = "running"
                        standing = job["jobKind"] == "standing"
                        task.ends = None if standing else now + job["runS"]
                        self.log("start", self.name, task.piece, task.attempt)
                        self.changed.set()
                    elif task.status == "running":
                        task.ends = None
                        self._exit(task, "done")
                        self.changed.set()

    def _reports(self):
        at, connection, last = 0, None, 0.0
        names = sorted(self.controllers)
        while self.alive:
            wait = last + self.report_s - time.monotonic()
            if wait > 0 and self.changed.wait(wait):
                time.sleep(max(0.0, last + 0.5 - time.monotonic()))
            self.changed.clear()
            with self.lock:
                report, tenure = self._report(), self.tenure
            last = sent = time.monotonic()
            status, answer = None, None
            try:
                if connection is None or not connection.open:
                    connection = Client(self.controllers[names[at]], 4.0)
                status, answer = connection.request("POST", "/hello", report, timeout=4.0)
            except (OSError, Closed):
                connection = None
            if time.monotonic() - sent > 4.0:
                status = None
            if status == 200 and isinstance(answer, dict):
                with self.lock:
                    baton = answer.get("baton")
                    if baton is not None and baton >= self.baton and tenure == self.tenure:
                        if baton > self.baton:
                            self.baton = baton
                            self.changed.set()
                        self.renewed = sent
                        self._execute(answer.get("orders") or [])
                continue
            if connection is not None:
                connection.close()
            foreman = answer.get("foreman") if status == 421 and isinstance(answer, dict) else None
            if foreman in names and foreman != names[at]:
                at, last = names.index(foreman), 0.0
                time.sleep(0.1)
            else:
                at = (at + 1) % len(names)
                time.sleep(1.0)
                last = 0.0

    def _direct(self, method, path, body):
        with self.lock:
            if not self.alive:
                return None
            if path == "/status":
                return 200, self._report()
            if path != "/do" or not isinstance(body, dict):
                return 400, {}
            if body.get("baton") is None or body.get("tenure") is None:
                return 400, {}
            if body["baton"] < self.baton:
                return 409, self._report()
            if body["baton"] > self.baton:
                self.baton = body["baton"]
                self.changed.set()
            if body["tenure"] != self.tenure:
                return 409, self._report()
            self._execute(body.get("orders") or [])
            return 200, self._report()


class Cloud:
    """Rents machines up to `capacity` of each (type, zone, kind); `new_worker(name, shape, zone,
    spot)` starts the worker of a machine that is up."""

    def __init__(self, shapes, zones, capacity, new_worker, boot_factor=1.0):
        self.shapes, self.zones, self.capacity = shapes, zones, capacity
        self.new_worker, self.boot_factor = new_worker, boot_factor
        self.lock = threading.RLock()
        self.machines, self.rentals, self.last = {}, {}, 0

    def port(self):
        return serve(self._handle)

    def add(self, label, zone, spot, booted=False):
        """Adds a machine; one that is `booted` is up at once."""
        with self.lock:
            self.last += 1
            name = f"n-{self.last:06d}"
            machine = {"label": label, "zone": zone, "spot": spot, "worker": None,
                       "at": time.monotonic(), "gone": False}
            self.machines[name] = machine
        shape = self.shapes[label]
        if booted:
            machine["worker"] = self.new_worker(name, shape, zone, spot)
        else:
            timer = threading.Timer(shape["bootS"] * self.boot_factor, self._boot, (name,))
            timer.daemon = True
            timer.start()
        return name

    def _boot(self, name):
        with self.lock:
            machine = self.machines.get(name)
            if machine and not machine["gone"]:
                machine["worker"] = self.new_worker(
                    name, self.shapes[machine["label"]], machine["zone"], machine["spot"])

    def _handle(self, method, path, body):
        path, _, query = path.partition("?")
        query = {name: values[0] for name, values in parse_qs(query).items()}
        with self.lock:
            if path == "/flavors":
                return 200, {"shapes": [dict(shape, yards=self.zones)
                                        for shape in self.shapes.values()]}
            if path == "/hosts" and method == "POST":
                if body["rental"] in self.rentals:
                    return 200, {"hosts": self.rentals[body["rental"]]}
                place = (body["shape"], body["yard"], body["loaners"])
                used = sum((m["label"], m["zone"], m["spot"]) == place
                           for m in self.machines.values())
                count = min(body["howMany"], 50, self.capacity.get(place, 0) - used)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                names = [self.add(*place) for _ in range(count)]
                self.rentals[body["rental"]] = names
                return 200, {"hosts": names}
            if path == "/hosts/release":
                for name in body["hosts"]:
                    machine = self.machines.pop(name, None)
                    if machine:
                        machine["gone"] = True
                        if machine["worker"]:
                            machine["worker"].stop()
                return 200, {}
            if path == "/hosts":
                most = min(int(query.get("most", 500)), 500)
                names = sorted(n for n in self.machines if n > query.get("since", ""))
                hosts = []
                for name in names[:most]:
                    machine = self.machines[name]
                    worker = machine["worker"]
                    hosts.append({
                        "nameId": name, "endpoint": worker.endpoint if worker else "127.0.0.1:1",
                        "shape": machine["label"], "yard": machine["zone"],
                        "loaners": machine["spot"],
                        "status": "running" if worker else "starting",
                        "heldS": time.monotonic() - machine["at"]})
                return 200, {"hosts": hosts, "more": len(names) > most}
        return 400, {}
