"""Small deployment of catkinlug on loopback, for the scripts of this review.

Stand-ins for the platform's metadata store and for the workers, written from PROTOCOL.md, run in
one asyncio loop. The daemons are started as processes with the commands and the settings templates
of deploy/system.toml. Every address is 127.0.0.1 with a free port.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "orders.example"
PREFIX = "/jobs/"
# The bounds of the small site lemnaria-hub.
CANCEL_MS, STOP_GRACE_MS, MAX_HOLD_MS = 3000, 400, 10000
LIMIT_S = 110
TXN_S, READ_S, ROW_BYTES, HEARTBEAT_S = 0.005, 0.004, 65536, 1.5

_taken = set()


def free_address():
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            return f"127.0.0.1:{port}"


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def note(self, *words):
        self.file.write(f"{time.monotonic() - self.start:8.3f} " + " ".join(map(str, words)) + "\n")

    def close(self):
        self.file.close()


class Http:
    """HTTP/1.1 server. handle(method, path, headers, body) returns (code, body), or None to close the
    connection without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def listen(self, address):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), backlog=256)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {k.strip().lower(): v.strip()
                           for k, v in (line.split(":", 1) for line in lines[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length") or 0))
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    break
                code, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(f"HTTP/1.1 {code} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(method, address, path, body=None, headers=None, timeout=3.0):
    """Returns (code, body), with code 0 for no answer."""
    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                     "Content-Type: application/json", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in {"Host": address, **(headers or {})}.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            code = int(head.split(" ", 2)[1])
            length = re.search(r"content-length: *(\d+)", head, re.I)
            raw = await reader.readexactly(int(length.group(1))) if length else await reader.read()
            return code, (json.loads(raw) if raw else {})
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}


class Store:
    """The platform's metadata store.

    mode: "" serves; "busy" answers 503; "silent" does not answer; "reset" closes the connection.
    Each daemon has an address of the store for itself; modes holds the modes of single daemons.
    before_tx(caller, body) and after_tx(caller, body), if set, are told of each transaction that is
    carried out; after_tx returns True when the answer is to be lost: the connection delivers nothing further.
    """

    def __init__(self, record):
        self.record = record
        self.rows, self.changes, self.ver = {}, [], 0
        self.mode, self.modes = "", {}
        self.txn_s, self.read_s = TXN_S, READ_S
        self.before_tx = self.after_tx = None
        self.part_locks = {}
        self.changed = asyncio.Condition()
        self.refused_sizes = 0
        self.addresses = {}

    async def listen(self, caller):
        """Opens the address for one daemon."""
        self.addresses[caller] = free_address()
        await Http(lambda *request: self.serve(caller, *request)).listen(self.addresses[caller])

    async def put(self, table, key, value, part=""):
        await self._write({(table, part, key): json.dumps(value).encode()})

    def get(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return json.loads(row[0]) if row else None

    async def _write(self, changes):
        self.ver += 1
        ver = self.ver
        for row_id, value in changes.items():
            if value is None:
                self.rows.pop(row_id, None)
            else:
                self.rows[row_id] = (value, ver)
            self.changes.append((ver, row_id, value, time.monotonic()))
        while self.changes and time.monotonic() - self.changes[0][3] > 20:
            self.changes.pop(0)
        async with self.changed:
            self.changed.notify_all()
        return ver

    @staticmethod
    def _row(row_id, value, ver):
        row = {"table": row_id[0], "part": row_id[1], "key": row_id[2], "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _now(self):
        return {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    async def _fail(self, caller):
        """The answer of the present mode, or () when the store serves."""
        mode = self.mode or self.modes.get(caller, "")
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            await asyncio.sleep(10)
            return None
        if mode == "reset":
            return None
        return ()

    async def serve(self, caller, method, path, headers, raw):
        failure = await self._fail(caller)
        if failure != ():
            return failure
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-tx":
            return await self._tx(caller, json.loads(raw), len(raw))
        if url.path == "/rows-get":
            await asyncio.sleep(self.read_s)
            return self._read(query)
        if url.path == "/rows-feed":
            return await self._feed(caller, query)
        return 404, {}

    async def _tx(self, caller, body, size):
        def row_id(item):
            return item["table"], item.get("part", ""), item["key"]
        checks = body.get("expected_rev") or []
        puts, drops = body.get("set_keys") or [], body.get("remove") or []
        items = checks + puts + drops
        parts = {item.get("part", "") for item in items}
        if len(items) > 100 or len(parts) != 1 or size > 1000000 * 4 // 3:
            return 400, {}
        if any(item["table"] in ("op", "servers") for item in puts + drops):
            return 403, {}
        values = {row_id(item): base64.b64decode(item["value"]) for item in puts}
        if any(len(value) > ROW_BYTES for value in values.values()):
            self.refused_sizes += 1
            self.record.note("store refuses a row of", max(map(len, values.values())), "bytes (400)")
            return 400, {}
        async with self.part_locks.setdefault(parts.pop(), asyncio.Lock()):
            await asyncio.sleep(self.txn_s)
            failure = await self._fail(caller)
            if failure != ():
                return failure
            if any(self.rows.get(row_id(i), (b"", 0))[1] != i.get("ver", 0) for i in checks):
                rows = [self._row(row_id(i), *self.rows[row_id(i)])
                        for i in checks if row_id(i) in self.rows]
                return 412, {"rows": rows, **self._now()}
            if self.before_tx:
                self.before_tx(caller, body)
            changes = dict(values)
            changes.update({row_id(i): None for i in drops})
            ver = await self._write(changes)
        if self.after_tx and self.after_tx(caller, body):
            return None
        return 200, {"ver": ver, "now_ms": int(time.monotonic() * 1000)}

    def _read(self, query):
        start, end = query.get("range_start", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        ids = sorted(i for i in self.rows if i[0] == query["table"] and i[1] == query.get("part", "")
                     and i[2] >= start and (not end or i[2] < end))
        rows, size = [], 0
        for i in ids[:limit]:
            size += len(self.rows[i][0])
            if rows and size > 1000000:
                break
            rows.append(self._row(i, *self.rows[i]))
        return 200, {"rows": rows, "has_more": len(rows) < len(ids), **self._now()}

    async def _feed(self, caller, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            failure = await self._fail(caller)
            if failure != ():
                return failure
            oldest = self.changes[0][0] if self.changes else self.ver + 1
            if after + 1 < oldest and after < self.ver:
                return 410, {}
            last = {}
            for ver, row_id, value, _ in self.changes:
                if ver > after and row_id[0] == query["table"]:
                    last[row_id] = (value, ver)
            left = until - time.monotonic()
            if last or left <= 0:
                rows = sorted((self._row(i, *v) for i, v in last.items()), key=lambda r: r["ver"])
                return 200, {"rows": rows, **self._now()}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker that guards nothing (`admission_check` false) and keeps its lease by its own clock. Its
    tasks save no checkpoints.

    work_ms(task, run) gives the time that a run works.
    """

    def __init__(self, name, record, work_ms, cpu=16000, mem_mb=64000, labels=("a", "r1-1")):
        self.name, self.record, self.work_ms = name, record, work_ms
        self.id = f"i-{name}"
        self.room, self.labels = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}, list(labels)
        self.app, self.control = free_address(), free_address()
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = self.expires_ms = self.seq = self.end_seq = self.acked = 0
        self.running, self.ended, self.finished = {}, {}, []
        # (kind, time, task, run, how) with the kinds start, end and noted.
        self.history = []
        # Times at which the lease lapsed.
        self.lapsed, self.lapses = True, []
        self.ended_event = asyncio.Event()
        self.http = Http(self.serve)
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        await self.http.listen(self.app)
        self.tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._work())]

    def _log(self, kind, task, run, how=""):
        self.history.append((kind, time.monotonic(), task, run, how))
        self.record.note(self.name, kind, f"{task} run {run}", how)

    async def _beat(self):
        while True:
            self.seq += 1
            await call("PUT", self.control, f"/instances/{self.id}", {
                "service": "pool", "address": self.app, "zone": "z1", "version": "v1",
                "capacity": 8, "state": "ready", "cold_remaining_ms": 0, "room": self.room,
                "labels": self.labels, "server_time_ms": self.clock_ms(), "seq": self.seq,
                "born": self.born}, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S if self.seq > 3 else 0.5)

    def _end(self, task, how):
        state = self.running.pop(task)
        self.end_seq += 1
        self.ended[task] = max(self.ended.get(task, 0), state["run"])
        self.finished.append([self.end_seq, task, state["run"], how, ""])
        self._log("end", task, state["run"], how)
        self.ended_event.set()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            lapsed = self.clock_ms() >= self.expires_ms
            if lapsed and not self.lapsed:
                self.lapses.append(now)
            self.lapsed = lapsed
            for task in list(self.running):
                state = self.running[task]
                if lapsed:
                    self._end(task, "lapsed")
                elif state["stop_at"] and now >= state["stop_at"]:
                    self._end(task, "stopped")
                elif now >= state["until"]:
                    self._end(task, "done")

    def _lease(self, body):
        asked = min(body.get("expires_ms", 0), self.clock_ms() + MAX_HOLD_MS)
        self.expires_ms = max(self.expires_ms, asked)

    async def serve(self, method, path, headers, raw):
        body = json.loads(raw)
        clock = {"server_time_ms": self.clock_ms(), "born": self.born}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, clock
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {**clock, "reason": "fence"}
        self.token = token
        if path == "/hold":
            return await self._hold(body)
        task, run = body["task"], body["run"]
        if path == "/run-start":
            return self._start(task, run, body, clock)
        if path == "/run-stop":
            state = self.running.get(task)
            if state and state["run"] == run:
                state["stop_at"] = state["stop_at"] or time.monotonic() + 0.1
            elif not state:
                self.ended[task] = max(self.ended.get(task, 0), run)
        return 200, clock

    def _start(self, task, run, body, clock):
        self._lease(body)
        state = self.running.get(task)
        if state and state["run"] == run:
            return 200, clock
        if run <= self.ended.get(task, 0):
            return 409, {**clock, "reason": "old"}
        if body["expires_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        now = time.monotonic()
        self.running[task] = {"run": run, "began": now, "stop_at": 0,
                              "until": now + self.work_ms(task, run) / 1000}
        self._log("start", task, run)
        return 200, clock

    async def _hold(self, body):
        self._lease(body)
        ack = body.get("ack_seq", 0)
        for row in self.finished:
            if row[0] <= ack:
                self._log("noted", row[1], row[2], row[3])
        self.finished = [row for row in self.finished if row[0] > ack]
        if not self.finished and body.get("wait_ms"):
            self.ended_event.clear()
            try:
                await asyncio.wait_for(self.ended_event.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, s["run"], "",
                    min(99, int(100 * (now - s["began"]) / max(s["until"] - s["began"], 0.001))), 0]
                   for task, s in self.running.items()]
        return 200, {"server_time_ms": self.clock_ms(), "born": self.born, "running": running,
                     "finished": self.finished[:500]}


class Links:
    """The links between the daemons: a TCP proxy before each agent's internal address.

    While a caller, known by its source address, is cut off, its connections are silent. Bytes that are
    held up are delivered after the cut, unless the caller has closed the connection meanwhile.
    """

    def __init__(self):
        self.cut = set()

    async def listen(self, address, target):
        host, port = address.split(":")
        await asyncio.start_server(lambda r, w: self._pass(r, w, target), host, int(port))

    async def _pass(self, reader, writer, target):
        caller = writer.get_extra_info("peername")[0]
        await self._healed(caller)
        try:
            other_reader, other_writer = await asyncio.open_connection(*target.split(":"))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._copy(caller, reader, other_writer),
                             self._copy(caller, other_reader, writer), return_exceptions=True)

    async def _healed(self, caller):
        while caller in self.cut:
            await asyncio.sleep(0.01)

    async def _copy(self, caller, reader, writer):
        held = b""
        try:
            while True:
                try:
                    data = await asyncio.wait_for(reader.read(65536), 0.02 if held else None)
                    if not data:
                        break
                    held += data
                except asyncio.TimeoutError:
                    pass
                if caller not in self.cut:
                    writer.write(held)
                    await writer.drain()
                    held = b""
        finally:
            await self._healed(caller)
            writer.close()


class Deployment:
    """Store, workers, agents and entries.

    With links, a proxy stands before the internal address of each agent, and each entry has a source
    address of its own.
    """

    def __init__(self, record, agents, entries, work_ms, links=False, **worker_options):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="catkinlug-review-")
        self.store = Store(record)
        self.workers = {f"agent-{i}": Worker(f"agent-{i}", record, work_ms, **worker_options)
                        for i in range(1, agents + 1)}
        self.daemons, self.inner, self.fronts, self.ready = {}, {}, {}, {}
        self.links, self.sources, self.proxies = Links() if links else None, {}, {}
        for name in list(self.workers) + [f"entry-{i}" for i in range(1, entries + 1)]:
            self.inner[name] = free_address()
            if name.startswith("entry"):
                self.fronts[name], self.ready[name] = free_address(), free_address()
                self.sources[name] = f"127.0.0.{1 + int(name.split('-')[1])}"
            elif links:
                self.proxies[name] = free_address()

    def _settings(self, name):
        """The settings file of a daemon, from the role's template."""
        role = name.split("-")[0]
        ports = [self.inner[name].split(":")[1], free_address().split(":")[1]]
        values = {"node_name": name, "region": "r1", "zone": "z1", "ip": "127.0.0.1",
                  "internal_ports.0": ports[0], "internal_ports.1": ports[1],
                  "platform.address": self.store.addresses[name]}
        if role == "agent":
            values["listen_addrs.control"] = self.workers[name].control
            values["app"] = self.workers[name].app
        else:
            values["listen_addrs.front"] = self.fronts[name]
            values["listen_addrs.ready"] = self.ready[name]
        with open(os.path.join(ROOT, "deploy", f"{role}.yaml.in"), encoding="utf-8") as file:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m.group(1)], file.read())
        if self.links and role == "agent":
            text += f"advertise: {self.proxies[name]}\n"
        elif self.links:
            text += f"source: {self.sources[name]}\n"
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start_daemon(self, name):
        """Starts a daemon with the command of deploy/system.toml; its settings lie elsewhere."""
        role = name.split("-")[0]
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            words = re.search(rf"\[roles\.{role}\]\s+run = \"([^\"]+)\"", file.read()).group(1).split()
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.daemons[name] = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, words[0]), self._settings(name), stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def kill(self, name):
        self.record.note("kill -9", name)
        self.daemons[name].send_signal(signal.SIGKILL)

    async def start(self):
        for name in list(self.workers) + list(self.fronts):
            await self.store.listen(name)
        routes = [{"name": "jobs", "host": HOST, "prefix": PREFIX, "service": "pool", "priority": 0,
                   "attempts": 4, "slo_factor": 2.0, "slo_ms": 1000}]
        await self.store.put("op", "config", {
            "version": 7, "routes": routes, "limits": {},
            "services": [{"name": "pool", "admission_check": False}]})
        for worker in self.workers.values():
            await worker.start()
        for name, address in self.proxies.items():
            await self.links.listen(address, self.inner[name])
        for name in list(self.workers) + list(self.fronts):
            await self.start_daemon(name)

    async def wait(self, condition, seconds, every=0.05):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(every)
        return bool(condition())

    async def is_serving(self):
        """Whether all entries are ready, all shards have an owner and all workers are held."""
        for address in self.ready.values():
            if (await call("GET", address, "/ready", timeout=1.0))[0] != 200:
                return False
        return len(self.owners()) == 4 and all(w.expires_ms for w in self.workers.values())

    async def wait_until_serving(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_serving():
                await asyncio.sleep(1.5)
                return True
            await asyncio.sleep(0.2)
        return False

    def owners(self):
        """Name of the agent that owns a shard, by shard."""
        by_address = {address: name for name, address in (self.proxies or self.inner).items()}
        rows = {key[2]: json.loads(value) for (key, (value, _)) in self.store.rows.items()
                if key[0] == "owner"}
        return {shard: by_address[row["address"]] for shard, row in rows.items() if row["address"]}

    async def request(self, method, job, body=None, entry="entry-1", timeout=3.0):
        code, answer = await call(method, self.fronts[entry], PREFIX + job, body,
                                  {"Host": HOST, "Deadline-Ms": int(timeout * 1000)}, timeout)
        self.record.note("client", method, job, "at", entry, "->", code, answer)
        return code, answer

    def history(self):
        return sorted((event for worker in self.workers.values() for event in worker.history),
                      key=lambda event: event[1])

    def twice(self):
        """Rule TWICE: runs of one task that overlap, and starts after an end `done` that was taken note
        of then or later, unless the worker's lease lapsed between the end and the note."""
        noted = set()
        for worker in self.workers.values():
            ends = {}
            for kind, at, task, run, how in worker.history:
                if kind == "end":
                    ends[task, run] = at
                elif kind == "noted" and how == "done" and not any(
                        ends[task, run] < lapse < at for lapse in worker.lapses):
                    noted.add((task, run))
        broken, working, done = [], {}, {}
        for kind, _, task, run, how in self.history():
            if kind == "start":
                if working.get(task):
                    broken.append(f"TWICE: {task} run {run} starts beside run {working[task]}")
                if task in done:
                    broken.append(f"TWICE: {task} run {run} starts after run {done[task]} ended done")
                working.setdefault(task, []).append(run)
            elif kind == "end":
                working[task].remove(run)
                if how == "done" and (task, run) in noted:
                    done.setdefault(task, run)
        return broken

    def shard_of(self, job):
        """Shard that stores a job, by its row."""
        return next((key[1] for key in self.store.rows if key[0] == "live" and key[2] == job), None)

    def log(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8") as file:
            return file.read()

    async def close(self):
        for process in self.daemons.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.daemons.values():
            await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play):
    """Runs a case, which writes its record to the file that the command line names. play(record) returns a list of broken rules; raising CannotRun ends with 2."""
    record = Record(sys.argv[1])
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
        for line in broken[:20]:
            record.note("BROKEN", line)
            print("broken:", line)
        code = 1 if broken else 0
        record.note("rule broken" if broken else "rule held", f"({len(broken)} findings)")
        print("rule broken" if broken else "rule held")
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        record.note("could not run:", repr(problem))
        print("could not run:", repr(problem))
    record.close()
    sys.exit(code)


class CannotRun(Exception):
    pass
