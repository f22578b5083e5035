"""make soak: runs the queue daemons under random faults and checks the workers' history.

Meanwhile clients submit and cancel jobs. They submit some jobs twice, also through different
entries. Faults affect daemons (kill, stop, freeze), the table service (busy, silent, slow, refusing
callers, losing answers, dropping the history of its change feed) and workers (crash, ignored calls,
lost answers). Then all faults are undone, and each accepted job must reach the expected state.
"""

import argparse
import itertools
import os
import random
import shutil
import signal
import sys
import threading
import time

from hub import QueueDeployment

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))
ENTRIES, WORKERS = 2, 4
READY_TIMEOUT_S, RECOVERY_TIMEOUT_S = 10, 40
FAULT_GAP_S = (0.2, 1.2)
FAULT_HOLD_S = (0.3, 4.0)
SUBMIT_GAP_S = 0.15
CANCELLED_SHARE, RESUBMITTED_SHARE, FAILING_SHARE, CRASHING_SHARE = 0.1, 0.2, 0.1, 0.03
# Starts of a task that crashes its workers: fewer than three after the third crash.
CRASHING_STARTS_MAX = 5


class Faults:
    """Methods fault_NAME inject a fault and return a function that undoes it."""

    def __init__(self, deployment, rng):
        self.deployment, self.rng = deployment, rng
        self.reserved = set()
        self.injectors = {name[6:]: getattr(self, name) for name in dir(self)
                          if name.startswith("fault_")}

    def _reserve_daemon(self):
        """Chooses and reserves a daemon; None if two or fewer are free, so that two stay up."""
        free = [name for name in self.deployment.processes if name not in self.reserved]
        name = self.rng.choice(free) if len(free) > 2 else None
        if name:
            self.reserved.add(name)
        return name

    def _random_worker(self):
        return self.rng.choice(list(self.deployment.workers.values()))

    def _restart(self, name):
        self.deployment.start(name)
        self.reserved.discard(name)

    def fault_kill(self):
        name = self._reserve_daemon()
        if name:
            self.deployment.signal_process(name)
        return lambda: name and self._restart(name)

    def fault_stop(self):
        name = self._reserve_daemon()
        if name:
            self.deployment.signal_process(name, signal.SIGTERM)
        return lambda: name and self._restart(name)

    def fault_freeze(self):
        name = self._reserve_daemon()
        if name:
            self.deployment.signal_process(name, signal.SIGSTOP)

        def undo():
            if name:
                self.deployment.signal_process(name, signal.SIGCONT)
                self.reserved.discard(name)
        return undo

    def _set_store_mode(self, mode):
        self.deployment.store.mode = mode

        def undo():
            self.deployment.store.mode = ""
        return undo

    def fault_store_busy(self):
        return self._set_store_mode("busy")

    def fault_store_silent(self):
        return self._set_store_mode("silent")

    def fault_store_slow(self):
        self.deployment.store.delay_s = 0.15

        def undo():
            # The initial value in Store.
            self.deployment.store.delay_s = 0.004
        return undo

    def fault_store_loses(self):
        self.deployment.store.lost_answer_share = 0.4

        def undo():
            self.deployment.store.lost_answer_share = 0.0
        return undo

    def fault_store_turns_away(self):
        # Host numbers of the WORKERS agents and of the ENTRIES entries.
        host = self.rng.choice([1, 2, 3, 4, 101, 102])
        self.deployment.store.refused_callers = {f"127.{self.deployment.net}.0.{host}"}

        def undo():
            self.deployment.store.refused_callers = set()
        return undo

    def fault_store_forgets(self):
        # The rows stay, and new changes are recorded again: there is nothing to undo.
        self.deployment.store.discard_feed_history()
        return lambda: None

    def fault_worker_crash(self):
        self._random_worker().crash()
        return lambda: None

    def _set_worker_mode(self, mode):
        worker = self._random_worker()
        worker.mode = mode

        def undo():
            worker.mode = ""
        return undo

    def fault_worker_dark(self):
        return self._set_worker_mode("dark")

    def fault_worker_mute(self):
        return self._set_worker_mode("mute")


