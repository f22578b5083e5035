"""make soak: the queue daemons under faults drawn from a seed, judged by the workers' history.

Clients submit and cancel jobs all the while, also twice and through several entries. Faults
strike daemons (kill, stop, freeze), the store (busy, silent, slow, turning instances away,
losing answers, forgetting its history) and workers (crash, silence, late orders). Then all is
healed, and each job that was accepted must end as it should.
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

from hub import Hub

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))
ENTRIES, WORKERS = 2, 4
START_S, HEAL_S = 10, 40
FAULT_GAP_S = (0.2, 1.2)
FAULT_HOLD_S = (0.3, 4.0)
SUBMIT_GAP_S = 0.15
CANCEL_PART, TWICE_PART, FAILING_PART = 0.1, 0.2, 0.1


class Faults:
    """Each fault is a pair of functions: one strikes, the other heals."""

    def __init__(self, hub, rng):
        self.hub, self.rng = hub, rng
        self.away = set()
        self.kinds = {name[6:]: getattr(self, name) for name in dir(self)
                      if name.startswith("fault_")}

    def _daemon(self):
        """A daemon that no other fault holds."""
        free = [name for name in self.hub.processes if name not in self.away]
        name = self.rng.choice(free) if len(free) > 2 else None
        if name:
            self.away.add(name)
        return name

    def _worker(self):
        return self.rng.choice(list(self.hub.workers.values()))

    def _restart(self, name):
        self.hub.start(name)
        self.away.discard(name)

    def fault_kill(self):
        name = self._daemon()
        if name:
            self.hub.kill(name)
        return lambda: name and self._restart(name)

    def fault_stop(self):
        name = self._daemon()
        if name:
            self.hub.kill(name, signal.SIGTERM)
        return lambda: name and self._restart(name)

    def fault_freeze(self):
        name = self._daemon()
        if name:
            self.hub.kill(name, signal.SIGSTOP)

        def heal():
            if name:
                self.hub.kill(name, signal.SIGCONT)
                self.away.discard(name)
        return heal

    def _store_mode(self, mode):
        self.hub.store.mode = mode

        def heal():
            self.hub.store.mode = ""
        return heal

    def fault_store_busy(self):
        return self._store_mode("busy")

    def fault_store_silent(self):
        return self._store_mode("silent")

    def fault_store_slow(self):
        self.hub.store.delay_s = 0.15

        def heal():
            self.hub.store.delay_s = 0.004
        return heal

    def fault_store_loses(self):
        self.hub.store.lose = 0.4

        def heal():
            self.hub.store.lose = 0.0
        return heal

    def fault_store_turns_away(self):
        host = self.rng.choice([1, 2, 3, 4, 101, 102])
        self.hub.store.turned_away = {f"127.{self.hub.net}.0.{host}"}

        def heal():
            self.hub.store.turned_away = set()
        return heal

    def fault_store_forgets(self):
        self.hub.store.forget_history()
        return lambda: None

    def fault_worker_crash(self):
        self._worker().crash()
        return lambda: None

    def _worker_mode(self, mode):
        worker = self._worker()
        worker.mode = mode

        def heal():
            worker.mode = ""
        return heal

    def fault_worker_dark(self):
        return self._worker_mode("dark")

    def fault_worker_mute(self):
        return self._worker_mode("mute")


class Soak:
    """One run of a seed."""

    def __init__(self, seed, seconds, net):
        self.rng = random.Random(seed)
        self.seconds = seconds
        directory = os.path.join(ROOT, "run", f"soak-{seed}")
        shutil.rmtree(directory, ignore_errors=True)
        self.hub = Hub(directory, BUILD, net, workers=WORKERS, entries=ENTRIES)
        self.accepted, self.cancelled, self.failing, self.refused = {}, set(), set(), set()
        self.ids = (f"{seed & 0xffffffff:08x}{n:08x}" for n in itertools.count(1))
        self.over = threading.Event()
        self.tally = {}

    def _submit(self, rng):
        job = next(self.ids)
        fails = 9 if rng.random() < FAILING_PART else 0
        steps = [{"count": rng.randint(1, 4), "cpu": 500}]
        if rng.random() < 0.5:
            steps.append({"count": rng.randint(1, 3), "cpu": 800, "after": [0]})
        spec = {"ms": rng.randint(20, 600), "fails": fails}
        codes = [self.hub.submit(job, spec, steps, rng.randint(1, ENTRIES))]
        if codes[0] != 200 or rng.random() < TWICE_PART:
            codes.append(self.hub.submit(job, spec, steps, rng.randint(1, ENTRIES)))
        if 200 in codes:
            self.accepted[job] = time.monotonic()
            (self.failing.add(job) if fails else None)
        elif all(code in (429, 503) for code in codes):
            self.refused.add(job)
        if 200 in codes and rng.random() < CANCEL_PART:
            self.cancelled.add(job)
            self.hub.ask("DELETE", f"/jobs/{job}", entry=rng.randint(1, ENTRIES))

    def _load(self, seed):
        rng = random.Random(seed)
        while not self.over.is_set():
            self._submit(rng)
            time.sleep(SUBMIT_GAP_S)

    def _strike(self):
        faults = Faults(self.hub, self.rng)
        until = time.monotonic() + self.seconds
        open_faults = []
        while time.monotonic() < until:
            name = self.rng.choice(sorted(faults.kinds))
            self.tally[name] = self.tally.get(name, 0) + 1
            open_faults.append((time.monotonic() + self.rng.uniform(*FAULT_HOLD_S),
                                faults.kinds[name]()))
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
            for item in [item for item in open_faults if item[0] <= time.monotonic()]:
                item[1]()
                open_faults.remove(item)
        for _, heal in open_faults:
            heal()

    def _expected(self, job, state):
        if job in self.cancelled:
            return state in ("cancelled", "completed", "failed")
        return state == ("failed" if job in self.failing else "completed")

    def _unfinished(self):
        return {job: state for job in self.accepted
                if not self._expected(job, state := self.hub.state(job, 1))}

    def judge(self):
        """What is wrong, in words; empty when all is well."""
        bad = self.hub.violations()
        until = time.monotonic() + HEAL_S
        left = self._unfinished()
        while left and time.monotonic() < until:
            time.sleep(0.3)
            left = self._unfinished()
        bad += [f"{job}: {state} after {HEAL_S} s" for job, state in sorted(left.items())]
        started = {event[2].split(".")[0] for event in self.hub.history() if event[0] == "start"}
        bad += [f"{job}: refused, and started" for job in sorted(self.refused & started)]
        return bad + self.hub.violations()

    def run(self):
        bad = []
        try:
            ready = self.hub.wait(lambda: self.hub.ready(1) and self.hub.ready(2), START_S)
            loads = [threading.Thread(target=self._load, args=(self.rng.random(),), daemon=True)
                     for _ in range(3)]
            for load in loads:
                load.start()
            self._strike()
            self.over.set()
            for load in loads:
                load.join(20)
            bad = self.judge() if ready else ["the daemons do not serve"]
        finally:
            bad += [f"{name} ended with {code}" for name, code in self.hub.close().items()]
        return bad


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="so many seeds, one after the other")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--net", type=int, default=220)
    args = parser.parse_args()
    broken = 0
    for seed in range(args.seed, args.seed + args.seeds):
        soak = Soak(seed, args.seconds, args.net)
        bad = soak.run()
        broken += bool(bad)
        print(f"seed {seed}: {len(soak.accepted)} jobs accepted, {len(soak.refused)} refused, "
              f"{sum(soak.tally.values())} faults, {len(bad)} wrong", flush=True)
        for line in sorted(set(bad))[:10]:
            print(f"  {line}")
    print(f"{args.seeds} seeds, {broken} with something wrong")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
