"""Single front processes are killed while it passes on answers without a length."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stand import (Client, Fleet, Record, Server, Store, configuration, now,
                   pick_net, read_head, route, trouble)

HOST = "lopu30.example"
SERVICE = "lehu44b"
PARTS, PART, GAP_S = 10, 80, 0.02  # an answer of 800 bytes in 0.2 s


def whole_body(rid):
    """The body that a server sends in answer to a request."""
    return b"".join(b"%s part %02d of %d %s\n" % (
        rid.encode(), i + 1, PARTS, b"." * (PART - 33)) for i in range(PARTS))


def main():
    record = Record(HERE)
    net = pick_net()
    fleet = Fleet(net, record, {"seoul-a": "seoul"})
    store = Store(fleet.store_address, record)
    servers = [Server("i-%d" % n, "%s.64.%d:8005" % (net, n), "seoul-a",
                      SERVICE, record) for n in (1, 2, 3)]

    def work(head, body, connection):
        """Answers without a length; the connection marks the end."""
        rid = head[1]["x-limpetflow-request-id"]
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nX-Limpetflow-Request-Id: %s\r\n"
            b"X-Limpetflow-Response-Stamp: st.%s\r\n"
            b"Content-Type: text/plain\r\n\r\n" % (rid.encode(), rid.encode()))
        text = whole_body(rid)
        size = len(text) // PARTS
        for i in range(PARTS):
            connection.sendall(text[i * size:(i + 1) * size])
            time.sleep(GAP_S)
        return False

    for s in servers:
        s.work = work
    store.put("op/config", configuration(
        3, [route("serial", "/serial/", SERVICE)],
        [{"Name": SERVICE, "MaxConns": 110}]))
    for s in servers:
        store.put("servers/" + s.id, s.entry())
    fronts = [fleet.add("front-seoul-a-%d" % n, "%s.1.%d" % (net, n),
                        "seoul-a") for n in (1, 2, 3)]
    for m in fronts:
        m.start()
    fleet.wait_ready()
    time.sleep(1)

    results = []  # (id, how the answer ended, stamp, body)
    stop = threading.Event()

    def ask(n):
        while not stop.is_set():
            client = Client(fronts[n % len(fronts)].front, record)
            results.append(client.send_unframed(
                "GET", HOST, "/serial/%d" % n))
            if results[-1][1] == "closed":
                time.sleep(0.05)

    for n in range(24):
        threading.Thread(target=ask, args=(n,), daemon=True).start()
    for i in range(5):
        time.sleep(1.5)
        if trouble():
            front = fronts[i % len(fronts)]
            front.kill()
            time.sleep(0.3)
            front.start()
            fleet.wait_ready()
    stop.set()
    time.sleep(0.5)
    fleet.end()
    ended = [r for r in results if r[1] == "complete"]
    wrong = [r for r in ended if r[3] != whole_body(r[0])]
    for rid, _, stamp, body in wrong:
        record("wrong:", rid, "status 200, stamp", stamp, "ended without a "
               "reset after %d of %d bytes" % (len(body),
                                               len(whole_body(rid))))
    record.say("%d answers of status 200 ended as complete; %d of them had "
               "not the server's whole body" % (len(ended), len(wrong)))
    if not ended:
        sys.exit(2)
    sys.exit(1 if wrong else 0)


main()
