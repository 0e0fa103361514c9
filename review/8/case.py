"""A server's entry is removed while the processes that watch the store are
dead."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stand import (Client, Fleet, Record, Server, Store, configuration, now,
                   pick_net, route, trouble)

HOST = "lopu30.example"
DRAIN_S = 2.0
LINGER_S = 8.0  # "continues serving for DrainMs ... (at times many seconds)"
ANNOUNCES = os.environ.get("ANNOUNCE", "1") != "0"
BATCH = 12  # clients of each machine that is asked
FRONTS = 18


def send_batch(clients):
    """Each client sends a request; all at the same time."""
    threads = [threading.Thread(target=c.send,
                                args=("GET", HOST, "/serial/%d" % i))
               for i, c in enumerate(clients)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()


def main():
    record = Record(HERE)
    net = pick_net()
    fleet = Fleet(net, record, {"seoul-a": "seoul"})
    store = Store(fleet.store_address, record)
    servers = [Server("i-%d" % n, "%s.64.%d:8005" % (net, n), "seoul-a",
                      "lehu44b", record) for n in (1, 2, 3)]
    leaver, stays, comes = servers
    store.put("op/config", configuration(
        3, [route("serial", "/serial/", "lehu44b")],
        [{"Name": "lehu44b", "MaxConns": 110}]))
    store.put("servers/i-1", leaver.entry())
    store.put("servers/i-2", stays.entry())
    fronts = [fleet.add("front-seoul-a-%d" % n, "%s.1.%d" % (net, n),
                        "seoul-a") for n in range(1, FRONTS + 1)]
    for m in fronts:
        m.start()
    fleet.wait_ready()
    time.sleep(3)
    store.put("servers/i-3", comes.entry())  # a server is added
    time.sleep(store.history_s + 3)  # an ordinary while

    seen = set()
    end = now() + 3
    while now() < end:
        seen.update(store.watchers())
        time.sleep(0.01)
    record.say("machines that watch the store:", *sorted(seen))
    watching = [m for m in fronts if m.ip in seen]
    calm = [m for m in fronts if m.ip not in seen]
    if len(watching) != 2:
        record.say("expected two machines that watch")
        fleet.end()
        sys.exit(2)
    calm = calm[:3]
    clients = [Client(m.front, record) for m in calm for _ in range(BATCH)]
    send_batch(clients)
    if trouble():
        for m in watching:
            m.kill()
        time.sleep(0.3)
    left_at = store.delete("servers/i-1")
    leaver.is_leaving = ANNOUNCES
    time.sleep(1.0)
    if trouble():
        for m in watching:
            m.start()
    time.sleep(left_at + DRAIN_S + 0.5 - now())
    while now() < left_at + DRAIN_S + LINGER_S - 1.5:
        send_batch(clients)
        time.sleep(1)
    leaver.close()
    record.say("server i-1 has exited")
    fleet.end()
    ips = {m.ip for m in calm}
    after = [a for s in servers for a in s.arrivals
             if a[2] in ips and a[0] > left_at + DRAIN_S]
    late = [a for a in leaver.arrivals if a in after]
    record.say("later than %g s after the entry of i-1 was removed, the "
               "three machines that were not killed sent %d of %d requests to i-1" %
               (DRAIN_S, len(late), len(after)))
    for at, rid, _ in late:
        record("late by the rule:", rid, "%.3f s after the removal" %
               (at - left_at))
    if not after:
        sys.exit(2)
    sys.exit(1 if late else 0)


main()