class Soak:
    """One run with a seed."""

    def __init__(self, seed, seconds, net):
        self.rng = random.Random(seed)
        self.seconds = seconds
        directory = os.path.join(ROOT, "run", f"soak-{seed}")
        shutil.rmtree(directory, ignore_errors=True)
        self.deployment = QueueDeployment(directory, BUILD, net, workers=WORKERS, entries=ENTRIES)
        self.accepted, self.cancelled, self.failing, self.refused = {}, set(), set(), set()
        self.crashing = set()
        self.job_ids = (f"{seed & 0xffffffff:08x}{n:08x}" for n in itertools.count(1))
        self.load_ended = threading.Event()
        self.tally = {}

    def _submit(self, rng):
        job = next(self.job_ids)
        # Number of runs of a task that fail; 9 exceeds the queue's limit of attempts.
        failing_runs = 9 if rng.random() < FAILING_SHARE else 0
        steps = [{"count": rng.randint(1, 4), "cpu": 500}]
        if rng.random() < 0.5:
            steps.append({"count": rng.randint(1, 3), "cpu": 800, "after": [0]})
        spec = {"ms": rng.randint(20, 600), "fails": failing_runs}
        self._make_crashing(job, spec)
        codes = [self.deployment.submit(job, spec, steps, rng.randint(1, ENTRIES))]
        if codes[0] != 200 or rng.random() < RESUBMITTED_SHARE:
            codes.append(self.deployment.submit(job, spec, steps, rng.randint(1, ENTRIES)))
        if 200 in codes:
            # accepted is used as a set: its values are never read.
            self.accepted[job] = time.monotonic()
            (self.failing.add(job) if failing_runs else None)
        # After any other code the job may have been stored.
        elif all(code in (429, 503) for code in codes):
            self.refused.add(job)
        if 200 in codes and rng.random() < CANCELLED_SHARE:
            self.cancelled.add(job)
            self.deployment.request("DELETE", f"/jobs/{job}", entry=rng.randint(1, ENTRIES))

    def _make_crashing(self, job, spec):
        """Lets a task of some jobs crash its workers, some before they answer the start.

        The numbers come from the job's id, so that the other choices of a seed stay as they were.
        """
        rng = random.Random(int(job, 16))
        if rng.random() < CRASHING_SHARE:
            spec.update(crashes=["0.0"], crash_ms=rng.choice((0, 10, 10)))
            self.crashing.add(job)

    def _load(self, seed):
        rng = random.Random(seed)
        while not self.load_ended.is_set():
            self._submit(rng)
            time.sleep(SUBMIT_GAP_S)

    def _inject_faults(self):
        faults = Faults(self.deployment, self.rng)
        until_s = time.monotonic() + self.seconds
        active_faults = []
        while time.monotonic() < until_s:
            name = self.rng.choice(sorted(faults.injectors))
            self.tally[name] = self.tally.get(name, 0) + 1
            active_faults.append((time.monotonic() + self.rng.uniform(*FAULT_HOLD_S),
                                  faults.injectors[name]()))
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
            for fault in [fault for fault in active_faults if fault[0] <= time.monotonic()]:
                fault[1]()
                active_faults.remove(fault)
        for _, undo in active_faults:
            undo()

    def _is_expected_state(self, job, state):
        if job in self.cancelled:
            return state in ("cancelled", "completed", "failed")
        if job in self.crashing:
            return state == "failed"
        # A job may be given up when workers have crashed twice under one of its tasks.
        if state == "failed" and self._max_crashes(job) >= 2:
            return True
        return state == ("failed" if job in self.failing else "completed")

    def _max_crashes(self, job):
        """Largest number of crashes under one task of a job."""
        crashed = [e[2] for e in self.deployment.history() if e[0] == "gone" and job in e[2]]
        return max((crashed.count(task) for task in crashed), default=0)

    def _jobs_in_unexpected_state(self):
        return {job: state for job in self.accepted
                if not self._is_expected_state(job, state := self.deployment.state(job, 1))}

    def find_violations(self):
        """Waits for the accepted jobs to end; returns descriptions of all violations.

        deployment.violations() is called before and after the wait, so texts may occur twice.
        """
        violations = self.deployment.violations()
        until_s = time.monotonic() + RECOVERY_TIMEOUT_S
        unexpected = self._jobs_in_unexpected_state()
        while unexpected and time.monotonic() < until_s:
            time.sleep(0.3)
            unexpected = self._jobs_in_unexpected_state()
        violations += [f"{job}: {state} after {RECOVERY_TIMEOUT_S} s"
                       for job, state in sorted(unexpected.items())]
        # Tasks are named JOB.OCCURRENCE.STEP.INDEX.
        started = {event[2].split(".")[0] for event in self.deployment.history()
                   if event[0] == "start"}
        violations += [f"{job}: refused, but started" for job in sorted(self.refused & started)]
        starts = [event[2] for event in self.deployment.history() if event[0] == "start"]
        violations += [f"{job}: started {starts.count(f'{job}.0.0.0')} times, crashes its workers"
                       for job in sorted(self.crashing)
                       if starts.count(f"{job}.0.0.0") > CRASHING_STARTS_MAX]
        violations += [f"{name}: an end was acknowledged to another incarnation: {ack}"
                       for name, worker in self.deployment.workers.items()
                       for ack in worker.acks_of_others]
        return violations + self.deployment.violations()

    def run(self):
        violations = []
        try:
            ready = self.deployment.wait_until(
                lambda: self.deployment.ready(1) and self.deployment.ready(2), READY_TIMEOUT_S)
            threads = [threading.Thread(target=self._load, args=(self.rng.random(),), daemon=True)
                       for _ in range(3)]
            for thread in threads:
                thread.start()
            self._inject_faults()
            self.load_ended.set()
            for thread in threads:
                thread.join(20)
            violations = self.find_violations() if ready else ["the daemons were not ready in time"]
        finally:
            violations += [f"{name} exited with code {code}"
                           for name, code in self.deployment.close().items()]
        return violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of seeds to run one after the other")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--net", type=int, default=220)
    args = parser.parse_args()
    failed_seeds = 0
    for seed in range(args.seed, args.seed + args.seeds):
        soak = Soak(seed, args.seconds, args.net)
        violations = soak.run()
        failed_seeds += bool(violations)
        print(f"seed {seed}: {len(soak.accepted)} jobs accepted, {len(soak.refused)} refused, "
              f"{sum(soak.tally.values())} faults, {len(violations)} violations", flush=True)
        for violation in sorted(set(violations))[:10]:
            print(f"  {violation}")
    print(f"{args.seeds} seeds, {failed_seeds} with violations")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
