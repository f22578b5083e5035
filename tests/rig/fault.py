"""make fault: runs an example under random faults and checks its history."""

import argparse
import json
import os
import random
import shutil
import sys
import threading
import time

import checker
from deploy import Deployment, http, table_text, wait_for
from faults import FAULTS, PERMANENT_FAULTS, FaultContext, aborted_requests, now_us
from load import Load

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LEASES = {"worker": "4s", "queue": "2s"}
REQUESTS_PER_S = 40
JOBS_PER_S = 3
JOBS_END_TIMEOUT_S = 75
FAULT_GAP_S = (0.4, 1.4)
FAULT_HOLD_S = (0.8, 5.5)
ACTIVE_FAULTS_MAX = 2
OPERATIONS_MIN = 500
TASKS_MIN = 100


def distort_declared_run_times(spec, rng):
    """Sets the declared run time of each job to work_ms times a random factor from 0.1 to 10.

    work_ms is then limited so that jobs end in time.
    """
    for job in spec["jobs"]:
        factor = 10 ** rng.uniform(-1, 1)
        job["run_time"] = f"{max(1, int(job['work_ms'] * factor))}ms"
        job["work_ms"] = min(job["work_ms"], 2500)


class FaultRun:
    """One run: load, faults, table edits and version samples, then recovery and a result."""

    def __init__(self, args):
        self.args = args
        self.rng = random.Random(args.seed)
        self.dir = os.path.join(ROOT, "run", f"fault-{args.example}-{args.seed}")
        shutil.rmtree(self.dir, ignore_errors=True)
        self.deployment = Deployment(os.path.join(ROOT, "examples", f"{args.example}.yaml"),
                                     self.dir,
                                     build=os.path.join(ROOT, os.environ.get("BUILD", "build")),
                                     net=args.net, seed=args.seed, proxied=True,
                                     overrides={"lease": LEASES, "beat": "250ms"})
        distort_declared_run_times(self.deployment.spec, self.rng)
        self.context = FaultContext(self.deployment, self.rng)
        self.context.start_load_peak = self.start_load_peak
        self.context.recent_accepted_jobs = self.recent_accepted_jobs
        self.tally = {name: 0 for name in list(FAULTS) + PERMANENT_FAULTS}
        self.edits = []
        self.versions = []
        self.loads = []
        self.load_ended = threading.Event()

    def recent_accepted_jobs(self):
        """The last 20 accepted jobs that no fault has cancelled."""
        ops = [op for load in self.loads for op in load.read_operations() if op["op"] == "job"]
        return [op for op in ops if op["http"] in (200, 201) and
                op["id"] not in self.context.cancelled][-20:]

    def start_load_peak(self):
        """Starts a load peak: for 2 s, adds twice the request rate to that of the main load."""
        number = len(self.loads)
        self.loads.append(Load(self.deployment, f"swing{number}", self.args.seed * 100 + number, 2,
                               REQUESTS_PER_S * 2, 0, {"get": .6, "post": .4}))
        return "swing"

    def edit_table_once(self, operator, rng):
        entry = rng.randrange(len(self.deployment.entries))
        table = self.deployment.get("/table", entry=entry, timeout=4)
        rows = [dict(row) for row in self.deployment.spec["weights"]]
        shift = rng.randint(0, 5)
        rows[0]["weight"] -= shift
        rows[1]["weight"] += shift
        name = f"{operator}-{time.monotonic_ns()}"
        status, _, body = self.deployment.call(
            "PUT", "/table", table_text(rows),
            {"If-Match": str(table["version"]), "X-Operator": name}, entry=entry, timeout=8)
        if status == 200:
            self.edits.append({"version": json.loads(body)["version"], "by": name})

    def edit_table_until_end(self, operator):
        rng = random.Random(f"{self.args.seed}-{operator}")
        while not self.load_ended.wait(rng.uniform(0.3, 1.2)):
            try:
                self.edit_table_once(operator, rng)
            except (OSError, ValueError, AssertionError):
                continue

    def sample_versions(self):
        """Records the table version that each daemon has in force, every 0.25 s."""
        while not self.load_ended.wait(0.25):
            names = self.deployment.workers + self.deployment.entries
            for name in names:
                process = self.deployment.processes.get(name.replace("worker", "agent"))
                url = (self.deployment.agent_url(name) if name.startswith("worker")
                       else f"http://{self.deployment.ip(name)}:8080")
                try:
                    text = http("GET", f"{url}/metrics", timeout=1)[2].decode()
                except OSError:
                    continue
                version = int(text.split("\ncatkinlug_table_version ")[1].split("\n")[0])
                self.versions.append((name, process.pid if process else 0, version))

    def undo_due_faults(self, active, undo_all=False):
        # An active fault is (time at which it is due to be undone, undo function, target).
        for fault in list(active):
            due_s, undo, target = fault
            if undo_all or time.monotonic() >= due_s:
                undo(self.context, target)
                active.remove(fault)

    def inject_faults(self, until_s):
        names = self.args.faults or list(FAULTS)
        remaining = []
        active = []
        while time.monotonic() < until_s:
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
            self.undo_due_faults(active)
            if len(active) >= ACTIVE_FAULTS_MAX:
                continue
            if not remaining:
                # Each fault is injected once before any fault is injected again.
                remaining = list(names)
                self.rng.shuffle(remaining)
            name = remaining.pop()
            inject, undo = FAULTS[name]
            target = inject(self.context)
            if target is None:
                # It can't be injected at present; it is tried again after the remaining ones.
                remaining.insert(0, name)
                continue
            self.tally[name] += 1
            if self.args.verbose:
                print(f"  {now_us()} {name} {target}", flush=True)
            active.append((time.monotonic() + self.rng.uniform(*FAULT_HOLD_S), undo, target))
        self.undo_due_faults(active, undo_all=True)

    def recover(self):
        """Removes all proxy rules and starts the processes that have ended."""
        for group in list(self.context.proxy_rules):
            self.context.set_proxy_rules(group, None)
        agents = [self.deployment.agent(w) for w in self.deployment.workers]
        for name in self.deployment.workers + self.deployment.entries + agents:
            process = self.deployment.processes.get(name)
            if process is None or process.poll() is not None:
                # A process may also have ended with LUG_EXIT_SUPERSEDED, which is 3.
                if process is not None and process.returncode not in (0, 3):
                    self.context.stops.append((name, process.returncode, "?"))
                self.deployment.processes.pop(name, None)
                self.deployment.start(name)

    def wait_for_jobs(self, ops):
        wanted = {op["id"] for op in ops if op["op"] == "job" and op["http"] in (200, 201)}

        def all_ended():
            jobs = self.jobs()
            rows = {job["id"]: job for job in jobs}
            end_states = ("done", "failed", "cancelled")
            # Jobs whose submission got no answer have to end too.
            return all(i in rows for i in wanted) and all(j["state"] in end_states for j in jobs)
        try:
            wait_for(all_ended, JOBS_END_TIMEOUT_S, "end of all jobs", 0.5)
            return True
        except TimeoutError:
            return False

    def jobs(self):
        jobs = []
        for row in self.deployment.spec["weights"]:
            jobs += self.deployment.get(f"/jobs?team={row['team']}", timeout=8)["jobs"]
        return jobs

    def final_versions(self):
        """Table versions in force on the live workers, once all have the newest or after 9 s."""
        deadline = time.monotonic() + 9
        while True:
            status = self.deployment.get("/status")
            versions = {w["worker"]: w["table_version"] for w in status["workers"]
                        if w["state"] == "live"}
            newest = self.deployment.get("/table/history")["versions"][-1]["version"]
            if len(versions) == len(self.deployment.workers) and \
               set(versions.values()) == {newest}:
                return versions
            if time.monotonic() > deadline:
                return versions
            time.sleep(0.2)

    def service_meters_and_charges(self):
        """Core-ms of the service: (metered, charged), once both are equal or after 10 s.

        (None, 0) if a worker was killed, because its meters are lost.
        """
        def sums():
            meters = 0
            for worker in self.deployment.workers:
                body = http("POST", self.deployment.worker_url(worker) + "/control", "{}")[2]
                meters += sum(json.loads(body)["meters"].values())
            charged = sum(c["service_core_ms"] for c in self.deployment.get("/charges")["charges"])
            return meters, charged
        if self.context.dead_workers:
            return None, 0
        try:
            wait_for(lambda: len(set(sums())) == 1, 10, "equal charges", 0.5)
        except TimeoutError:
            pass
        return sums()

    def fenced_workers(self):
        """Workers that an owner has fenced, from the logs."""
        workers = set()
        for name in os.listdir(self.dir):
            if not name.endswith(".log"):
                continue
            with open(os.path.join(self.dir, name), encoding="utf-8", errors="replace") as file:
                for line in file:
                    if "event=worker_fenced" in line:
                        workers.add(line.split("worker=")[1].split()[0])
        return workers

    def collect(self, ops, ended):
        meters, charged = self.service_meters_and_charges()
        jobs = self.jobs()
        return {
            "history": self.deployment.history(), "ops": ops, "jobs": jobs,
            "edits": self.edits, "table_history": self.deployment.get("/table/history")["versions"],
            "final_versions": self.final_versions(), "versions": self.versions,
            "drains": self.context.drains, "stops": self.context.stops,
            "fenced": self.fenced_workers(),
            "cancelled": self.context.cancelled, "fail_all": self.context.fail_all,
            "all_ended": ended, "metered_service": meters, "charged_service": charged,
            "charged_batch": sum(c["batch_core_ms"]
                                 for c in self.deployment.get("/charges")["charges"]),
        }

    def run_load_and_faults(self):
        self.deployment.start_all()
        duration = self.args.duration
        self.loads.append(Load(self.deployment, "main", self.args.seed, duration, REQUESTS_PER_S,
                               JOBS_PER_S, {"get": .5, "post": .3, "keyed": .2}))
        threads = [threading.Thread(target=self.edit_table_until_end, args=(o,))
                   for o in ("ana", "bob")]
        threads.append(threading.Thread(target=self.sample_versions))
        for thread in threads:
            thread.start()
        self.inject_faults(time.monotonic() + duration)
        self.load_ended.set()
        for thread in threads:
            thread.join()
        self.recover()
        ops = [op for load in self.loads for op in load.wait()]
        self.deployment.wait_ready()
        ended = self.wait_for_jobs(ops)
        return self.collect(ops, ended)

    def run(self):
        stopped = False
        try:
            result = self.run_load_and_faults()
            bad_exits = self.deployment.stop_all()
            stopped = True
            result["stops"] += [(name, code, aborted_requests(self.deployment, name))
                                for name, code in bad_exits.items()]
        finally:
            if not stopped:
                self.deployment.stop_all()
        return result


