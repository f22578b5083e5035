"""Cancels jobs as a client does, and checks during a soak that their runs end in time."""

import asyncio
import threading
import time

# The bounds that the rules name cancel_ms, contact_ms, stop_grace_ms and ack_timeout_ms.
CANCEL_S, CONTACT_S, STOP_S, ACK_TIMEOUT_S = 3.0, 3.0, 0.4, 4.0
# Resolution of the stand-in worker and of the times that the rig takes.
MEASURING_S = 0.1
LOOK_GAP_S = 0.05
# Time that a call gives its entry, and for which the client waits for the answer.
DEADLINE_S, CALL_TIMEOUT_S = 4.0, 4.3
RETRY_GAP_S, GIVE_UP_S = 0.2, 20.0


class Canceller:
    """Client that cancels jobs, each again until it has an answer 200 or 410.

    One thread makes all calls, and none of them waits for another one.
    """

    def __init__(self, deployment, entries):
        self.deployment, self.entries = deployment, entries
        # By job: time of the first call, time of the answer 200 or 410, and its code.
        self.sent, self.acks, self.codes = {}, {}, {}
        # Calls that were answered otherwise or not at all.
        self.repeats = 0
        self.loop = asyncio.new_event_loop()
        self.load_ended = asyncio.Event()
        self.calls = []
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def cancel(self, job, entry, delay_s=0.0):
        """Cancels a job after a delay, or at the end of the load if that comes first."""
        self.calls.append(asyncio.run_coroutine_threadsafe(self._cancel(job, entry, delay_s),
                                                           self.loop))

    def finish(self):
        """Sends the cancellations that are left, waits for all answers and ends the thread."""
        self.loop.call_soon_threadsafe(self.load_ended.set)
        for call in self.calls:
            call.result(GIVE_UP_S + 2 * CALL_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _cancel(self, job, entry, delay_s):
        try:
            await asyncio.wait_for(self.load_ended.wait(), max(delay_s, 0))
        except asyncio.TimeoutError:
            pass
        self.sent[job] = time.monotonic()
        while time.monotonic() < self.sent[job] + GIVE_UP_S:
            code = await self._call(job, entry)
            if code in (200, 410):
                self.codes[job], self.acks[job] = code, time.monotonic()
                return
            self.repeats += 1
            entry = entry % self.entries + 1
            await asyncio.sleep(RETRY_GAP_S)

    async def _call(self, job, entry):
        """Status code of an entry's answer, 0 without one."""
        try:
            return await asyncio.wait_for(self._exchange(job, entry), CALL_TIMEOUT_S)
        except (OSError, ValueError, IndexError, asyncio.TimeoutError):
            return 0

    async def _exchange(self, job, entry):
        host, port = self.deployment.address(100 + entry, 8161).split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"DELETE /jobs/{job} HTTP/1.1", "Host: hub.example", "Content-Length: 0",
                     f"Deadline-Ms: {int(DEADLINE_S * 1000)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode())
            return int((await reader.readline()).split()[1])
        finally:
            writer.close()


class CancelCheck:
    """Finds runs that outlast the acknowledgement of their job's cancellation.

    What disturbs one worker excuses the runs on that worker alone, and all else those on all
    workers. Removals of agents, planned stops and cancellations excuse none.
    """

    def __init__(self, deployment, canceller):
        self.deployment, self.canceller = deployment, canceller
        self.began = time.monotonic()
        # [from, until] by name of the worker, "" for what concerns all.
        self.disturbances = {"": [], **{name: [] for name in deployment.workers}}
        # Workers some of whose calls are late, replaced by the faults' own set.
        self.late_workers = set()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._look, daemon=True)

    def start(self):
        self.thread.start()

    def finish(self):
        self.ended.set()
        self.thread.join()

    def disturb(self):
        """Notes that all is disturbed from now on; returns the function that notes the end."""
        span = [time.monotonic(), float("inf")]
        self.disturbances[""].append(span)

        def end():
            span[1] = time.monotonic()
        return end

    def _is_disturbed(self, worker):
        return worker.mode or worker.down_until or worker.due_calls or worker in self.late_workers

    def _look(self):
        """Notes which workers are disturbed, each time from the previous look on."""
        looked = dict.fromkeys(self.deployment.workers, time.monotonic())
        while not self.ended.wait(LOOK_GAP_S):
            for name, worker in self.deployment.workers.items():
                previous, looked[name] = looked[name], time.monotonic()
                if self._is_disturbed(worker):
                    self.disturbances[name].append([previous, looked[name]])

    def calm_spans(self, name):
        """Spans (from, until) in which nothing disturbed the runs on a worker.

        "" for name: neither the daemons nor the table service were disturbed.
        """
        spans, since = [], self.began
        for began, ended in sorted(self.disturbances[""] + self.disturbances[name]):
            if began > since:
                spans.append((since, began))
            since = max(since, ended)
        return spans + [(since, time.monotonic())]

    def _runs(self, name):
        """Runs on a worker as (task, run, start, end); those that go on end now."""
        runs, worker = {}, self.deployment.workers[name]
        with worker.lock:
            for kind, at, task, run, _ in worker.history:
                if kind == "start":
                    runs[task, run] = [at, time.monotonic()]
                elif kind in ("end", "gone"):
                    runs[task, run][1] = at
        return [(task, run, *span) for (task, run), span in runs.items()]

    def find_outlasting_runs(self):
        """Runs that went on later than the acknowledgement of the cancellation allows."""
        violations = []
        for name, worker in self.deployment.workers.items():
            started_late = {(task, run) for task, run, _ in worker.late_starts}
            allowed_s = CANCEL_S + max(STOP_S, worker.stop_delay_s) + MEASURING_S
            spans = self.calm_spans(name)
            for task, run, start, end in self._runs(name):
                job = task.split(".")[0]
                if self.canceller.codes.get(job) != 200:
                    continue
                # The rules count late starts only after contact_ms.
                since = max(self.canceller.acks[job],
                            start + CONTACT_S if (task, run) in started_late else 0)
                if any(max(start, max(since, began + CONTACT_S) + allowed_s) < min(end, ended)
                       for began, ended in spans):
                    violations.append(f"{task}: run {run} on {name} went on {end - since:.2f} s "
                                      "after its job's cancellation was acknowledged")
        return violations

    def count_late_acks(self):
        """Cancellations without an answer 200 or 410 after ACK_TIMEOUT_S of calm time on end.

        What disturbs workers alone excuses none.
        """
        count = 0
        spans = self.calm_spans("")
        for job, sent in self.canceller.sent.items():
            acked = self.canceller.acks.get(job, time.monotonic())
            count += any(min(acked, ended) - max(sent, began + CONTACT_S) > ACK_TIMEOUT_S
                         for began, ended in spans)
        return count
