"""When a change of the operators' configuration is in force at an entry.

Incident configuration-late-at-an-entry.
"""

import signal
import threading
import time

import pytest

# From the acknowledgement of a change until all processes that reach a peer or the table service
# apply it (config_apply_ms of the operators' pages).
CONFIG_BOUND_S = 3.0
# An entry without an answer about the configuration for this long can't tell what is configured.
UNCONFIRMED_S = 4.0
# A watch of the configuration is open for at most this long.
WATCH_MAX_S = 1.2
# Callers that ask for states without a pause.
CALLERS = 60


@pytest.fixture
def start_deployment(start_queue_deployment):
    """The deployments of this module are those of the queue daemons."""
    return start_queue_deployment


def entry_ip(deployment, entry=1):
    return deployment.address(100 + entry, 0).split(":")[0]


def knows(deployment, queue, entry=1):
    """Whether an entry knows a queue: 404 and 503 for an unknown one say so in their text."""
    code, body = deployment.request("GET", f"/{queue}/", entry=entry)
    return code != 0 and "no queue has" not in body.get("error", "")


def time_until_known(deployment, queue, entry=1):
    """Seconds until an entry knows a queue; at most twice the bound."""
    started_s = time.monotonic()
    deployment.wait_until(lambda: knows(deployment, queue, entry), 2 * CONFIG_BOUND_S)
    return time.monotonic() - started_s


@pytest.mark.parametrize("callers", ["refused_callers", "silent_callers"])
def test_change_reaches_an_entry_without_the_table_service(start_deployment, callers):
    """The entry's peers know the change, though its own reads and watches fail."""
    deployment = start_deployment(workers=3)
    getattr(deployment.store, callers).add(entry_ip(deployment))
    # A watch that was answered before ends meanwhile.
    time.sleep(WATCH_MAX_S)
    deployment.put_config(("jobs", "added"))
    assert time_until_known(deployment, "added") < CONFIG_BOUND_S
    deployment.put_config(("jobs",))
    time.sleep(CONFIG_BOUND_S)
    assert not knows(deployment, "added")


@pytest.mark.parametrize("timeout,delay_s", [("700ms", 0.65), ("6s", 5)])
def test_change_reaches_an_entry_whose_connections_are_taken(start_deployment, timeout, delay_s):
    """Reads for callers are slow, take all connections, and more of them wait."""
    deployment = start_deployment(workers=2, platform_timeout=timeout)
    caller = entry_ip(deployment)
    deployment.store.choose_delay_s = lambda path, query, sender: \
        delay_s if sender == caller and query.get("table") not in ("op", "owner") else 0
    # Without an owner, the entry reads the tables for each state.
    for name in ("agent-1", "agent-2"):
        deployment.signal_process(name, signal.SIGSTOP)
    stop = threading.Event()

    def ask():
        while not stop.is_set():
            deployment.request("GET", f"/jobs/{'e' * 16}", timeout=8)

    threads = [threading.Thread(target=ask) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    try:
        time.sleep(2)
        deployment.put_config(("jobs", "added"))
        assert time_until_known(deployment, "added") < CONFIG_BOUND_S
    finally:
        stop.set()
        for thread in threads:
            thread.join()
        for name in ("agent-1", "agent-2"):
            deployment.signal_process(name, signal.SIGCONT)


def test_unknown_queue_is_not_denied_by_an_unconfirmed_configuration(start_deployment):
    """The entry reaches neither the table service nor a peer: the queue may have been added."""
    deployment = start_deployment(workers=2)
    assert deployment.request("GET", "/added/")[0] == 404
    deployment.store.refused_callers.add(entry_ip(deployment))
    for name in ("agent-1", "agent-2"):
        deployment.signal_process(name, signal.SIGSTOP)
    try:
        time.sleep(UNCONFIRMED_S)
        deployment.put_config(("jobs", "added"))
        assert deployment.request("GET", "/added/")[0] == 503
        assert deployment.request("POST", f"/added/{'e' * 16}", {})[0] == 503
    finally:
        for name in ("agent-1", "agent-2"):
            deployment.signal_process(name, signal.SIGCONT)
    deployment.store.refused_callers.clear()
    assert time_until_known(deployment, "added") < CONFIG_BOUND_S
    # Peers may have brought the change before the table service has confirmed it.
    assert deployment.wait_until(lambda: deployment.request("GET", "/other/")[0] == 404,
                                 CONFIG_BOUND_S)