def events_of_subject(result, subject):
    """The last 25 events and operations of a job, worker or request."""
    records = [e for e in result["history"] if subject in (e["job"], e["worker"], e.get("key"))]
    records += [op for op in result["ops"] if subject in (op["key"], op["id"])]
    records.sort(key=lambda e: e.get("t_us", e.get("due_us", 0)))
    return records[-25:]


def print_summary(result, run, violations):
    """Prints the summary and returns the exit code."""
    answered = sum(1 for op in result["ops"] if op["http"])
    tasks = sum(1 for e in result["history"] if e["event"] == "done")
    injected = sum(run.tally[name] for name in FAULTS)
    for rule, text, subject in violations[:8]:
        print(f"VIOLATION {rule}: {text}")
        for record in events_of_subject(result, subject):
            print(f"    {json.dumps(record)}")
    print("fired: " + " ".join(f"{n}={c}" for n, c in run.tally.items() if c))
    print(f"requests_answered={sum(1 for o in result['ops'] if o['http'] == 200)} "
          f"tasks_done={tasks} edits={len(result['edits'])}")
    print(f"operations={answered} faults={injected} violations={len(violations)} "
          f"seed={run.args.seed}")
    if not injected or not tasks or not answered:
        return 1
    if run.args.duration >= 30 and (answered < OPERATIONS_MIN or tasks < TASKS_MIN):
        print(f"not enough load: at least {OPERATIONS_MIN} operations and {TASKS_MIN} tasks are "
              "required")
        return 1
    return 1 if violations else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=lambda t: [f for f in t.split(",") if f], default=[])
    parser.add_argument("--duration", type=float, default=30)
    parser.add_argument("--example", default="lemnaria")
    parser.add_argument("--net", type=int, default=100)
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--verbose", action="store_true")
    args = parser.parse_args()
    if args.list:
        print("\n".join(list(FAULTS) + PERMANENT_FAULTS))
        return 0
    unknown = [name for name in args.faults if name not in FAULTS]
    if unknown:
        print(f"unknown faults {unknown}; make fault-list prints their names")
        return 2
    run = FaultRun(args)
    result = run.run()
    run.tally["racing-edits"] = len(result["edits"])
    run.tally["sizes-off"] = 1
    with open(os.path.join(run.dir, "result.json"), "w", encoding="utf-8") as file:
        json.dump({k: sorted(v) if isinstance(v, set) else v for k, v in result.items()}, file)
    return print_summary(result, run, checker.find_violations(result))


if __name__ == "__main__":
    sys.exit(main())
