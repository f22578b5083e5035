"""A small deployment for the cases of the second review.

The daemons are started with the commands of deploy/system.toml and with settings rendered from its
templates, as separate processes on loopback addresses. The table service and the workers are the
project's own stand-ins (tests/rig/standins.py), extended by what a case needs.
"""

import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from standins import Store, Worker, call  # noqa: E402

PR_SET_PDEATHSIG = 1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """record.txt: one line per event, flushed at once."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def add(self, *words):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} s  {' '.join(map(str, words))}\n")
            self.file.flush()


def free_net():
    """Second number of 127.N.0.0/16, none of whose ports used here is taken."""
    for net in random.sample(range(60, 250), 190):
        try:
            for host, port in ((250, 8169), (1, 7720), (1, 8165), (1, 8166), (101, 8161)):
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.0.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class MachineWorker(Worker):
    """Worker with labels of its own, whose machine's time of day may be wrong.

    Its events go into the record. clock_offset_ms is what the machine's time of day is ahead of
    true time; "born" is read from it at each start, as PROTOCOL.md has it.
    """

    def __init__(self, record, name, number, address, heartbeat_address, cpu, labels):
        self.record, self.name, self.labels = record, name, labels
        self.clock_offset_ms = 0
        self.wait_before_start_s = 0.0
        super().__init__(number, address, heartbeat_address, cpu)

    def start_incarnation(self):
        super().start_incarnation()
        with self.lock:
            self.incarnation = int(time.time() * 1000) + self.clock_offset_ms
        self.record.add(self.name, "starts as", self.id, "born", self.incarnation)

    def _send_heartbeats(self):
        while self.alive:
            if self.mode != "dark" and not self.down_until and self.sends_heartbeats:
                self.beat()
            time.sleep(0.4)

    def heartbeat(self):
        self.seq += 1
        return {"service": "pool", "address": self.app_address, "zone": "z", "version": "v1",
                "capacity": 8, "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0, "labels": self.labels, "seq": self.seq,
                "room": {"cpu": self.cpu, "mem_mb": 16384, "gpu": 0},
                "server_time_ms": self.clock_ms(), "born": self.incarnation}

    app_address = "x"

    def beat(self):
        call("PUT", f"http://{self.heartbeat_address}/instances/{self.id}", self.heartbeat(), 0.5)

    def _start_run(self, body):
        code, answer = super()._start_run(body)
        self.record.add(self.name, "is told to start", body["task"], "run", body["run"], "->", code,
                        answer.get("reason", ""))
        return code, answer

    def _stop_run(self, body):
        self.record.add(self.name, "is told to stop", body["task"], "run", body["run"])
        return super()._stop_run(body)

    def _end_run(self, task, outcome):
        self.record.add(self.name, "ends", task, "run", self.running[task][0], outcome)
        super()._end_run(task, outcome)

    def _drop_runs(self):
        for task, (run, _) in self.running.items():
            self.record.add(self.name, "loses", task, "run", run)
        super()._drop_runs()

    def crash_for(self, down_s):
        """Crashes; starts again under its id after down_s."""
        with self.lock:
            self.record.add(self.name, "crashes")
            self._go_down(down_s, self.id)


def lookup(fields, path):
    for part in path.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields[part]
    return str(fields)


class Deployment:
    """Store, workers with their agents, and entries.

    heartbeat_route(name, address) may return another address to which a worker sends its
    heartbeats in place of the control address of its agent.
    """

    def __init__(self, record_path, workers=4, entries=2, cpu=4000, labels=None, attempts=2,
                 heartbeat_route=None):
        self.record = Record(record_path)
        self.temp = tempfile.mkdtemp(prefix="catkinlug-review-")
        self.net = free_net()
        self.processes = {}
        self.workers = {}
        self.store = None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            if not os.access(os.path.join(ROOT, role["run"].split()[0]), os.X_OK):
                raise CannotRun("the daemons are not built: run the build of the deploy file")
        self.store = Store(self.address(250, 8169))
        self.version = 0
        self.attempts = attempts
        self.put_config()
        for number in range(1, workers + 1):
            name = f"side-{number}"
            beats = self.address(number, 8166)
            if heartbeat_route:
                beats = heartbeat_route(name, beats)
            self.workers[name] = MachineWorker(
                self.record, name, number, self.address(number, 8165), beats, cpu,
                (labels or {}).get(name, ["a", "r1"]))
        for number in range(1, workers + 1):
            self.start("agent", f"side-{number}", number)
        for number in range(1, entries + 1):
            self.start("entry", f"edge-{number}", 100 + number)
        if not self.wait_until(self.is_up, 15):
            raise CannotRun("the deployment does not get ready")

    def address(self, host, port):
        return f"127.{self.net}.0.{host}:{port}"

    def put_config(self, queues=("jobs",)):
        self.version += 3
        routes = [{"name": name, "host": "hub.example", "prefix": f"/{name}/", "service": "pool",
                   "priority": 0, "attempts": self.attempts, "slo_factor": 2, "slo_ms": 1000}
                  for name in queues]
        self.store.put("op", "config", {"version": self.version, "routes": routes,
                                        "services": [{"name": "pool"}], "limits": {}})
        self.record.add("operator writes configuration", self.version, "queues", ",".join(queues))

    def settings(self, role, name, host):
        ip = self.address(host, 0)[:-2]
        fields = {"node_name": name, "ip": ip, "zone": "z", "region": "r",
                  "internal_ports": [7720, 7735], "app": self.address(host, 8165),
                  "platform": {"address": self.address(250, 8169)},
                  "listen_addrs": {"control": f"{ip}:8166", "front": f"{ip}:8161",
                                   "ready": f"{ip}:8167"}}
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as file:
            text = re.sub(r"{{([a-z_.0-9]+)}}", lambda m: lookup(fields, m.group(1)), file.read())
        path = os.path.join(self.temp, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self, role, name, host):
        command = self.roles[role]["run"].split()
        command = [os.path.join(ROOT, command[0])] + \
            [self.settings(role, name, host) if "/etc/" in word else word for word in command[1:]]
        with open(os.path.join(self.temp, f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", "")},
                preexec_fn=lambda: ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL))

    def is_up(self):
        return all(call("GET", f"http://{self.address(100 + n, 8167)}/ready")[0] == 200
                   for n in range(1, 1 + sum(name.startswith("edge") for name in self.processes)))

    def log(self, name):
        with open(os.path.join(self.temp, f"{name}.log"), encoding="utf-8") as file:
            return file.read()

    def wait_until(self, condition, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(0.03)
        return bool(condition())

    def request(self, method, path, body=None, entry=1, timeout=3.0):
        code, answer = call(method, f"http://{self.address(100 + entry, 8161)}{path}", body, timeout,
                            {"Host": "hub.example", "Deadline-Ms": "3000"})
        return code, answer

    def submit(self, job, spec, steps, queue="jobs", entry=1):
        """Submits a job, again after an answer that leaves open whether it is stored."""
        for _ in range(5):
            code, _ = self.request("POST", f"/{queue}/{job}",
                                   {"spec": json.dumps(spec), "steps": steps}, entry)
            self.record.add("client submits", job, "to", queue, "->", code)
            if code == 200:
                return
            time.sleep(0.5)
        raise CannotRun("the job was not accepted")

    def state(self, job, queue="jobs", entry=1):
        code, body = self.request("GET", f"/{queue}/{job}", entry=entry)
        shown = body.get("state", "") if code == 200 else code
        self.record.add("client asks for", job, "->", shown)
        return shown

    def running_on(self, name, job=""):
        worker = self.workers[name]
        with worker.lock:
            return [task for task in worker.running if task.startswith(job)]

    def workers_of(self, job):
        return [name for name in self.workers if self.running_on(name, job)]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)
        for worker in self.workers.values():
            worker.close()
        if self.store:
            self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def overlaps(deployment):
    """Pairs of runs of one task that were at work at the same time, by the workers' histories."""
    events = sorted((event + (name,) for name, worker in deployment.workers.items()
                     for event in list(worker.history) if event[0] != "noted"),
                    key=lambda event: event[1])
    at_work, found = {}, []
    for kind, _, task, run, _, name in events:
        if kind == "start":
            for other in at_work.get(task, {}):
                found.append(f"{task}: run {run} starts on {name} while run {other[0]} is at work "
                             f"on {other[1]}")
            at_work.setdefault(task, {})[(run, name)] = True
        else:
            at_work.get(task, {}).pop((run, name), None)
    return found


def play(record_path, case, limit_s=110, **options):
    """Runs case(deployment), which returns what broke the rule, and exits as a script of a case.

    What was sent, answered and run is written to the file record_path.
    """
    def give_up():
        os.write(2, b"out of time\n")
        os._exit(NOT_RUN)  # the daemons die with this process, see PR_SET_PDEATHSIG

    timer = threading.Timer(limit_s, give_up)
    timer.daemon = True
    timer.start()
    deployment = None
    code = NOT_RUN
    try:
        deployment = Deployment(record_path, **options)
        broken = case(deployment)
        for line in broken:
            deployment.record.add("RULE BROKEN:", line)
        code = BROKEN if broken else HELD
        deployment.record.add("result: the rule", "was broken" if broken else "held",
                              "with" if TROUBLE else "without", "the disruption")
    except CannotRun as problem:
        if deployment:
            deployment.record.add("could not run:", problem)
        print(problem, file=sys.stderr)
    finally:
        if deployment:
            deployment.close()
    print(f"exit {code}")
    sys.exit(code)
