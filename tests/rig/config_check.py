"""Changes the operators' configuration during a soak, and checks what the entries know of it."""

import random
import threading
import time

# The bounds that the rules name config_apply_ms and contact_ms, in seconds.
CONFIG_APPLY_S, CONTACT_S = 3.0, 4.0
CHANGE_GAP_S = (0.3, 2.0)
LOOK_GAP_S = 0.2
# A queue stays configured for this long, well over the bound.
QUEUE_LIFE_S = 10.0
NO_JOB = "f" * 16


class ConfigCheck:
    """Adds a queue with each change, drops old ones, and asks each entry about them.

    An entry that knows a queue answers 410 for an unknown job in it, and 404 otherwise; 503 says
    that it can't tell. An entry is calm while its process and its path to the table service were
    not disturbed for CONTACT_S.
    """

    def __init__(self, deployment, entries, seed):
        self.deployment = deployment
        self.rng = random.Random(f"config {seed}")
        self.entries = range(1, entries + 1)
        # Time of the acknowledgement by queue, and of that of its removal.
        self.added, self.removed = {}, {}
        # By entry: time at which it was last disturbed.
        self.disturbed = dict.fromkeys(self.entries, time.monotonic())
        # Daemons that a fault holds at present, replaced by the faults' own set.
        self.reserved = set()
        self.violations = []
        self.looks = 0
        self.ended = threading.Event()
        self.threads = []

    def start(self):
        self.threads = [threading.Thread(target=self._change, daemon=True)]
        self.threads += [threading.Thread(target=self._look, args=(entry,), daemon=True)
                         for entry in self.entries]
        for thread in self.threads:
            thread.start()

    def finish(self, calm_since):
        """Waits until all entries are calm and a change since then is due; returns the violations."""
        until_s = calm_since + CONTACT_S + CONFIG_APPLY_S + 1
        time.sleep(max(until_s - time.monotonic(), 0))
        self.ended.set()
        for thread in self.threads:
            thread.join(10)
        return self.violations

    def note_disturbances(self):
        """Notes which entries a fault disturbs at present."""
        now, store = time.monotonic(), self.deployment.store
        # 0.004 is the initial delay in Store.
        store_disturbed = store.mode or store.delay_s > 0.004 or store.lost_answer_share
        for entry in self.entries:
            refused = f"127.{self.deployment.net}.0.{100 + entry}" in store.refused_callers
            if store_disturbed or refused or f"entry-{entry}" in self.reserved:
                self.disturbed[entry] = now

    def _change(self):
        number = 0
        while not self.ended.wait(self.rng.uniform(*CHANGE_GAP_S)):
            number += 1
            now = time.monotonic()
            listed = [name for name, at in self.added.items()
                      if name not in self.removed and now - at < QUEUE_LIFE_S]
            dropped = [name for name in self.added
                       if name not in self.removed and name not in listed]
            self.deployment.put_config(["jobs", *listed, f"q{number}"])
            self.removed.update(dict.fromkeys(dropped, time.monotonic()))
            self.added[f"q{number}"] = time.monotonic()

    def _ask(self, entry, queue):
        """Status code of an entry's answer about a queue, 0 without one."""
        return self.deployment.request("GET", f"/{queue}/{NO_JOB}", entry=entry, timeout=2)[0]

    def _look(self, entry):
        known = (None, 0)
        while not self.ended.wait(LOOK_GAP_S):
            self.note_disturbances()
            for queue in list(self.added)[-12:]:
                sent_s, process = time.monotonic(), self.deployment.processes[f"entry-{entry}"]
                code = self._ask(entry, queue)
                self.note_disturbances()
                if process is not self.deployment.processes[f"entry-{entry}"]:
                    break
                if known[0] is not process:
                    known = (process, 0)
                if code in (200, 410):
                    known = (process, max(known[1], int(queue[1:])))
                self._check(entry, queue, code, sent_s, known[1])

    def _check(self, entry, queue, code, sent_s, known):
        self.looks += 1
        calm = sent_s - self.disturbed[entry] > CONTACT_S
        age_s, gone_s = sent_s - self.added[queue], sent_s - self.removed.get(queue, sent_s)
        # A removal that is under way may be in force before it is noted.
        listed = time.monotonic() - self.added[queue] < QUEUE_LIFE_S
        where = f"entry-{entry}: {queue}"
        if code == 404 and listed and known >= int(queue[1:]):
            self.violations.append(f"{where} is denied after q{known} was known")
        elif code == 404 and listed and calm and age_s > CONFIG_APPLY_S:
            self.violations.append(f"{where} is denied {age_s:.1f} s after it was added")
        elif code in (200, 410) and calm and gone_s > CONFIG_APPLY_S:
            self.violations.append(f"{where} is served {gone_s:.1f} s after it was removed")
