"""Faults that a run can draw. Each begins, holds for some seconds, and is undone."""

import json
import os
import signal
import threading
import time


def now_us():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)


class World:
    """What faults act on: a deployment, and notes that the checker needs."""

    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.rng = rng
        self.rules = {}
        self.drains = []
        self.cancelled = set()
        self.stops = []
        self.fail_all = False
        self.dead_workers = set()
        self.busy = set()
        self.load_swings = 0
        self.accepted = lambda: []
        self.lock = threading.Lock()

    def note(self, worker, event):
        """Adds an event to the workers' history."""
        line = json.dumps({"t_us": now_us(), "worker": worker, "event": event, "job": "",
                           "index": 0, "attempt": 0, "progress_ms": 0, "used_ms": 0})
        fd = os.open(os.path.join(self.deployment.dir, "history.jsonl"),
                     os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        os.write(fd, (line + "\n").encode())
        os.close(fd)

    def set_rules(self, owner, rules):
        """Replaces the proxy's rules that belong to one fault."""
        with self.lock:
            if rules:
                self.rules[owner] = rules
            else:
                self.rules.pop(owner, None)
            merged = [rule for part in self.rules.values() for rule in part]
            self.deployment.proxy(set=merged)
            # What acts once must not act again when other rules change.
            for part in self.rules.values():
                part[:] = [rule for rule in part if rule["effect"] not in ("silent", "reset")]

    def take(self, names):
        """Draws a process that no other fault holds."""
        free = [name for name in names if name not in self.busy and name in
                self.deployment.processes]
        if not free:
            return None
        name = self.rng.choice(free)
        self.busy.add(name)
        return name

    def agents(self):
        return [self.deployment.agent(worker) for worker in self.deployment.workers]

    def is_up(self, name):
        """A daemon that has got as far as its loop, and so handles a request to stop."""
        from deploy import http
        try:
            return http("GET", f"http://{self.deployment.ip(name)}:8080/healthz", timeout=1)[0] == 200
        except OSError:
            return False

    def zone_agents(self, zone):
        return [a for a in self.agents() if self.deployment.zone(a) == zone]

    def kill_worker(self, worker):
        self.deployment.kill(worker)
        self.note(worker, "worker_dead")
        self.dead_workers.add(worker)


def kill_process(kind):
    def begin(world):
        names = world.agents() if kind == "agent" else world.deployment.entries
        name = world.take(names)
        if name:
            world.deployment.kill(name)
        return name

    def end(world, name):
        world.deployment.start(name)
        world.busy.discard(name)
    return begin, end


def begin_instance(world):
    agent = world.take(world.agents())
    if not agent:
        return None
    worker = agent.replace("agent", "worker")
    world.deployment.kill(agent)
    world.kill_worker(worker)
    return agent


def end_instance(world, agent):
    world.deployment.start(agent.replace("agent", "worker"))
    world.deployment.start(agent)
    world.busy.discard(agent)


def begin_zone(world):
    zone = world.rng.choice(world.deployment.zones)
    agents = world.zone_agents(zone)
    if any(a in world.busy or a not in world.deployment.processes for a in agents):
        return None
    world.busy.update(agents)
    for agent in agents:
        world.deployment.kill(agent)
        world.kill_worker(agent.replace("agent", "worker"))
    return agents


def end_zone(world, agents):
    for agent in agents:
        end_instance(world, agent)


def pause_process(kind):
    def begin(world):
        names = {"agent": world.agents(), "worker": world.deployment.workers,
                 "entry": world.deployment.entries}[kind]
        name = world.take(names)
        if name:
            world.deployment.signal(name, signal.SIGSTOP)
        return name

    def end(world, name):
        if name in world.deployment.processes:
            world.deployment.signal(name, signal.SIGCONT)
        world.busy.discard(name)
    return begin, end


def last_cut(deployment, name):
    """How many requests a daemon cut, from the last line of its log."""
    with open(os.path.join(deployment.dir, f"{name}.log"), encoding="utf-8") as file:
        lines = [line for line in file if "event=stopped" in line]
    return lines[-1].split("cut=")[1].strip() if lines else "?"


def restart_process(kind):
    def begin(world):
        names = world.agents() if kind == "agent" else world.deployment.entries
        name = world.take([n for n in names if world.is_up(n)])
        if name:
            code = world.deployment.stop(name)
            world.stops.append((name, code, last_cut(world.deployment, name)))
        return name

    def end(world, name):
        world.deployment.start(name)
        world.busy.discard(name)
    return begin, end


def platform(**control):
    def begin(world):
        if "platform" in world.busy:
            return None
        world.busy.add("platform")
        world.deployment.platform(**control)
        return "platform"

    def end(world, name):
        world.deployment.platform(**{key: 0 for key in control})
        world.busy.discard(name)
    return begin, end


def link(effect, one_way=False, to=None, **extra):
    """A rule on the links of one agent, towards everybody or towards one kind of peer."""
    def begin(world):
        agent = world.rng.choice(world.agents())
        owner = f"{effect}-{now_us()}"
        rule = {"a": agent, "b": to or "*", "effect": effect, "one_way": one_way, **extra}
        if one_way and world.rng.random() < 0.5:
            rule["a"], rule["b"] = rule["b"], rule["a"]
        world.set_rules(owner, [rule])
        return owner

    def end(world, owner):
        world.set_rules(owner, None)
    return begin, end


def begin_region(world):
    """Two of the zones lose the others and the platform's service, as a region would."""
    zones = list(world.deployment.zones)
    world.rng.shuffle(zones)
    away = zones[:max(1, len(zones) // 2)]
    owner = f"region-{now_us()}"
    rules = [{"a": zone, "b": other, "effect": "cut"} for zone in away
             for other in zones if other not in away]
    rules += [{"a": zone, "b": "platform-1", "effect": "cut"} for zone in away]
    world.set_rules(owner, rules)
    return owner


def end_rules(world, owner):
    world.set_rules(owner, None)


def begin_drain(world):
    agent = world.take(world.agents())
    if not agent:
        return None
    worker = agent.replace("agent", "worker")
    for entry in range(len(world.deployment.entries)):
        try:
            status = world.deployment.call("POST", f"/workers/{worker}/drain", entry=entry,
                                           timeout=3)[0]
        except OSError:
            continue
        if status == 202:
            # Told, but perhaps on a link that loses it: it counts from when the agent says so.
            return agent, worker, now_us()
    world.busy.discard(agent)
    return None


def end_drain(world, what):
    from deploy import http
    agent, worker, from_us = what
    until_us = now_us()
    try:
        text = http("GET", f"{world.deployment.agent_url(worker)}/metrics", timeout=2)[2].decode()
        if "\ncatkinlug_draining 1\n" in text:
            events = json.loads(http("GET", f"{world.deployment.agent_url(worker)}/timeline",
                                     timeout=2)[2])["events"]
            told = [e for e in events if e["event"] == "drain"]
            offset_us = now_us() - int(time.time() * 1e6)
            start = max(from_us, told[-1]["wall_ms"] * 1000 + offset_us) if told else from_us
            world.drains.append((worker, start, until_us))
    except OSError:
        pass
    for entry in range(len(world.deployment.entries)):
        try:
            world.deployment.call("POST", f"/workers/{worker}/undrain", entry=entry, timeout=3)
        except OSError:
            continue
    world.busy.discard(agent)


def begin_cancel(world):
    jobs = world.accepted()
    world.rng.shuffle(jobs)
    for job in jobs[:6]:
        world.cancelled.add(job["id"])
        try:
            world.deployment.call("DELETE", f"/jobs/{job['id']}?team={job['team']}",
                                  entry=world.rng.randrange(len(world.deployment.entries)),
                                  timeout=3)
        except OSError:
            continue
    return "cancel" if jobs else None


def worker_control(**control):
    def begin(world):
        from deploy import http
        agent = world.take(world.agents())
        if not agent:
            return None
        if control.get("fail_all"):
            world.fail_all = True
        http("POST", world.deployment.worker_url(agent.replace("agent", "worker")) + "/control",
             json.dumps(control))
        return agent

    def end(world, agent):
        from deploy import http
        normal = {"fail_all": 0} if "fail_all" in control else {"slow_percent": 100}
        http("POST", world.deployment.worker_url(agent.replace("agent", "worker")) + "/control",
             json.dumps(normal))
        world.busy.discard(agent)
    return begin, end


def begin_swing(world):
    world.load_swings += 1
    return world.swing()


def nothing(world, what):
    del world, what


FAULTS = {
    "kill-agent": kill_process("agent"),
    "kill-entry": kill_process("entry"),
    "kill-instance": (begin_instance, end_instance),
    "pause-agent": pause_process("agent"),
    "pause-worker": pause_process("worker"),
    "pause-entry": pause_process("entry"),
    "restart-agent": restart_process("agent"),
    "restart-entry": restart_process("entry"),
    "slow-worker": worker_control(slow_percent=300),
    "fail-worker": worker_control(fail_all=1),
    "store-down": platform(outage=1),
    "store-slow": platform(delay_ms=400),
    "store-lost-answers": platform(lose_percent=30),
    "link-delay": link("delay", ms=150),
    "link-loss": link("loss", percent=20),
    "link-cut": link("cut"),
    "link-one-way": link("stall", one_way=True),
    "link-silent": link("silent"),
    "link-reset": link("reset"),
    "store-cut": link("cut", to="platform-1"),
    "zone-loss": (begin_zone, end_zone),
    "region-cut": (begin_region, end_rules),
    "drain": (begin_drain, end_drain),
    "cancel-wave": (begin_cancel, nothing),
    "load-swing": (begin_swing, nothing),
}
# Always present: racing edits and declared sizes that are far off.
STANDING = ["racing-edits", "sizes-off"]
