"""make soak: runs the queue daemons under random faults and checks the workers' history.

Meanwhile clients submit and cancel jobs. They submit some jobs twice, also through different
entries. Faults affect daemons (kill, stop, freeze), the table service (busy, silent, slow, refusing
callers, losing answers, dropping the history of its change feed) and workers (crash, ignored calls,
lost answers, calls carried out seconds late, cuts after a restart). Daemons are cut off from others
and from the table service, in one direction too, also while a worker restarts behind the cut.
Agents are removed for good; their workers stay. Then all other faults are undone, and each accepted
job must reach the expected state. The runs of cancelled and ended jobs must end; those of cancelled
jobs in time at any moment of the run, when nothing but removals, planned stops and cancellations
disturbed them.

Each seed leaves the events of its workers in run/soak-SEED/workers.log, beside the daemons' logs.
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

import standins
from cancel_check import CancelCheck, Canceller
from config_check import ConfigCheck
from hub import QueueDeployment
from removals import Removals

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))
ENTRIES, WORKERS = 2, 4
READY_TIMEOUT_S, RECOVERY_TIMEOUT_S = 10, 40
# Name of the fault that removes an agent for good, which has times of its own.
REMOVE = "remove"
FAULT_GAP_S = (0.2, 1.2)
FAULT_HOLD_S = (0.3, 4.0)
SUBMIT_GAP_S = 0.15
CANCELLED_SHARE, RESUBMITTED_SHARE, FAILING_SHARE, CRASHING_SHARE = 0.1, 0.2, 0.1, 0.03
# Starts of a task that crashes its workers: fewer than three after the third crash.
CRASHING_STARTS_MAX = 5
LONG_SHARE, LONG_CANCELLED_SHARE, LONG_RUN_MS = 0.03, 0.5, (1500, 6000)
CANCEL_DELAY_S = (0.1, 4.0)
LATE_SHARES, LATE_DELAY_S = (0.3, 0.8), (2.0, 6.0)
RESTART_DELAY_S = (0.3, 3.0)
DOWN_S = (standins.RESTART_MIN_S, 2.5)
CUT_DELAY_S, CUT_HOLD_S = (0.2, 2.0), (1.0, 9.0)
# Cuts of daemons, longer than other faults and than the lease of a worker.
DAEMON_CUT_S = (2.0, 12.0)
STOP_DELAYS_S = (0.05, 0.2, 0.5, 0.9)
# The bounds that the rules name cancel_ms, contact_ms and stop_grace_ms, the latter above the
# longest of STOP_DELAYS_S and the steps of the stand-in; the rig's stop takes up to 0.9 s.
CANCEL_S, CONTACT_S, STOP_GRACE_S = 3.0, 3.0, 1.0


class Faults:
    """Methods fault_NAME inject a fault and return a function that undoes it."""

    def __init__(self, deployment, rng, disturb):
        self.deployment, self.rng = deployment, rng
        # Notes that all is disturbed from now on; returns the function that notes the end.
        self.disturb = disturb
        self.reserved = set()
        # Held while a daemon is chosen and reserved.
        self.lock = threading.Lock()
        # (time, agent, signal) of the agents that are removed for good, which stay reserved.
        self.removed = []
        # Workers some of whose calls are late.
        self.late_workers = set()
        # (time, text) of the beginnings and ends of cuts of daemons.
        self.cut_notes = []
        # Threads that cut daemons or workers off or restart workers, and what ends them early.
        self.threads = []
        self.ended = threading.Event()
        self.injectors = {name[6:]: getattr(self, name) for name in dir(self)
                          if name.startswith("fault_")}

    def _reserve_daemon(self, candidates=None):
        """Chooses and reserves a daemon; None if two or fewer are free, so that two stay up."""
        with self.lock:
            free = [name for name in self.deployment.processes if name not in self.reserved]
            eligible = [name for name in free if name in (candidates or free)]
            name = self.rng.choice(eligible) if len(free) > 2 and eligible else None
            if name:
                self.reserved.add(name)
        return name

    def remove_agent(self, rng, how, preferred):
        """Removes an agent by a signal, without waiting for its end; False if too few are free.

        It is one of preferred if any of these is free.
        """
        with self.lock:
            free = [name for name in self.deployment.processes if name not in self.reserved]
            agents = [name for name in free if name in self.deployment.workers]
            if len(free) <= 2 or not agents:
                return False
            name = rng.choice([name for name in agents if name in preferred] or agents)
            self.reserved.add(name)
            self.removed.append((time.monotonic(), name, how))
        self.deployment.processes[name].send_signal(how)
        return True

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

    def fault_worker_late(self):
        """Some of a worker's calls are carried out late; in half of the cases it also restarts."""
        worker = self._random_worker()
        rng = random.Random(self.rng.random())
        undo = self._make_late(worker, rng)
        if rng.random() < 0.5:
            self._start_thread(self._restart_later, worker, rng.uniform(*RESTART_DELAY_S),
                               rng.uniform(*DOWN_S))
        return undo

    def _make_late(self, worker, rng):
        worker.choose_late_delay_s = lambda: rng.uniform(*LATE_DELAY_S)
        share = rng.uniform(*LATE_SHARES)
        worker.is_late = lambda path, body: rng.random() < share
        worker.note(f"{share:.2f} of the calls are late")
        self.late_workers.add(worker)

        def undo():
            worker.is_late = lambda path, body: False
            self.late_workers.discard(worker)
        return undo

    def fault_worker_restart_and_cut(self):
        """The worker restarts and is cut off soon after; in half of the cases it restarts again.

        The cut ends by itself, since it may be longer than other faults.
        """
        worker = self._random_worker()
        delay_s, hold_s = self.rng.uniform(*CUT_DELAY_S), self.rng.uniform(*CUT_HOLD_S)
        crash_after_s = self.rng.uniform(0, hold_s) if self.rng.random() < 0.5 else None
        self._start_thread(self._restart_and_cut, worker, self.rng.uniform(*DOWN_S), delay_s, hold_s,
                           crash_after_s)
        return lambda: None

    def fault_cut_off(self):
        return self._cut_daemon("from all", self.deployment.cut_off)

    def fault_cut_daemons(self):
        return self._cut_daemon("from all daemons", self.deployment.cut_links)

    def fault_cut_sent(self):
        return self._cut_daemon("from all daemons, in what it sends",
                                lambda name: self.deployment.cut_links(name, received=False))

    def fault_cut_received(self):
        return self._cut_daemon("from all daemons, in what it receives",
                                lambda name: self.deployment.cut_links(name, sent=False))

    def fault_cut_pair(self):
        name, other = self._reserve_daemon(), self._reserve_daemon()
        if name and not other:
            self.reserved.discard(name)
        if other:
            self._start_cut([name, other], f"from {other}",
                            lambda name: self.deployment.cut_links(name, [other]))
        return lambda: None

    def fault_cut_store(self):
        return self._cut_daemon("from the store", self.deployment.cut_store)

    def fault_cut_store_answers(self):
        return self._cut_daemon("from the store's answers",
                                lambda name: self.deployment.cut_store(name, sent=False))

    def fault_cut_worker_restart(self):
        """An agent is cut off, with late calls, and its worker restarts behind the cut."""
        name = self._reserve_daemon(self.deployment.workers)
        if name:
            rng = random.Random(self.rng.random())
            self._start_cut([name], "from all, with its worker", self.deployment.cut_off,
                            (self.deployment.workers[name], rng))
        return lambda: None

    def _cut_daemon(self, text, cut):
        name = self._reserve_daemon()
        if name:
            self._start_cut([name], text, cut)
        return lambda: None

    def _start_cut(self, names, *args):
        """Cuts the first of names, all reserved. The cut ends by itself, or with the faults."""
        self._start_thread(self._hold_cut, names, self.rng.uniform(*DAEMON_CUT_S), *args)

    def _hold_cut(self, names, hold_s, text, cut, restarted=None):
        """restarted: a worker that has late calls and restarts behind the cut, and its generator."""
        undos = [self.disturb()]
        if restarted:
            worker, rng = restarted
            undos.append(self._make_late(worker, rng))
            self.ended.wait(rng.uniform(*CUT_DELAY_S))
        undos.append(cut(names[0]))
        self.cut_notes.append((time.monotonic(), f"{names[0]} is cut off {text}"))
        until_s = time.monotonic() + hold_s
        if restarted:
            self._restart_later(worker, rng.uniform(0, hold_s), rng.uniform(*DOWN_S))
        self.ended.wait(max(until_s - time.monotonic(), 0))
        for undo in reversed(undos):
            undo()
        self.cut_notes.append((time.monotonic(), f"{names[0]} is no longer cut off {text}"))
        self.reserved.difference_update(names)

    def _start_thread(self, function, *args):
        self.threads.append(threading.Thread(target=function, args=args, daemon=True))
        self.threads[-1].start()

    def _restart_later(self, worker, delay_s, down_s):
        if not self.ended.wait(delay_s):
            self._crash(worker, down_s)

    @staticmethod
    def _crash(worker, down_s):
        """Restarts a worker with a clock below the former one, so that late starts are in time."""
        with worker.lock:
            worker.clock_start_range_ms = (standins.CLOCK_START_MS[0], worker.clock_start_ms)
            worker.crash(down_s)

    def _restart_and_cut(self, worker, down_s, delay_s, hold_s, crash_after_s):
        self._crash(worker, down_s)
        if self.ended.wait(down_s + delay_s):
            return
        worker.mode = "dark"
        worker.note("is cut off")
        if crash_after_s is not None and not self.ended.wait(crash_after_s):
            self._crash(worker, down_s)
        self.ended.wait(hold_s - (crash_after_s or 0))
        worker.mode = ""
        worker.note("is no longer cut off")

    def end(self):
        """Ends the cuts and restarts to come."""
        self.ended.set()
        for thread in self.threads:
            thread.join()
        for worker in self.deployment.workers.values():
            worker.mode = ""


