"""Removes agents for good during a soak, while their workers stay up.

Each removal has two jobs of its own: one whose tasks run for longer than a worker's lease and that
is cancelled about when the agent is removed, and one whose tasks have to end once each.
"""

import random
import signal
import threading

# Most of the agents that are removed leave at least this many.
REMAINING_AGENTS = 2
FIRST_DELAY_S, GAPS_S = 1.0, ((0.0, 0.6), (0.6, 5.0))
RETRY_GAP_S = 0.05
# From the jobs to the removal, and from there to the cancelling.
LEAD_S, CANCEL_OFFSET_S, RUNS_TIMEOUT_S = (0.1, 1.2), (-0.1, 1.2), 3.0
CANCELLED_MS, CANCELLED_TASKS = 8000, 6
LASTING_MS, LASTING_TASKS = (1500, 5000), 4
# Number of the first job of a removal; those of the load count from 1.
FIRST_JOB = 0x80000000


class Removals:
    """Removals of a seed; its numbers are its own, so that other choices stay as they were."""

    def __init__(self, soak, faults, seed, likely):
        self.soak, self.faults = soak, faults
        self.rng = random.Random(f"removals {seed}")
        self.prefix = f"{seed & 0xffffffff:08x}"
        count = REMAINING_AGENTS if likely else self.rng.randint(0, REMAINING_AGENTS)
        self.count = min(count, len(faults.deployment.workers) - REMAINING_AGENTS)
        self.ended = threading.Event()
        self.threads = []

    def start(self):
        """Removes up to count agents, often in short succession."""
        at = self.rng.uniform(FIRST_DELAY_S, max(0.5 * self.soak.seconds, FIRST_DELAY_S))
        for number in range(self.count):
            rng = random.Random(self.rng.random())
            self.threads.append(threading.Thread(target=self._remove_later, daemon=True,
                                                 args=(rng, number, at)))
            self.threads[-1].start()
            at += self.rng.uniform(*self.rng.choice(GAPS_S))

    def _remove_later(self, rng, number, delay_s):
        """Submits the jobs of a removal and removes an agent, in half of the cases once they run."""
        how = rng.choice((signal.SIGKILL, signal.SIGTERM))
        lead_s, offset_s = rng.uniform(*LEAD_S), rng.uniform(*CANCEL_OFFSET_S)
        awaits_runs = rng.random() < 0.5
        self.ended.wait(delay_s)
        cancelled = self._submit_jobs(rng, number)
        if cancelled and awaits_runs:
            self.faults.deployment.wait_until(lambda: self._agents_with_runs(cancelled),
                                              RUNS_TIMEOUT_S)
        if cancelled:
            self.soak.cancel(cancelled, rng.randint(1, 2), lead_s + offset_s)
        self.ended.wait(lead_s)
        while not self.ended.is_set():
            preferred = self._agents_with_runs(cancelled) if awaits_runs else []
            if self.faults.remove_agent(rng, how, preferred):
                break
            self.ended.wait(RETRY_GAP_S)

    def _submit_jobs(self, rng, number):
        """Submits both jobs; returns the one to cancel if it was accepted, "" otherwise."""
        jobs = [f"{self.prefix}{FIRST_JOB + 2 * number + k:08x}" for k in range(2)]
        accepted = self.soak.submit_job(jobs[0], CANCELLED_MS, CANCELLED_TASKS, rng)
        self.soak.submit_job(jobs[1], rng.randint(*LASTING_MS), LASTING_TASKS, rng)
        return jobs[0] if accepted else ""

    def _agents_with_runs(self, job):
        """Agents whose workers run tasks of a job."""
        return [name for name, worker in self.faults.deployment.workers.items()
                if any(task.split(".")[0] == job for task in list(worker.running))]

    def end(self):
        """Ends the removals to come."""
        self.ended.set()
        for thread in self.threads:
            thread.join()
