"""Requests that are legal in size but made of many short fields."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stand import (Client, Fleet, Record, Server, Store, configuration,
                   pick_net, route, trouble)

HOST = "lopu30.example"
SERVICE = "kaba98a"
FIELDS = 60
MODEL_FIELDS = [("X-Limpetflow-Model", "daka510000"),
                ("X-Limpetflow-Token-Count", "1460,80"),
                ("X-Limpetflow-Prompt-Prefix",
                 "5c1e07a2:800,91bd3f06:410,e4402b7d:250")]


def main():
    record = Record(HERE)
    net = pick_net()
    fleet = Fleet(net, record, {"seoul-a": "seoul"})
    store = Store(fleet.store_address, record)
    servers = [Server("i-%d" % n, "%s.64.%d:8204" % (net, n), "seoul-a",
                      SERVICE, record, slots=16) for n in (1, 2)]
    ran = []

    def work(head, body, connection):
        ran.append(head[1])
        return True

    for s in servers:
        s.work, s.events = work, 5
    limits = configuration(
        3, [route("papers", "/papers/", SERVICE, "streaming", 6000,
                  Resumable=True, Sticky=True, GapAimMs=300)],
        [{"Name": SERVICE, "MaxConns": 434}])
    store.put("op/config", limits)
    for s in servers:
        store.put("servers/" + s.id, s.entry())
    front = fleet.add("front-seoul-a-1", net + ".1.1", "seoul-a")
    front.start()
    fleet.wait_ready()
    time.sleep(1)

    short = [("X-F%d" % i, "v") for i in range(FIELDS)] if trouble() else []
    fields = short + MODEL_FIELDS
    size = sum(len(n) + len(v) + 4 for n, v in fields) + 200
    record.say("a request has %d fields in about %d bytes; MaxHeaderBytes is "
               "%d" % (len(fields) + 4, size,
                       limits["Limits"]["MaxHeaderBytes"]))
    client = Client(front.front, record)
    answers = []
    for i in range(20):
        rid, status, _, body = client.send(
            "POST", HOST, "/papers/%d" % i, b"prompt", fields, 6000)
        answers.append((rid, status, body.count(b"data:")))
        time.sleep(0.05)
    fleet.end()
    wrong = 0
    for headers in ran:
        found = [headers.get(n.lower()) for n, _ in MODEL_FIELDS]
        if found != [v for _, v in MODEL_FIELDS]:
            wrong += 1
            record("ran", headers.get("x-limpetflow-request-id"), "with",
                   found, "for", MODEL_FIELDS)
    served = sum(a[1] == 200 and a[2] == 5 for a in answers)
    record.say("%d of 20 requests got a complete success; %d of %d runs had "
               "not the client's model, token count and prompt prefix" %
               (served, wrong, len(ran)))
    if not ran:
        sys.exit(2)
    sys.exit(1 if wrong else 0)


main()