class Soak:
    """One run with a seed."""

    def __init__(self, seed, seconds, net, often=(), long_share=LONG_SHARE, only=()):
        self.rng = random.Random(seed)
        # Faults that are five times as likely as others.
        self.often = sorted(set(often) - {REMOVE}) * 4
        # Faults to which the run is limited, all if empty.
        self.only = only
        self.seed, self.seconds, self.long_share = seed, seconds, long_share
        self.removals_likely = REMOVE in (*often, *only)
        directory = os.path.join(ROOT, "run", f"soak-{seed}")
        shutil.rmtree(directory, ignore_errors=True)
        self.deployment = QueueDeployment(directory, BUILD, net, workers=WORKERS, entries=ENTRIES)
        for worker in self.deployment.workers.values():
            worker.stop_delay_s = self.rng.choice(STOP_DELAYS_S)
        self.canceller = Canceller(self.deployment, ENTRIES)
        self.cancel_check = CancelCheck(self.deployment, self.canceller)
        # Times at which the cancelling of a job was acknowledged, and at which the faults ended.
        self.cancel_acks, self.calm_since = self.canceller.acks, 0.0
        self.accepted, self.cancelled, self.failing, self.refused = {}, set(), set(), set()
        self.crashing = set()
        self.job_ids = (f"{seed & 0xffffffff:08x}{n:08x}" for n in itertools.count(1))
        self.load_ended = threading.Event()
        self.tally = {}
        self.removed, self.cut_notes = [], []
        self.config_check = ConfigCheck(self.deployment, ENTRIES, seed)

    def _submit(self, rng):
        job = next(self.job_ids)
        # Number of runs of a task that fail; 9 exceeds the queue's limit of attempts.
        failing_runs = 9 if rng.random() < FAILING_SHARE else 0
        steps = [{"count": rng.randint(1, 4), "cpu": 500}]
        if rng.random() < 0.5:
            steps.append({"count": rng.randint(1, 3), "cpu": 800, "after": [0]})
        spec = {"ms": rng.randint(20, 600), "fails": failing_runs}
        self._make_crashing(job, spec)
        cancel_delay_s = self._make_long(job, spec, steps)
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
            self.cancel(job, rng.randint(1, ENTRIES))
        elif 200 in codes and cancel_delay_s:
            self.cancel(job, int(job, 16) % ENTRIES + 1, cancel_delay_s)

    def cancel(self, job, entry, delay_s=0.0):
        """Lets a job be cancelled after a delay, or at the end of the load if that comes first."""
        self.cancelled.add(job)
        self.canceller.cancel(job, entry, delay_s)

    def submit_job(self, job, run_ms, tasks, rng):
        """Submits a job of one step beside the load; returns whether it was accepted."""
        steps = [{"count": tasks, "cpu": 250}]
        if self.deployment.submit(job, {"ms": run_ms}, steps, rng.randint(1, ENTRIES)) != 200:
            return False
        self.accepted[job] = time.monotonic()
        return True

    def _make_long(self, job, spec, steps):
        """Lets some jobs run for seconds; returns the time until such a job is cancelled, or None.

        The numbers come from the job's id, so that the load of a seed changes little.
        """
        rng = random.Random(f"long {job}")
        if rng.random() >= self.long_share or job in self.crashing or spec["fails"]:
            return None
        spec["ms"] = rng.randint(*LONG_RUN_MS)
        steps[:] = steps[:1]
        return rng.uniform(*CANCEL_DELAY_S) if rng.random() < LONG_CANCELLED_SHARE else None

    def _make_crashing(self, job, spec):
        """Lets a task of some jobs crash its workers, some before they answer the start.

        The numbers come from the job's id, so that the other choices of a seed stay as they were.
        """
        rng = random.Random(int(job, 16))
        if self.only and "worker_crash" not in self.only:
            return
        if rng.random() < CRASHING_SHARE:
            spec.update(crashes=["0.0"], crash_ms=rng.choice((0, 10, 10)))
            self.crashing.add(job)

    def _load(self, seed):
        rng = random.Random(seed)
        while not self.load_ended.is_set():
            self._submit(rng)
            time.sleep(SUBMIT_GAP_S)

    def _inject_faults(self):
        faults = Faults(self.deployment, self.rng, self.cancel_check.disturb)
        self.cut_notes = faults.cut_notes
        self.config_check.reserved = faults.reserved
        self.cancel_check.late_workers = faults.late_workers
        removals = Removals(self, faults, self.seed, self.removals_likely)
        if not self.only or REMOVE in self.only:
            removals.start()
        names = [name for name in sorted(faults.injectors) + self.often
                 if not self.only or name in self.only]
        until_s = time.monotonic() + self.seconds
        active_faults = []
        while time.monotonic() < until_s:
            if names:
                name = self.rng.choice(names)
                self.tally[name] = self.tally.get(name, 0) + 1
                active_faults.append((time.monotonic() + self.rng.uniform(*FAULT_HOLD_S),
                                      self._inject(faults, name)))
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
            for fault in [fault for fault in active_faults if fault[0] <= time.monotonic()]:
                fault[1]()
                active_faults.remove(fault)
        for _, undo in active_faults:
            undo()
        removals.end()
        faults.end()
        self.removed = faults.removed
        self.tally[REMOVE] = len(self.removed)
        self.calm_since = time.monotonic()

    def _inject(self, faults, name):
        """Injects a fault, and notes its time unless the check of cancellations sees it itself.

        Planned stops are no disturbance to that check. Cuts of daemons note their own times.
        """
        if name == "stop" or name.startswith(("worker_", "cut_")):
            return faults.injectors[name]()
        end = self.cancel_check.disturb()
        undo = faults.injectors[name]()

        def undo_and_note():
            undo()
            end()
        return undo_and_note

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
        violations += self.find_runs_of_ended_jobs()
        violations += self.find_late_orders()
        self.cancel_check.finish()
        violations += self.cancel_check.find_outlasting_runs()
        violations += [f"{name}: an end was acknowledged to another incarnation: {ack}"
                       for name, worker in self.deployment.workers.items()
                       for ack in worker.acks_of_others]
        return violations + self.deployment.violations()

    def _open_runs(self):
        """Runs that have not ended, as (name of the worker, event "start")."""
        runs = []
        for name, worker in self.deployment.workers.items():
            with worker.lock:
                for task, (run, _) in worker.running.items():
                    start = [event for event in worker.history
                             if event[0] == "start" and event[2:4] == (task, run)][-1]
                    runs.append((name, start))
        return runs

    def find_runs_of_ended_jobs(self):
        """Waits until no job that was cancelled or has ended has a run; returns those that stay.

        A run may go on for cancel_ms, contact_ms and stop_grace_ms after the faults, the end of its
        job or its start, whichever is last.
        """
        grace_s = CANCEL_S + CONTACT_S + STOP_GRACE_S
        # The jobs have reached their states by now, and the cancellations were answered.
        ended_at = {job: time.monotonic() for job in self.accepted
                    if job in self.cancel_acks or self.deployment.state(job, 1) in
                    ("completed", "failed", "cancelled")}
        ended_at.update({job: at for job, at in self.cancel_acks.items() if job in ended_at})
        while True:
            now = time.monotonic()
            runs = [run for run in self._open_runs() if run[1][2].split(".")[0] in ended_at]
            due = any(worker.due_calls for worker in self.deployment.workers.values())
            overdue = [run for run in runs
                       if now > grace_s + max(self.calm_since, run[1][1],
                                              ended_at[run[1][2].split(".")[0]])]
            # A call that is due is carried out within LATE_DELAY_S after the faults.
            if (not runs and not due) or overdue:
                break
            time.sleep(0.05)
        return [f"{start[2]}: run {start[3]} on {name} goes on "
                f"{now - max(self.calm_since, start[1], ended_at[start[2].split('.')[0]]):.1f} s "
                "after its job was cancelled or had ended" for name, start in overdue]

    def find_late_orders(self):
        """Starts of cancelled jobs that were ordered over cancel_ms after the acknowledgement.

        Counted are those that begin when nothing was disturbed for contact_ms.
        """
        late_orders = []
        for name, worker in self.deployment.workers.items():
            started_late = {(task, run) for task, run, _ in worker.late_starts}
            late_orders += [f"{task}: run {run} on {name} started after its job was cancelled"
                            for kind, at, task, run, _ in worker.history
                            if kind == "start" and (task, run) not in started_late
                            and at > self.calm_since + CONTACT_S
                            and at > self.cancel_acks.get(task.split(".")[0], at) + CANCEL_S]
        return late_orders

    def _write_worker_log(self):
        """Writes the events of all workers with the wall-clock time, as in the daemons' logs."""
        offset_s = time.time() - time.monotonic()
        lines = []
        for name, worker in self.deployment.workers.items():
            with worker.lock:
                lines += [(at, f"{name} {kind} {task} run {run} {outcome}")
                          for kind, at, task, run, outcome in worker.history]
                lines += [(at, f"{name} {text}") for at, text in worker.notes]
                lines += [(end[1], f"{name} noted without a lapse: {end[2]} run {end[3]}")
                          for end in worker.noted_ends if end[4] == "done"]
        lines += [(at, f"cancelling: {job}") for job, at in self.canceller.sent.items()]
        lines += [(at, f"cancelled: {job}") for job, at in self.cancel_acks.items()]
        lines += [(at, f"{name} is removed by {how.name}") for at, name, how in self.removed]
        lines += self.cut_notes
        lines.append((self.calm_since, "faults are undone"))
        with open(os.path.join(self.deployment.directory, "workers.log"), "w",
                  encoding="utf-8") as file:
            for at, text in sorted(lines):
                clock_s = at + offset_s
                stamp = time.strftime("%H:%M:%S", time.gmtime(clock_s))
                file.write(f"{stamp}.{int(clock_s % 1 * 1000):03} {text}\n")

    def dump(self, name):
        """The history of a task or job: lines of the worker log."""
        with open(os.path.join(self.deployment.directory, "workers.log"),
                  encoding="utf-8") as file:
            return [line.rstrip()[:250] for line in file
                    if name in line and " put off " not in line]

    def run(self):
        violations = []
        try:
            ready = self.deployment.wait_until(
                lambda: self.deployment.ready(1) and self.deployment.ready(2), READY_TIMEOUT_S)
            threads = [threading.Thread(target=self._load, args=(self.rng.random(),), daemon=True)
                       for _ in range(3)]
            for thread in threads:
                thread.start()
            self.config_check.start()
            self.cancel_check.start()
            self._inject_faults()
            self.load_ended.set()
            for thread in threads:
                thread.join(20)
            self.canceller.finish()
            violations = self.find_violations() if ready else ["the daemons were not ready in time"]
            violations += self.config_check.finish(self.calm_since)
        finally:
            self._write_worker_log()
            violations += [f"{name} exited with code {code}"
                           for name, code in self.deployment.close().items()]
        return violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of seeds to run one after the other")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--often", action="append", default=[], metavar="FAULT",
                        help="a fault that is five times as likely as others")
    parser.add_argument("--only", action="append", default=[], metavar="FAULT",
                        choices=[REMOVE, *(name[6:] for name in dir(Faults)
                                           if name.startswith("fault_"))],
                        help="limits the faults to this one; may be repeated")
    parser.add_argument("--long-share", type=float, default=LONG_SHARE,
                        help="share of jobs that run for seconds, half of which are cancelled")
    parser.add_argument("--net", type=int, default=220)
    args = parser.parse_args()
    failed_seeds = 0
    for seed in range(args.seed, args.seed + args.seeds):
        soak = Soak(seed, args.seconds, args.net, args.often, args.long_share, args.only)
        violations = soak.run()
        failed_seeds += bool(violations)
        print(f"seed {seed}: {len(soak.accepted)} jobs accepted, {len(soak.refused)} refused, "
              f"{sum(soak.tally.values())} faults, {len(soak.removed)} agents removed, "
              f"{soak.config_check.looks} looks at queues, {len(soak.canceller.sent)} cancelled, "
              f"{soak.cancel_check.count_late_acks()} of these without an answer in time, "
              f"{len(violations)} violations", flush=True)
        for violation in sorted(set(violations))[:10]:
            print(f"  {violation}")
        # Violations of tasks and jobs start with their name.
        names = {violation.split(":")[0] for violation in violations}
        for name in sorted(name for name in names if name[:8] == f"{seed:08x}")[:5]:
            for line in soak.dump(name):
                print(f"    {line}")
    print(f"{args.seeds} seeds, {failed_seeds} with violations")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
