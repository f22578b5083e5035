"""Connections between queue daemons, through a proxy that can cut them in either direction."""

import collections
import select
import socket
import threading

CHUNK_BYTES = 65536
# Interval at which the proxy notices that cuts have changed.
STEP_S = 0.01


class CountedSet:
    """Set whose members stay until they were removed as often as they were added."""

    def __init__(self):
        self.counts, self.lock = collections.Counter(), threading.Lock()

    def add(self, members):
        with self.lock:
            self.counts.update(set(members))

    def remove(self, members):
        with self.lock:
            self.counts.subtract(set(members))
            self.counts = +self.counts

    def __contains__(self, member):
        return self.counts[member] > 0


class _Flow:
    """One direction of a connection: what is read from one socket is written to the other."""

    def __init__(self, source, sink, hosts):
        # Host numbers of the sender and the receiver.
        self.source, self.sink, self.hosts = source, sink, hosts
        self.unsent = b""


def _split(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


def _host(ip):
    return int(ip.rsplit(".", 1)[1])


class Links:
    """Proxy in front of daemons that advertise its addresses.

    A cut (FROM, TO) of host numbers holds back what FROM sends to TO, on open and on new
    connections, the end of a connection too. It arrives when the last cut of the pair ends.
    """

    def __init__(self):
        self.cuts = CountedSet()
        self.lock = threading.Lock()
        self.listeners, self.flows = {}, []
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def add(self, advertised, target):
        """Forwards connections to an advertised address of a daemon to the one it listens at."""
        listener = socket.create_server(_split(advertised), backlog=64)
        listener.setblocking(False)
        with self.lock:
            self.listeners[listener] = _split(target)

    def cut(self, pairs):
        self.cuts.add(pairs)

    def restore(self, pairs):
        self.cuts.remove(pairs)

    def _accept(self, listener):
        target = self.listeners[listener]
        client, (ip, _) = listener.accept()
        server = socket.socket()
        server.bind((ip, 0))
        try:
            server.connect(target)
        except OSError:
            client.close()
            server.close()
            return
        for end in (client, server):
            end.setblocking(False)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        hosts = _host(ip), _host(target[0])
        self.flows += [_Flow(client, server, hosts), _Flow(server, client, hosts[::-1])]

    def _close(self, flow):
        flow.source.close()
        flow.sink.close()
        self.flows = [other for other in self.flows if other.source.fileno() >= 0]

    def _forward(self, flow, readable, writable):
        try:
            if flow.source in readable and not flow.unsent:
                flow.unsent = flow.source.recv(CHUNK_BYTES)
                if not flow.unsent:
                    self._close(flow)
                    return
            if flow.unsent and (flow.sink in writable or flow.source in readable):
                flow.unsent = flow.unsent[flow.sink.send(flow.unsent):]
        except BlockingIOError:
            pass
        except OSError:
            self._close(flow)

    def _run(self):
        while not self.closed.is_set():
            with self.lock:
                listeners = list(self.listeners)
            active = [flow for flow in self.flows if flow.hosts not in self.cuts]
            readable, writable, _ = select.select(
                listeners + [flow.source for flow in active if not flow.unsent],
                [flow.sink for flow in active if flow.unsent], [], STEP_S)
            for listener in listeners:
                if listener in readable:
                    self._accept(listener)
            for flow in active:
                # A cut may have begun during select().
                if flow.source.fileno() >= 0 and flow.hosts not in self.cuts:
                    self._forward(flow, readable, writable)

    def close(self):
        self.closed.set()
        self.thread.join()
        for flow in self.flows:
            flow.source.close()
        for listener in self.listeners:
            listener.close()
