"""Cuts between queue daemons, and between them and the table service."""

import json
import socket

import pytest
from conftest import FREE_QUEUE_NETS
from links import CountedSet, Links

# Longer than the proxy takes to forward or to notice a cut.
SETTLE_S, TIMEOUT_S = 0.15, 3.0
# Host numbers of the client and the server.
CLIENT, SERVER = 1, 2
THERE, BACK = (CLIENT, SERVER), (SERVER, CLIENT)


class Pair:
    """Server behind the proxy, with clients at another host."""

    def __init__(self, net):
        self.net, self.links = net, Links()
        self.listener = socket.create_server((f"127.{net}.0.{SERVER}", 7720))
        self.listener.settimeout(TIMEOUT_S)
        self.links.add(f"127.{net}.1.{SERVER}:7720", f"127.{net}.0.{SERVER}:7720")
        self.sockets = [self.listener]

    def connect(self):
        """Returns the client's and the server's end of a new connection."""
        client = socket.create_connection((f"127.{self.net}.1.{SERVER}", 7720), TIMEOUT_S,
                                          (f"127.{self.net}.0.{CLIENT}", 0))
        server = self.listener.accept()[0]
        self.sockets += [client, server]
        return client, server

    def close(self):
        self.links.close()
        for end in self.sockets:
            end.close()


@pytest.fixture
def pair():
    created = Pair(next(FREE_QUEUE_NETS))
    yield created
    created.close()


def receives(end, data, timeout_s=TIMEOUT_S):
    """Whether an end receives data in time; anything else fails."""
    end.settimeout(timeout_s)
    try:
        received = end.recv(100)
    except TimeoutError:
        return False
    assert received == data
    return True


@pytest.mark.parametrize("is_open", [True, False], ids=["open", "new"])
@pytest.mark.parametrize("cuts", [(THERE, BACK), (THERE,), (BACK,)], ids=["both", "there", "back"])
def test_a_cut_holds_back_what_is_sent_until_it_ends(pair, cuts, is_open):
    if is_open:
        client, server = pair.connect()
    pair.links.cut(cuts)
    if not is_open:
        client, server = pair.connect()
    client.sendall(b"there")
    server.sendall(b"back")
    assert receives(server, b"there", SETTLE_S) == (THERE not in cuts)
    assert receives(client, b"back", SETTLE_S) == (BACK not in cuts)
    pair.links.restore(cuts)
    assert THERE not in cuts or receives(server, b"there")
    assert BACK not in cuts or receives(client, b"back")


def test_the_end_of_a_connection_is_held_back(pair):
    client, server = pair.connect()
    pair.links.cut([THERE])
    client.close()
    assert not receives(server, b"", SETTLE_S)
    pair.links.restore([THERE])
    assert receives(server, b"")


def test_the_end_of_one_cut_leaves_an_overlapping_one(pair):
    client, server = pair.connect()
    pair.links.cut([THERE, BACK])
    pair.links.cut([THERE])
    pair.links.restore([THERE, BACK])
    client.sendall(b"there")
    server.sendall(b"back")
    assert receives(client, b"back")
    assert not receives(server, b"there", SETTLE_S)
    pair.links.restore([THERE])
    assert receives(server, b"there")


def test_a_counted_set_ignores_the_removal_of_what_it_lacks():
    members = CountedSet()
    members.remove(["a"])
    members.add(["a"])
    assert "a" in members and "b" not in members
    members.remove(["a"])
    assert "a" not in members


def test_a_call_whose_answer_is_cut_is_carried_out(start_queue_deployment):
    deployment = start_queue_deployment(workers=1, shards=1)
    undo = deployment.cut_store("entry-1", sent=False)
    commits = deployment.store.commits
    item = {"table": "t", "part": "", "key": "k", "value": "MQ=="}
    body = {"expected_rev": [], "set_keys": [item], "remove": []}
    callers = {"entry": deployment.address(101, 0)[:-2], "other": deployment.address(9, 0)[:-2]}
    answers = {name: deployment.store.serve("POST", "/rows-tx", json.dumps(body), ip, {})
               for name, ip in callers.items()}
    assert answers["entry"] is None and answers["other"][0] == 200
    assert deployment.store.commits >= commits + 2
    undo()
    assert deployment.store.serve("GET", "/rows-get?table=t", b"", callers["entry"], {})[0] == 200
