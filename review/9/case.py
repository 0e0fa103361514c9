"""Configurations come while the processes that watch the store stand still."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stand import (Client, Fleet, Record, Server, Store, configuration, now,
                   pick_net, route, trouble)

HOST = "lopu30.example"
CONFIG_S = 2.0
FREEZE_S = 4.0
SERVICE = "lehu44b"
FRONTS = 18
ROUNDS = 3  # each configuration takes a key and a route away


def make_configuration(version, done):
    """The configuration after so many rounds."""
    left = range(done, ROUNDS)
    return configuration(
        version, [route("kept", "/kept/", SERVICE)] +
        [route("drop%d" % i, "/drop%d/" % i, SERVICE) for i in left],
        [{"Name": SERVICE, "MaxConns": 110}],
        [{"Name": "bozi300", "ApiKeys": ["kept"] + ["key%d" % i for i in left]}])


def find_watching(store, fronts, record):
    """Returns the machines that watch the store, and the others."""
    seen = set()
    end = now() + 3
    while now() < end:
        seen.update(store.watchers())
        time.sleep(0.01)
    record.say("machines that watch the store:", *sorted(seen))
    return ([m for m in fronts if m.ip in seen],
            [m for m in fronts if m.ip not in seen])


def play_round(i, store, fronts, record):
    """Returns the late requests of a round, or None if it couldn't be played:
    it needs two machines that watch."""
    watching, calm = find_watching(store, fronts, record)
    if len(watching) != 2:
        return None
    sent = []  # (time sent, what, status)
    stop = threading.Event()

    def ask(what, path, key):
        client = Client(calm[0].front, record)
        while not stop.is_set():
            at = now()
            status = client.send("GET", HOST, path, headers=[
                ("Authorization", "Bearer " + key)])[1]
            sent.append((at, what, status))
            time.sleep(0.05)
        client.close()

    for words in (("taken key", "/kept/1", "key%d" % i),
                  ("dropped route", "/drop%d/1" % i, "kept"),
                  ("kept", "/kept/2", "kept")):
        threading.Thread(target=ask, args=words, daemon=True).start()
    time.sleep(0.5)
    if trouble():
        for m in watching:
            m.signal(signal.SIGSTOP)
        time.sleep(0.05)
    version = 8 + 3 * i
    acked_at = store.put("op/config", make_configuration(version, i + 1))
    record("the store has acknowledged configuration", version)
    time.sleep(FREEZE_S - 0.05)
    if trouble():
        for m in watching:
            m.signal(signal.SIGCONT)
    time.sleep(1.5)
    stop.set()
    time.sleep(0.2)
    late = [s for s in sent if s[0] > acked_at + CONFIG_S and
            (s[1], s[2]) in (("taken key", 200), ("dropped route", 200))]
    record.say("round %d: %d requests that were sent to a machine that ran "
               "all the while, later than %g s after the acknowledgement, ran "
               "with the key or the route that was taken away" %
               (i + 1, len(late), CONFIG_S))
    if late:
        record.say("the last one was sent %.2f s after it" %
                   (late[-1][0] - acked_at))
    return late


def main():
    record = Record(HERE)
    net = pick_net()
    fleet = Fleet(net, record, {"seoul-a": "seoul"})
    store = Store(fleet.store_address, record)
    servers = [Server("i-%d" % n, "%s.64.%d:8005" % (net, n), "seoul-a",
                      SERVICE, record) for n in (1, 2, 3)]
    store.put("op/config", make_configuration(3, 0))
    for s in servers:
        store.put("servers/" + s.id, s.entry())
    fronts = [fleet.add("front-seoul-a-%d" % n, "%s.1.%d" % (net, n),
                        "seoul-a") for n in range(1, FRONTS + 1)]
    for m in fronts:
        m.start()
    fleet.wait_ready()
    time.sleep(5)
    results = []
    for i in range(ROUNDS):
        results.append(play_round(i, store, fronts, record))
        time.sleep(6)
    fleet.end()
    played = [r for r in results if r is not None]
    record.say("%d of %d rounds broke the rule" %
               (sum(bool(r) for r in played), len(played)))
    if not played:
        sys.exit(2)
    sys.exit(1 if any(played) else 0)


main()
