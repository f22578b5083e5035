"""Starts and stops the processes of one example deployment on loopback addresses."""

import json
import os
import re
import signal
import subprocess
import time
import urllib.error
import urllib.request

import yaml

OPERATOR_TOKEN = "operator-secret"
SIZE_UNITS = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30, "TB": 1 << 40}
READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30
UP_TIMEOUT_S = 10


def size_bytes(text):
    """Number of bytes of a size such as 60GB."""
    match = re.fullmatch(r"([0-9.]+)([KMGT]?B)", text)
    return int(float(match.group(1)) * SIZE_UNITS[match.group(2)])


def http(method, url, body=None, headers=None, timeout=5):
    """Makes one HTTP call; returns status, headers and body, for 4xx and 5xx answers too."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_for(condition, timeout_s=READY_TIMEOUT_S, what="condition", step_s=0.05):
    """Waits until condition() is true and returns its value; raises TimeoutError after timeout_s.

    A condition() that raises OSError, ValueError or KeyError counts as not yet true.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            value = condition()
        except (OSError, ValueError, KeyError):
            value = None
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"no {what} within {timeout_s} s")
        time.sleep(step_s)


def table_text(rows):
    """Formats rows as the text of a table of weights and limits."""
    lines = ["team weight cores memory accelerators price"]
    for row in rows:
        lines.append(f"{row['team']} {row['weight']} {row['cores']} {row['memory']} "
                     f"{row['accelerators']} {row['price']}")
    return "\n".join(lines) + "\n"


