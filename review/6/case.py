"""A worker's DELETE, held up by a cut, arrives when the worker has started again under its id."""

import http.client
import json
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig-2"))

import rig  # noqa: E402

JOB = "00000000000000d1"
NAME = "side-1"
DRAIN_S = 2.0
# Planned: the worker is down for this long before it starts again.
DOWN_S = 1.0
# node_cut of workers lasts 5.5 s at most at this site.
CUT_S = 4.0
# After the cut the kernel sends the held bytes again: its timer has doubled during the cut.
RESEND_S = 2.5


class Link:
    """TCP relay between a worker and the control address of its agent, which can be cut.

    Bytes that a connection carries into a cut are held, also when their sender has ended, until
    send_held(). New connections pass once the cut is healed.
    """

    def __init__(self, address, target):
        self.target, self.is_cut, self.held = target, False, []
        self.server = socket.create_server(address_of(address))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self.server.accept()
            threading.Thread(target=self._forward, args=(client,), daemon=True).start()

    def _forward(self, client):
        try:
            agent = socket.create_connection(address_of(self.target))
        except OSError:
            client.close()
            return
        threading.Thread(target=self._backward, args=(agent, client), daemon=True).start()
        broken = False
        while True:
            data = receive(client)
            broken = broken or self.is_cut
            if broken and data:
                self.held.append((agent, data))
            elif broken:
                return
            elif data:
                agent.sendall(data)
            else:
                agent.close()
                return

    def _backward(self, agent, client):
        while True:
            data = receive(agent)
            if not data or self.is_cut:
                return
            try:
                client.sendall(data)
            except OSError:
                return

    def send_held(self):
        held, self.held = self.held, []
        for agent, data in held:
            agent.sendall(data)
        return len(held)


def address_of(text):
    host, port = text.split(":")
    return host, int(port)


def receive(connection):
    try:
        return connection.recv(65536)
    except OSError:
        return b""


LINKS = {}


def heartbeat_route(name, control):
    if name != NAME:
        return control
    address = control.replace(":8166", ":8176")
    LINKS[name] = Link(address, control)
    return address


def leave(deployment, worker):
    """The planned end: draining, drain_ms after its acknowledgement DELETE, then the end."""
    record = deployment.record
    connection = http.client.HTTPConnection(worker.heartbeat_address, timeout=2.0)
    worker.draining = True
    connection.request("PUT", f"/instances/{worker.id}", json.dumps(worker.heartbeat()),
                       {"Content-Type": "application/json"})
    answer = connection.getresponse()
    answer.read()
    record.add(NAME, "reports that it is draining ->", answer.status)
    time.sleep(DRAIN_S + 0.5)
    cut_at = time.monotonic()
    if rig.TROUBLE:
        LINKS[NAME].is_cut = True
        worker.mode = "dark"
        record.add("the worker", NAME, "is cut off")
        time.sleep(0.2)
    record.add(NAME, "sends DELETE")
    try:
        connection.request("DELETE", f"/instances/{worker.id}")
        record.add("DELETE ->", connection.getresponse().status)
    except OSError:
        record.add("DELETE gets no answer")
    connection.close()
    with worker.lock:
        record.add(NAME, "ends")
        worker.draining = False
        worker._go_down(DOWN_S, worker.id)
    if not deployment.wait_until(lambda: not worker.down_until, 10):
        raise rig.CannotRun("the worker does not start again")
    if rig.TROUBLE:
        time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        worker.mode = ""
        LINKS[NAME].is_cut = False
        record.add("the cut is healed; new connections pass")


def case(deployment):
    worker = deployment.workers[NAME]
    leave(deployment, worker)
    healed_at = time.monotonic()
    time.sleep(1.4)
    deployment.submit(JOB, {"ms": 8000}, [{"count": 14, "cpu": 1000, "est_runtime_ms": 8000}])
    if not deployment.wait_until(lambda: deployment.running_on(NAME, JOB), 10):
        raise rig.CannotRun("no task was started on the worker")
    if rig.TROUBLE:
        time.sleep(max(0.0, healed_at + RESEND_S - time.monotonic()))
        deployment.record.add("the held DELETE arrives, in", LINKS[NAME].send_held(), "piece(s)")
    deployment.wait_until(lambda: deployment.state(JOB) == "completed" or time.sleep(1), 30)
    return rig.overlaps(deployment)


rig.play(sys.argv[1], case, workers=6, heartbeat_route=heartbeat_route)
