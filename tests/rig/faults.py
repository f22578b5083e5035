"""Faults that a run can inject, as pairs of functions.

The first function injects the fault and returns its target, or None if it can't be injected at
present. The second one undoes it on this target.
"""

import json
import os
import signal
import threading
import time


def now_us():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)


class FaultContext:
    """The deployment on which faults act, and the records of the faults for the checker."""

    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.rng = rng
        self.proxy_rules = {}
        self.drains = []
        self.cancelled = set()
        self.stops = []
        self.fail_all = False
        self.dead_workers = set()
        self.reserved = set()
        self.load_peaks = 0
        self.recent_accepted_jobs = lambda: []
        self.lock = threading.Lock()

    def record_event(self, worker, event):
        """Appends an event to the workers' history."""
        line = json.dumps({"t_us": now_us(), "worker": worker, "event": event, "job": "",
                           "index": 0, "attempt": 0, "progress_ms": 0, "used_ms": 0})
        fd = os.open(os.path.join(self.deployment.dir, "history.jsonl"),
                     os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        os.write(fd, (line + "\n").encode())
        os.close(fd)

    def set_proxy_rules(self, group, rules):
        """Replaces the proxy rules of one fault; rules of other faults stay."""
        with self.lock:
            if rules:
                self.proxy_rules[group] = rules
            else:
                self.proxy_rules.pop(group, None)
            all_rules = [rule for group_rules in self.proxy_rules.values() for rule in group_rules]
            self.deployment.control_proxy(set=all_rules)
            # These effects apply once, to existing connections: they must not be repeated when
            # other rules change.
            for group_rules in self.proxy_rules.values():
                group_rules[:] = [rule for rule in group_rules
                                  if rule["effect"] not in ("silent", "reset")]

    def reserve_process(self, names):
        """Chooses and reserves a process that no other fault has reserved."""
        free = [name for name in names if name not in self.reserved and name in
                self.deployment.processes]
        if not free:
            return None
        name = self.rng.choice(free)
        self.reserved.add(name)
        return name

    def agents(self):
        return [self.deployment.agent(worker) for worker in self.deployment.workers]

    def is_up(self, name):
        """Whether a daemon answers /healthz; a daemon that answers handles SIGTERM."""
        from deploy import http
        try:
            return http("GET", f"http://{self.deployment.ip(name)}:8080/healthz",
                        timeout=1)[0] == 200
        except OSError:
            return False

    def zone_agents(self, zone):
        return [a for a in self.agents() if self.deployment.zone(a) == zone]

    def kill_worker(self, worker):
        self.deployment.kill(worker)
        self.record_event(worker, "worker_dead")
        self.dead_workers.add(worker)


def kill_process(kind):
    def inject(context):
        names = context.agents() if kind == "agent" else context.deployment.entries
        name = context.reserve_process(names)
        if name:
            context.deployment.kill(name)
        return name

    def undo(context, name):
        context.deployment.start(name)
        context.reserved.discard(name)
    return inject, undo


def kill_instance(context):
    """Kills an agent and its worker."""
    agent = context.reserve_process(context.agents())
    if not agent:
        return None
    worker = agent.replace("agent", "worker")
    context.deployment.kill(agent)
    context.kill_worker(worker)
    return agent


def restart_instance(context, agent):
    context.deployment.start(agent.replace("agent", "worker"))
    context.deployment.start(agent)
    context.reserved.discard(agent)


def kill_zone(context):
    zone = context.rng.choice(context.deployment.zones)
    agents = context.zone_agents(zone)
    if any(a in context.reserved or a not in context.deployment.processes for a in agents):
        return None
    context.reserved.update(agents)
    for agent in agents:
        context.deployment.kill(agent)
        context.kill_worker(agent.replace("agent", "worker"))
    return agents


def restart_zone(context, agents):
    for agent in agents:
        restart_instance(context, agent)


def pause_process(kind):
    def inject(context):
        names = {"agent": context.agents(), "worker": context.deployment.workers,
                 "entry": context.deployment.entries}[kind]
        name = context.reserve_process(names)
        if name:
            context.deployment.signal(name, signal.SIGSTOP)
        return name

    def undo(context, name):
        if name in context.deployment.processes:
            context.deployment.signal(name, signal.SIGCONT)
        context.reserved.discard(name)
    return inject, undo


def aborted_requests(deployment, name):
    """Whether a daemon aborted requests at its last stop: "0" or "some"; "?" if not logged."""
    with open(os.path.join(deployment.dir, f"{name}.log"), encoding="utf-8") as file:
        lines = [line for line in file if "event=stopped" in line]
    return lines[-1].split("cut=")[1].strip() if lines else "?"


def restart_process(kind):
    def inject(context):
        names = context.agents() if kind == "agent" else context.deployment.entries
        name = context.reserve_process([n for n in names if context.is_up(n)])
        if name:
            code = context.deployment.stop(name)
            context.stops.append((name, code, aborted_requests(context.deployment, name)))
        return name

    def undo(context, name):
        context.deployment.start(name)
        context.reserved.discard(name)
    return inject, undo


def table_service_fault(**control):
    def inject(context):
        if "platform" in context.reserved:
            return None
        context.reserved.add("platform")
        context.deployment.control_platform(**control)
        return "platform"

    def undo(context, name):
        context.deployment.control_platform(**{key: 0 for key in control})
        context.reserved.discard(name)
    return inject, undo


def link_fault(effect, one_way=False, to=None, **extra):
    """A fault that applies a proxy rule to the connections of a random agent.

    The rule applies to the connections with the peer `to`, or with all peers if it is None. A
    one-way rule applies to bytes in one direction, which is drawn at random.
    """
    def inject(context):
        agent = context.rng.choice(context.agents())
        group = f"{effect}-{now_us()}"
        rule = {"a": agent, "b": to or "*", "effect": effect, "one_way": one_way, **extra}
        if one_way and context.rng.random() < 0.5:
            rule["a"], rule["b"] = rule["b"], rule["a"]
        context.set_proxy_rules(group, [rule])
        return group

    def undo(context, group):
        context.set_proxy_rules(group, None)
    return inject, undo


def cut_region(context):
    """Cuts half of the zones from the others and from the platform, as at the loss of a region."""
    zones = list(context.deployment.zones)
    context.rng.shuffle(zones)
    cut_zones = zones[:max(1, len(zones) // 2)]
    group = f"region-{now_us()}"
    rules = [{"a": zone, "b": other, "effect": "cut"} for zone in cut_zones
             for other in zones if other not in cut_zones]
    rules += [{"a": zone, "b": "platform-1", "effect": "cut"} for zone in cut_zones]
    context.set_proxy_rules(group, rules)
    return group


def clear_proxy_rules(context, group):
    context.set_proxy_rules(group, None)


def drain_worker(context):
    agent = context.reserve_process(context.agents())
    if not agent:
        return None
    worker = agent.replace("agent", "worker")
    for entry in range(len(context.deployment.entries)):
        try:
            status = context.deployment.call("POST", f"/workers/{worker}/drain", entry=entry,
                                             timeout=3)[0]
        except OSError:
            continue
        if status == 202:
            # A faulty connection may delay the order to drain. undrain_worker() reads the time at
            # which the drain began from the agent's timeline.
            return agent, worker, now_us()
    context.reserved.discard(agent)
    return None


def undrain_worker(context, target):
    """Undoes a drain; records its interval (boot time) if the agent reports that it is draining."""
    from deploy import http
    agent, worker, from_us = target
    until_us = now_us()
    try:
        text = http("GET", f"{context.deployment.agent_url(worker)}/metrics", timeout=2)[2].decode()
        if "\ncatkinlug_draining 1\n" in text:
            events = json.loads(http("GET", f"{context.deployment.agent_url(worker)}/timeline",
                                     timeout=2)[2])["events"]
            drain_events = [e for e in events if e["event"] == "drain"]
            # The timeline has wall time; the history has boot time.
            offset_us = now_us() - int(time.time() * 1e6)
            start_us = max(from_us, drain_events[-1]["wall_ms"] * 1000 + offset_us) \
                if drain_events else from_us
            context.drains.append((worker, start_us, until_us))
    except OSError:
        pass
    for entry in range(len(context.deployment.entries)):
        try:
            context.deployment.call("POST", f"/workers/{worker}/undrain", entry=entry, timeout=3)
        except OSError:
            continue
    context.reserved.discard(agent)


def cancel_jobs(context):
    jobs = context.recent_accepted_jobs()
    context.rng.shuffle(jobs)
    for job in jobs[:6]:
        context.cancelled.add(job["id"])
        try:
            context.deployment.call("DELETE", f"/jobs/{job['id']}?team={job['team']}",
                                    entry=context.rng.randrange(len(context.deployment.entries)),
                                    timeout=3)
        except OSError:
            continue
    return "cancel" if jobs else None


def worker_fault(**control):
    def inject(context):
        from deploy import http
        agent = context.reserve_process(context.agents())
        if not agent:
            return None
        if control.get("fail_all"):
            context.fail_all = True
        http("POST", context.deployment.worker_url(agent.replace("agent", "worker")) + "/control",
             json.dumps(control))
        return agent

    def undo(context, agent):
        from deploy import http
        normal = {"fail_all": 0} if "fail_all" in control else {"slow_percent": 100}
        http("POST", context.deployment.worker_url(agent.replace("agent", "worker")) + "/control",
             json.dumps(normal))
        context.reserved.discard(agent)
    return inject, undo


def start_peak(context):
    context.load_peaks += 1
    return context.start_load_peak()


def no_undo(context, target):
    del context, target


FAULTS = {
    "kill-agent": kill_process("agent"),
    "kill-entry": kill_process("entry"),
    "kill-instance": (kill_instance, restart_instance),
    "pause-agent": pause_process("agent"),
    "pause-worker": pause_process("worker"),
    "pause-entry": pause_process("entry"),
    "restart-agent": restart_process("agent"),
    "restart-entry": restart_process("entry"),
    "slow-worker": worker_fault(slow_percent=300),
    "fail-worker": worker_fault(fail_all=1),
    "store-down": table_service_fault(outage=1),
    "store-slow": table_service_fault(delay_ms=400),
    "store-lost-answers": table_service_fault(lose_percent=30),
    "link-delay": link_fault("delay", ms=150),
    "link-loss": link_fault("loss", percent=20),
    "link-cut": link_fault("cut"),
    "link-one-way": link_fault("stall", one_way=True),
    "link-silent": link_fault("silent"),
    "link-reset": link_fault("reset"),
    "store-cut": link_fault("cut", to="platform-1"),
    "zone-loss": (kill_zone, restart_zone),
    "region-cut": (cut_region, clear_proxy_rules),
    "drain": (drain_worker, undrain_worker),
    "cancel-wave": (cancel_jobs, no_undo),
    "load-swing": (start_peak, no_undo),
}
# Active in each run: concurrent edits, and declared run times off by a factor of up to ten.
PERMANENT_FAULTS = ["racing-edits", "sizes-off"]