class Deployment:
    """The processes of one deployment, each with its own loopback address 127.NET.x.y.

    proxied: internal connections and calls to the platform pass through standin-proxy. overrides
    replaces top-level members of the example; workers is the number of workers.
    """

    def __init__(self, example, run_dir, build="build", net=30, seed=1, proxied=False,
                 overrides=None, workers=None):
        with open(example, encoding="utf-8") as file:
            self.spec = yaml.safe_load(file)
        self.spec.update(overrides or {})
        if workers:
            self.spec["workers"]["count"] = workers
        self.dir = os.path.abspath(run_dir)
        self.build = os.path.abspath(build)
        self.net = net
        self.seed = seed
        self.proxied = proxied
        self.keys = None
        self.extra_agent_settings = {}
        self.processes = {}
        self.commands = {}
        self.exit_codes = {}
        self.zones = self.spec["zones"]
        os.makedirs(self.dir, exist_ok=True)
        self.entries = [f"entry-{i + 1}" for i in range(self.spec["entries"])]
        self.workers = [f"worker-{i + 1:02d}" for i in range(self.spec["workers"]["count"])]

    # Entries are at 127.NET.1.x, agents at .2.x, workers at .3.x, the platform at .4.1. With a
    # proxy, the advertised addresses are 127.NET+1.x.y, on which the proxy listens; its control
    # port is at 127.NET.5.1:9100. The bare server of bench/hop.py is at 127.NET.9.1.
    # Ports: 7000 internal connections, 8080 HTTP of entries and agents, 8100 control and 8101
    # backend server of a worker, 9000 platform.
    # Values of NET: 10 make slopes, 20 make up, 30 make run, from 40 conftest.py, 60 to 68 make
    # bench, 70 make bench-hop, 100 to 219 make fault and fault-campaign. QueueDeployment uses
    # 127.NET.0.x: from 140 test_hub.py, from 211 test_soak.py, 220 make soak. Deployments that run
    # at the same time need different values.
    def ip(self, name):
        kind, number = name.split("-")
        block = {"entry": 1, "agent": 2, "worker": 3, "platform": 4}[kind]
        return f"127.{self.net}.{block}.{int(number)}"

    def advertised_ip(self, name):
        ip = self.ip(name)
        if not self.proxied:
            return ip
        return ip.replace(f"127.{self.net}.", f"127.{self.net + 1}.", 1)

    def zone(self, name):
        number = int(name.split("-")[1])
        return self.zones[(number - 1) % len(self.zones)]

    def agent(self, worker):
        return worker.replace("worker", "agent")

    def entry_url(self, index=0):
        return f"http://{self.ip(self.entries[index])}:8080"

    def agent_url(self, worker):
        return f"http://{self.ip(self.agent(worker))}:8080"

    def worker_url(self, worker):
        return f"http://{self.ip(worker)}:8100"

    def platform_url(self):
        return f"http://{self.ip('platform-1')}:9000"

    def internal_keys(self):
        """Key pairs of the internal connections; one pair is generated if a test has set none."""
        if not self.keys:
            text = subprocess.run([f"{self.build}/catkinlug", "key", "new"], check=True,
                                  stdin=subprocess.DEVNULL, capture_output=True, text=True).stdout
            self.keys = yaml.safe_load(text)["keys"]
        return self.keys

    def tokens(self):
        tokens = [{"token": OPERATOR_TOKEN, "role": "operator"}]
        for row in self.spec["weights"]:
            tokens.append({"token": f"{row['team']}-secret", "team": row["team"]})
        return tokens

    def _common_settings(self, name):
        return {
            "name": name, "region": self.spec["region"], "zone": self.zone(name),
            "platform": {"url": f"http://{self.advertised_ip('platform-1')}:9000"},
            "lease": dict(self.spec["lease"]), "beat": self.spec["beat"],
            "keys": [dict(key) for key in self.internal_keys()],
        }

    def entry_settings(self, name):
        settings = self._common_settings(name)
        settings.update({
            "daemon": "entry", "http": f"{self.ip(name)}:8080", "inner": f"{self.ip(name)}:7000",
            "advertise": f"{self.advertised_ip(name)}:7000", "source": self.ip(name),
            "tokens": self.tokens(), "drain": "10s",
        })
        return settings

    def agent_settings(self, worker):
        name = self.agent(worker)
        service = self.spec["service"]
        settings = self._common_settings(worker)
        settings.update({
            "daemon": "agent", "rack": self.rack(worker),
            "http": f"{self.ip(name)}:8080", "inner": f"{self.ip(name)}:7000",
            "advertise": f"{self.advertised_ip(name)}:7000", "source": self.ip(name),
            "entries": [f"{self.advertised_ip(entry)}:7000" for entry in self.entries],
            "service": {"name": service["name"], "url": f"http://{self.ip(worker)}:8101",
                        "slots": service["slots"], "connections": service["connections"],
                        "cores": service["cores"], "memory": service["memory"],
                        "target": service["target"]},
            "worker": {"url": f"http://{self.ip(worker)}:8100"}, "drain": "15s",
        })
        settings.update(self.extra_agent_settings)
        return settings

    def rack(self, worker):
        return f"rack-{(int(worker.split('-')[1]) - 1) // self.spec['workers']['rack_size'] + 1}"

    def worker_config(self, worker):
        worker_spec = self.spec["workers"]
        service = self.spec["service"]
        index = int(worker.split("-")[1]) - 1
        accelerators = worker_spec["accelerators"]
        return {
            "name": worker, "seed": self.seed, "millicores": worker_spec["cores"] * 1000,
            "memory_bytes": size_bytes(worker_spec["memory"]),
            "accelerators": accelerators[index % len(accelerators)],
            "service_millicores": service["cores"] * 1000, "base_ms": service["base_ms"],
            "slots": service["slots"], "listen": f"{self.ip(worker)}:8100",
            "backend": f"{self.ip(worker)}:8101",
            "platform": f"http://{self.advertised_ip('platform-1')}:9000",
            "history": os.path.join(self.dir, "history.jsonl"),
        }

    def _write_settings(self, name, settings):
        path = os.path.join(self.dir, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            yaml.safe_dump(settings, file, sort_keys=False)
        return path

    def command_line(self, name):
        """Writes the settings of a process and returns its command line."""
        kind = name.split("-")[0]
        if kind == "platform":
            return [f"{self.build}/standin-platform", self.ip(name), "9000"]
        if kind == "worker":
            return [f"{self.build}/standin-worker", json.dumps(self.worker_config(name))]
        if kind == "entry":
            path = self._write_settings(name, self.entry_settings(name))
            return [f"{self.build}/catkinlug-entryd", path]
        path = self._write_settings(name, self.agent_settings(name.replace("agent", "worker")))
        return [f"{self.build}/catkinlug-agentd", path]

    def start(self, name):
        """Starts one process by name: platform-1, worker-01, agent-01, entry-1."""
        command = self.command_line(name)
        with open(os.path.join(self.dir, f"{name}.log"), "ab") as log:
            # Starts a new session: otherwise a process that is suspended by SIGSTOP receives SIGHUP
            # when the process group of the caller becomes orphaned.
            process = subprocess.Popen(command, stdout=log, stderr=log, start_new_session=True,
                                       stdin=subprocess.DEVNULL)
        self.processes[name] = process
        return process

    def start_proxy(self):
        config = {"listeners": [], "zones": {}, "delay_ms": self.spec["link_ms"]}
        names = self.entries + [self.agent(w) for w in self.workers]
        for name in names:
            config["zones"][self.ip(name)] = self.zone(name)
            config["listeners"].append({"name": name, "listen": f"{self.advertised_ip(name)}:7000",
                                        "target": f"{self.ip(name)}:7000", "zone": self.zone(name)})
        config["listeners"].append({"name": "platform-1",
                                    "listen": f"{self.advertised_ip('platform-1')}:9000",
                                    "target": f"{self.ip('platform-1')}:9000", "zone": ""})
        path = os.path.join(self.dir, "proxy.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        with open(os.path.join(self.dir, "proxy.log"), "ab") as log:
            self.processes["proxy-1"] = subprocess.Popen(
                [f"{self.build}/standin-proxy", path, f"127.{self.net}.5.1:9100"],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        wait_for(lambda: http("GET", f"http://127.{self.net}.5.1:9100/")[0] == 200, what="proxy")

    def control_proxy(self, **settings):
        """Posts settings to the control address of the proxy; "set" replaces all rules."""
        return http("POST", f"http://127.{self.net}.5.1:9100/", json.dumps(settings))

    def control_platform(self, **control):
        """Sets faults of the platform stand-in (the table service) and returns its counters."""
        status, _, body = http("POST", f"{self.platform_url()}/control", json.dumps(control))
        assert status == 200
        return json.loads(body)

    def start_all(self, with_table=True):
        if self.proxied:
            self.start_proxy()
        self.start("platform-1")
        wait_for(lambda: self.control_platform(), what="platform")
        for worker in self.workers:
            self.start(worker)
        for entry in self.entries:
            self.start(entry)
        if with_table:
            self.put_table()
        for worker in self.workers:
            self.start(self.agent(worker))
        self.wait_ready()

    def put_table(self):
        """Writes the first table once an entry accepts it; 409 means that there is one already."""
        headers = {"If-Match": "0", "X-Operator": "setup"}
        wait_for(lambda: self.call("PUT", "/table", table_text(self.spec["weights"]),
                                   headers)[0] in (200, 409), what="first table")

    def wait_ready(self):
        """Waits until each entry reports owned queues, leased workers and the table in force."""
        def ready():
            for index in range(len(self.entries)):
                status, _, body = self.call("GET", "/status", entry=index)
                state = json.loads(body)
                queues_owned = all(queue["owner"] for queue in state["queues"]) and state["queues"]
                if status != 200 or not queues_owned or \
                        state["table"]["in_force"] < len(self.workers):
                    return False
                if any(not worker["lease_epoch"] or worker["state"] != "live"
                       for worker in state["workers"]):
                    return False
            return True
        wait_for(ready, what="ready deployment")

    def is_ready(self, name):
        """Whether a daemon reports that it is ready, as a balancer or a rolling restart asks."""
        return http("GET", f"http://{self.ip(name)}:8080/readyz", timeout=1)[0] == 200

    def call(self, method, path, body=None, headers=None, entry=0, token=OPERATOR_TOKEN,
             timeout=10):
        """Makes an HTTP call to an entry; returns status, headers and body."""
        all_headers = {"Authorization": f"Bearer {token}"}
        all_headers.update(headers or {})
        return http(method, self.entry_url(entry) + path, body, all_headers, timeout)

    def get(self, path, **kwargs):
        status, _, body = self.call("GET", path, **kwargs)
        assert status == 200, (status, body)
        return json.loads(body)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def wait_until_up(self, name):
        """Waits until a daemon answers or has ended, or until UP_TIMEOUT_S have passed.

        A daemon that answers handles signals.
        """
        def is_up_or_ended():
            return self.processes[name].poll() is not None or \
                http("GET", f"http://{self.ip(name)}:8080/healthz", timeout=1)[0] == 200
        try:
            wait_for(is_up_or_ended, UP_TIMEOUT_S, f"{name} up")
        except TimeoutError:
            pass

    def stop(self, name, timeout_s=STOP_TIMEOUT_S):
        """Sends SIGTERM to a process and returns its exit code, or "killed" after the timeout."""
        process = self.processes.pop(name)
        # A suspended process does not handle SIGTERM.
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            code = process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            code = "killed"
        self.exit_codes[name] = code
        return code

    def stop_all(self):
        """Stops the daemons, then the stand-ins; returns exit codes other than 0 by daemon."""
        daemons = [n for n in self.processes if n.split("-")[0] in ("entry", "agent")]
        for name in daemons:
            self.processes[name].send_signal(signal.SIGCONT)
            self.wait_until_up(name)
        for name in daemons:
            self.processes[name].terminate()
        bad_exits = {}
        for name in daemons:
            code = self.stop(name)
            if code != 0:
                bad_exits[name] = code
        for name in list(self.processes):
            self.kill(name)
        return bad_exits

    def history(self):
        """Events that the workers recorded."""
        path = os.path.join(self.dir, "history.jsonl")
        if not os.path.exists(path):
            return []
        with open(path, encoding="utf-8") as file:
            # The last line is incomplete while it is being written.
            return [json.loads(line) for line in file if line.endswith("}\n")]
