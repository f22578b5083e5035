"""Stand-ins for the users' table service and workers, as HTTP servers in threads of the test process.

Tests set their faults: the table service can leave calls unanswered, refuse them, lose answers or
delay calls. A worker can ignore calls, leave them unanswered after they took effect, or crash.
"""

import base64
import heapq
import json
import random
import socket
import threading
import time
import urllib.error
import urllib.parse
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from links import CountedSet

CHANGE_RETENTION_S = 20
# The longest max_hold_ms of the users' sites; it exceeds the lease of the agents (6 s).
LEASE_MAX_MS = 10000
# The clock of each incarnation starts somewhere in this range and runs slow.
CLOCK_START_MS = (1000000, 9000000)
CLOCK_RATE = 0.98
STOP_DELAY_MS = 200
# From the start of a task that crashes its worker to the crash, and until the worker is back.
CRASH_DELAY_MS = 10
CRASH_DOWN_S = 1.0
# A worker is down for at least this long when it restarts.
RESTART_MIN_S = 0.3
# Time from a shrinking of a worker's room until starts must respect it.
ROOM_NOTICE_S = 1.0


class Handler(BaseHTTPRequestHandler):
    """Passes each call to serve() of a stand-in.

    serve() returns (status code, body), or None to close the connection without an answer. A body
    of bytes is sent as it is. alter_answer(path, code, body) of the stand-in may replace it.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _call(self):
        length = int(self.headers.get("Content-Length") or 0)
        raw = self.rfile.read(length)
        answer = self.server.standin.serve(self.command, self.path, raw, self.client_address[0],
                                           self.headers)
        if answer is None:
            self.close_connection = True
            return
        code, body = answer
        if self.server.standin.alter_answer:
            body = self.server.standin.alter_answer(urllib.parse.urlsplit(self.path).path, code, body)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(code)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = _call

    def log_message(self, *args):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, standin):
        host, port = address.split(":")
        super().__init__((host, int(port)), Handler)
        self.standin = standin
        self.connections = set()
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def break_connections(self):
        """Closes all open connections, as the crash of a server does."""
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        pass


ROW_MAX_BYTES = 65536
TXN_MAX_BYTES = 1000 * 1000
# Time after which the connection of a call without an answer is closed, above the daemons' timeout.
SILENCE_S = 1.5


def clock_ms():
    """Steady clock of the table service."""
    return int(time.monotonic() * 1000)


class Store:
    """Table service: rows by table, part and key, conditional transactions and change feeds.

    A part is a partition of the rows; each transaction is confined to one.
    """

    def __init__(self, address):
        self.lock = threading.Condition()
        # (value, version) by row id, which is (table, part, key).
        self.rows = {}
        # History of the change feed: (version, row id, value, time).
        self.changes = []
        self.ver = 0
        # "busy": refuses all calls; "silent": leaves them unanswered for longer than the timeout
        # of the daemons.
        self.mode = ""
        # IP addresses of callers whose calls are refused, and of those whose calls have no answer.
        self.refused_callers = set()
        self.silent_callers = set()
        # As silent_callers, for cuts that may overlap.
        self.cut_callers = CountedSet()
        # Callers whose calls are carried out, but have no answer.
        self.unheard_callers = CountedSet()
        # Called with the path, the query and the caller: seconds for which the call waits.
        self.choose_delay_s = lambda path, query, caller: 0
        self.lost_answer_share = 0.0
        self.delay_s = 0.004
        self.commits = 0
        self.refused_for_size = 0
        # Called with the body and the caller of each transaction: whether it is left without an
        # answer until perform_late().
        self.is_late = lambda body, caller: False
        self.late = []
        self.alter_answer = None
        self.server = Server(address, self)

    def put(self, table, key, value, part=""):
        with self.lock:
            self._write_rows({(table, part, key): value})

    def value(self, table, key, part=""):
        with self.lock:
            row = self.rows.get((table, part, key))
            return row[0] if row else None

    def table(self, name):
        with self.lock:
            return {k: v[0] for k, v in self.rows.items() if k[0] == name}

    def perform_late(self):
        """Carries out the transactions that were left without an answer, if their checks hold."""
        late, self.late = self.late, []
        return [self._commit(body) for body in late]

    def discard_feed_history(self):
        """Drops the changes recorded so far; the rows stay."""
        with self.lock:
            self.changes = []

    def _write_rows(self, changes):
        self.ver += 1
        for row_id, value in changes.items():
            if value is None:
                self.rows.pop(row_id, None)
            else:
                self.rows[row_id] = (value, self.ver)
            self.changes.append((self.ver, row_id, value, time.monotonic()))
        while self.changes and time.monotonic() - self.changes[0][3] > CHANGE_RETENTION_S:
            self.changes.pop(0)
        self.lock.notify_all()

    @staticmethod
    def _encode_row(row_id, value, ver):
        row = {"table": row_id[0], "part": row_id[1], "key": row_id[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            # Values of bytes are not of a daemon: they are stored as they are.
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            row["value"] = base64.b64encode(raw).decode()
        return row

    def serve(self, method, path, raw, caller, headers):
        mode = self.mode
        if mode == "busy" or caller in self.refused_callers:
            return 503, {}
        if mode == "silent" or caller in self.silent_callers or caller in self.cut_callers:
            time.sleep(SILENCE_S)
            return None
        answer = self._perform(path, raw, caller)
        # The cut may have begun while the call waited.
        if caller in self.cut_callers or caller in self.unheard_callers:
            time.sleep(SILENCE_S)
            return None
        return answer

    def _perform(self, path, raw, caller):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        time.sleep(self.delay_s + self.choose_delay_s(url.path, query, caller))
        if url.path == "/rows-tx":
            body = json.loads(raw)
            if self.is_late(body, caller):
                self.late.append(body)
                return None
            return self._commit(body)
        if url.path == "/rows-get":
            return self._read_rows(query)
        if url.path == "/rows-feed":
            return self._read_feed(query)
        return 404, {}

    def _commit(self, body):
        def row_id(item):
            return (item["table"], item["part"], item["key"])

        # The platform accepts at most 100 rows in a transaction, all of one part, and no writes to
        # the tables "op" and "servers".
        items = body["expected_rev"] + body["set_keys"] + body["remove"]
        if len(items) > 100 or len({item["part"] for item in items}) > 1:
            return 400, {}
        # Values are Base64 of at most ROW_MAX_BYTES, a transaction takes at most TXN_MAX_BYTES.
        sizes = [len(item["value"]) for item in body["set_keys"]]
        if any(size * 3 // 4 - 2 > ROW_MAX_BYTES for size in sizes) or sum(sizes) > TXN_MAX_BYTES:
            self.refused_for_size += 1
            return 400, {}
        if any(item["table"] in ("op", "servers") for item in body["set_keys"] + body["remove"]):
            return 403, {}
        with self.lock:
            for item in body["expected_rev"]:
                row = self.rows.get(row_id(item))
                if (row[1] if row else 0) != item["ver"]:
                    current_rows = [self._encode_row(row_id(i), *self.rows[row_id(i)])
                                    for i in body["expected_rev"] if row_id(i) in self.rows]
                    return 412, {"rows": current_rows, "ver": self.ver, "now_ms": clock_ms()}
            changes = {row_id(i): json.loads(base64.b64decode(i["value"]))
                       for i in body["set_keys"]}
            changes.update({row_id(i): None for i in body["remove"]})
            self._write_rows(changes)
            self.commits += 1
            ver = self.ver
            # Multiples of the golden ratio spread the lost answers evenly.
            answer_lost = self.lost_answer_share and \
                (self.commits * 0.618) % 1 < self.lost_answer_share
        return None if answer_lost else (200, {"ver": ver, "now_ms": clock_ms()})

    def _read_rows(self, query):
        start, end = query.get("range_start", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        with self.lock:
            row_ids = sorted(row_id for row_id in self.rows
                             if row_id[0] == query["table"] and row_id[1] == query.get("part", "")
                             and row_id[2] >= start and (not end or row_id[2] < end))
            rows = [self._encode_row(row_id, *self.rows[row_id]) for row_id in row_ids[:limit]]
            return 200, {"rows": rows, "has_more": len(row_ids) > limit, "ver": self.ver,
                         "now_ms": clock_ms()}

    def _read_feed(self, query):
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while True:
                oldest = self.changes[0][0] if self.changes else self.ver + 1
                # The history lacks changes after the requested version.
                if after + 1 < oldest and after < self.ver:
                    return 410, {}
                rows = [self._encode_row(row_id, value, ver)
                        for ver, row_id, value, _ in self.changes
                        if ver > after and row_id[0] == query["table"]]
                remaining_s = until_s - time.monotonic()
                if rows or remaining_s <= 0:
                    return 200, {"rows": rows, "ver": self.ver, "now_ms": clock_ms()}
                self.lock.wait(min(remaining_s, 0.2))

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Worker:
    """Worker that runs tasks for the time in their spec; its own clock measures its lease.

    Members of a spec: "ms", run time; "fails", number of runs that fail; "crashes", tasks
    (STEP.INDEX) that crash each worker that starts them; "crash_ms", time until that crash, 0
    before the start is answered; "cpu", checked against the room.
    """

    def __init__(self, number, address, heartbeat_address, cpu=4000):
        self.number = number
        self.id = f"i-{number}"
        self.heartbeat_address = heartbeat_address
        self.cpu = cpu
        self.zone = "z"
        # (time, room) of the latest changes of the room, and starts that exceeded it.
        self.rooms = [(0.0, cpu)]
        self.starts_over_room = []
        self.room_notice_s = ROOM_NOTICE_S
        # Whether the agent receives the heartbeats.
        self.sends_heartbeats = True
        self.alter_answer = None
        # Acknowledgements of ends that the incarnation has not listed: they were for another one.
        self.acks_of_others = []
        # Called with the path and the body of each call: whether it is left without an answer until
        # perform_late().
        self.is_late = lambda path, body: False
        self.late = []
        # Seconds after which the worker carries out such a call by itself, in place of perform_late();
        # one that is due while the worker is down is carried out as the next incarnation starts.
        self.choose_late_delay_s = None
        # (time at which it is due, number of the call, path, body, headers), earliest first.
        self.due_calls = []
        # (task, run, incarnation) of the runs that were started late.
        self.late_starts = []
        # (time, text) of what else happened, and from which incarnation a call was put off.
        self.notes = []
        self.performs_late_call = False
        self.stop_delay_s = STOP_DELAY_MS / 1000
        # Called when an incarnation starts, before it accepts calls.
        self.on_start = lambda: None
        self.clock_start_range_ms = CLOCK_START_MS
        self.rng = random.Random(number)
        self.lock = threading.Condition()
        # "dark": ignores calls and sends no heartbeats; "mute": calls other than polls take effect
        # without an answer.
        self.mode = ""
        self.history = []
        # Events "end" that the agent took note of while the lease had not lapsed since.
        self.noted_ends = set()
        self.crashes = 0
        # Time at which the crashed worker is back, 0 while it is up, and its id then, "" for a new one.
        self.down_until = 0
        self.next_id = ""
        self.incarnation = 0
        self.start_incarnation()
        self.alive = True
        self.draining = False
        self.server = Server(address, self)
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        threading.Thread(target=self._run_tasks, daemon=True).start()

    def start_incarnation(self):
        """Starts a new incarnation that keeps no state of the earlier one."""
        with self.lock:
            self.incarnation = max(int(time.time() * 1000), self.incarnation + 1)
            self.started_at = time.monotonic()
            self.clock_start_ms = self.rng.randint(*self.clock_start_range_ms)
            self.down_until = 0
            self.fencing_token = 0
            self.lease_expires_ms = 0
            # By task: (run, state with the times at which the run ends).
            self.running = {}
            # By task: number of the last run that ended or must not start.
            self.last_ended_run = {}
            self.finished = []
            # By sequence number: the event "end", while the lease has not lapsed since.
            self.unlapsed_ends = {}
            self.end_seq = 0
            self.seq = 0
            self.on_start()

    def clock_ms(self):
        elapsed_s = time.monotonic() - self.started_at
        return self.clock_start_ms + int(elapsed_s * 1000 * CLOCK_RATE)

    def perform_late(self, only=""):
        """Carries out the calls that were left without an answer, on the present incarnation.

        only: carries out calls of this path, and leaves the others.
        """
        late = [item for item in self.late if only in ("", item[0])]
        self.late = [item for item in self.late if item not in late]
        return [self.perform(path, body, headers) for path, body, headers in late]

    def note(self, text):
        self.notes.append((time.monotonic(), f"incarnation {self.incarnation}: {text}"))

    def _put_off(self, path, body, headers):
        """Leaves a call without an answer for now."""
        if not self.choose_late_delay_s:
            self.late.append((path, body, headers))
            return
        with self.lock:
            delay_s = self.choose_late_delay_s()
            # The order of two calls that are due at once does not matter.
            heapq.heappush(self.due_calls, (time.monotonic() + delay_s, len(self.notes), path,
                                            body, headers))
            self.note(f"put off for {delay_s:.2f} s: {path} {json.dumps(body)}")

    def _perform_due_calls(self):
        while self.due_calls and self.due_calls[0][0] <= time.monotonic():
            _, _, path, body, headers = heapq.heappop(self.due_calls)
            count = len(self.history)
            # Nobody waits for the answer.
            self.performs_late_call = True
            answer = self.perform(path, dict(body, wait_ms=0), headers)
            self.performs_late_call = False
            self.late_starts += [(task, run, self.incarnation)
                                 for kind, _, task, run, _ in self.history[count:]
                                 if kind == "start"]
            self.note(f"carried out late: {path} {json.dumps(body)}: {json.dumps(answer)}")

    def _send_heartbeats(self):
        while self.alive:
            if self.mode != "dark" and not self.down_until and self.sends_heartbeats:
                self.beat()
            time.sleep(0.4)

    def beat(self):
        """Sends one heartbeat to the agent."""
        self.seq += 1
        body = {"service": "pool", "address": "x", "zone": self.zone, "version": "v1",
                "capacity": 8, "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0, "labels": ["a", "r1"], "seq": self.seq,
                "room": {"cpu": self.cpu, "mem_mb": 4096, "gpu": 0},
                "server_time_ms": self.clock_ms(), "born": self.incarnation}
        call("PUT", f"http://{self.heartbeat_address}/instances/{self.id}", body, 0.5)

    def _end_run(self, task, outcome):
        run, _ = self.running.pop(task)
        self.end_seq += 1
        self.last_ended_run[task] = run
        self.finished.append([self.end_seq, task, run, outcome, ""])
        event = ("end", time.monotonic(), task, run, outcome)
        self.history.append(event)
        self.unlapsed_ends[self.end_seq] = event
        self.lock.notify_all()

    def _check_lease(self):
        """Ends all runs if the lease has lapsed."""
        if self.clock_ms() < self.lease_expires_ms:
            return
        for task in list(self.running):
            self._end_run(task, "lapsed")
        self.unlapsed_ends = {}

    def _run_tasks(self):
        while self.alive:
            time.sleep(0.01)
            with self.lock:
                if self.down_until and time.monotonic() >= self.down_until:
                    self.start_incarnation()
                    self.id = self.next_id or f"i-{self.number}-{self.incarnation}"
                    self.note(f"started as {self.id}")
                if not self.down_until:
                    self._perform_due_calls()
                if any(state["crash_at"] and time.monotonic() >= state["crash_at"]
                       for _, state in self.running.values()):
                    self._crash_under_task()
                self._check_lease()
                for task in list(self.running):
                    _, state = self.running[task]
                    if state["stop_at"] and time.monotonic() >= state["stop_at"]:
                        self._end_run(task, "stopped")
                    elif time.monotonic() >= state["until"]:
                        self._end_run(task, state["how"])

    def serve(self, method, path, raw, caller, headers):
        if self.mode == "dark":
            time.sleep(1.5)
            return None
        try:
            body = json.loads(raw)
        except ValueError:
            return 400, {}
        if self.is_late(path, body):
            self._put_off(path, body, dict(headers))
            time.sleep(1.5)
            return None
        answer = self.perform(path, body, headers)
        if self.mode == "mute" and path != "/hold":
            time.sleep(1.0)
            return None
        return answer

    def perform(self, path, body, headers):
        """Carries out a call on the present incarnation; returns its answer, None without one."""
        with self.lock:
            if self.down_until:
                return None
            self._check_lease()
            incarnation = self.incarnation
            if headers.get("Expected-Instance", self.id) != self.id:
                return 421, {"server_time_ms": self.clock_ms()}
            if body.get("fencing_token", 0) < self.fencing_token:
                return 409, {"server_time_ms": self.clock_ms(), "reason": "fence"}
            self.fencing_token = body.get("fencing_token", 0)
            if path == "/run-start":
                answer = self._start_run(body)
            elif path == "/run-stop":
                answer = self._stop_run(body)
            elif path == "/hold":
                answer = self._poll(body)
            else:
                answer = 200, {"server_time_ms": self.clock_ms(), "born": self.incarnation}
            # The worker has crashed during a call that waits.
            if self.down_until or incarnation != self.incarnation:
                return None
        return answer

    def _start_run(self, body):
        task, run = body["task"], body["run"]
        answer = {"server_time_ms": self.clock_ms()}
        self.lease_expires_ms = max(self.lease_expires_ms,
                                    min(body["expires_ms"], self.clock_ms() + LEASE_MAX_MS))
        if task in self.running and self.running[task][0] == run:
            return 200, answer
        if run <= self.last_ended_run.get(task, 0):
            return 409, dict(answer, reason="old")
        if body["expires_ms"] <= self.clock_ms():
            return 409, dict(answer, reason="late")
        spec = json.loads(body["spec"] or "{}")
        fails = run <= spec.get("fails", 0)
        now = time.monotonic()
        crashes = ".".join(task.split(".")[2:]) in spec.get("crashes", [])
        crash_ms = spec.get("crash_ms", CRASH_DELAY_MS)
        self.running[task] = (run, {"until": now + spec.get("ms", 100) / 1000,
                                    "how": "failed" if fails else "done", "stop_at": 0,
                                    "crash_at": now + crash_ms / 1000 if crashes else 0,
                                    "cpu": spec.get("cpu", 0),
                                    "progress": spec.get("progress", 50)})
        self._check_room(task, now)
        self.history.append(("start", time.monotonic(), task, run, ""))
        if crashes and not crash_ms:
            self._crash_under_task()
        return 200, answer

    def set_room(self, cpu):
        """Shrinks or extends the room, which the next heartbeat reports."""
        with self.lock:
            self.cpu = cpu
            self.rooms.append((time.monotonic(), cpu))

    def _check_room(self, task, now):
        # The largest room of the last room_notice_s: that of the latest change before, or a later.
        current = max(i for i, (at, _) in enumerate(self.rooms) if at <= now - self.room_notice_s)
        room = max(cpu for _, cpu in self.rooms[current:])
        used = sum(state["cpu"] for _, state in self.running.values())
        if used > room:
            self.starts_over_room.append(f"{task}: {used} of {room} in use")

    def _stop_run(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task][0] == run:
            if not self.running[task][1]["stop_at"]:
                self.running[task][1]["stop_at"] = time.monotonic() + self.stop_delay_s
        else:
            # A start of this run that arrives later must be refused.
            self.last_ended_run[task] = max(self.last_ended_run.get(task, 0), run)
        return 200, {"server_time_ms": self.clock_ms()}

    def _poll(self, body):
        """Renews the lease, drops acknowledged ends and returns running and ended runs.

        A row of self.finished is (sequence number, task, run, outcome, checkpoint).
        """
        if body.get("expires_ms"):
            self.lease_expires_ms = max(self.lease_expires_ms,
                                        min(body["expires_ms"], self.clock_ms() + LEASE_MAX_MS))
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        # What a late acknowledgement causes shows in the runs that it makes the agent repeat.
        if body["ack_seq"] > self.end_seq and not self.performs_late_call:
            self.acks_of_others.append(f"{body['ack_seq']} of {self.end_seq}")
        for row in self.finished:
            if row[0] <= body["ack_seq"]:
                self.history.append(("noted", time.monotonic(), row[1], row[2], row[3]))
                if row[0] in self.unlapsed_ends:
                    self.noted_ends.add(self.unlapsed_ends.pop(row[0]))
        self.finished = [row for row in self.finished if row[0] > body["ack_seq"]]
        while not self.finished and time.monotonic() < until_s and self.mode != "dark" \
                and not self.down_until:
            self.lock.wait(0.05)
        # task, run, checkpoint, percentage of progress, metric
        running = [[task, run, "", state["progress"], 0]
                   for task, (run, state) in self.running.items()]
        return 200, {"server_time_ms": self.clock_ms(), "born": self.incarnation,
                     "running": running, "finished": self.finished[:500]}

    def _drop_runs(self):
        for task, (run, _) in self.running.items():
            self.history.append(("gone", time.monotonic(), task, run, ""))
        self.running = {}

    def _go_down(self, down_s=CRASH_DOWN_S, next_id=""):
        self.note("goes down")
        self._drop_runs()
        self.server.break_connections()
        self.next_id = next_id
        self.down_until = time.monotonic() + down_s

    def _crash_under_task(self):
        """Crashes; the next incarnation has another id."""
        self.crashes += 1
        self._go_down()

    def crash(self, down_s=RESTART_MIN_S):
        """Drops all running tasks; the next incarnation is up after a moment, under the same id."""
        with self.lock:
            self._go_down(down_s, self.id)

    def leave(self):
        """Reports that the worker drains, unregisters it at its agent and ends it for good."""
        self.draining = True
        self.beat()
        call("DELETE", f"http://{self.heartbeat_address}/instances/{self.id}", timeout=1)
        with self.lock:
            self._go_down(float("inf"))

    def close(self):
        self.alive = False
        self.server.shutdown()
        self.server.server_close()


def call(method, url, body=None, timeout=3.0, headers=None):
    """Makes an HTTP call; returns status code and decoded body, or code 0 without an answer."""
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    request = urllib.request.Request(url, data=data, method=method,
                                     headers={"Content-Type": "application/json",
                                              **(headers or {})})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        raw = error.read()
        try:
            return error.code, json.loads(raw or b"{}")
        except ValueError:
            return error.code, {}
    except (OSError, ValueError):
        return 0, {}
