"""Two of six machines are cut off from the store, while it serves all others."""
import os
import selectors
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

from deployment import (HAS_TROUBLE, CannotRun, call, config, listed,
                        plain_service, route, run_case, tenant)
from plain_server import PlainServer

FRONTS = range(1, 7)
CUT = 2
CUT_S = 5.5      # as long as `core_cut` on the sites
CONFIG_MS = 3000
STABLE_MS = 4000
HEARTBEAT_S = 1.2
READ_S = 5       # who has read the store so recently is a reader


class Link:
    """A machine's path to the store; while it is cut, nothing passes."""

    def __init__(self, address, store):
        self.store, self.is_cut, self.read_at = store, False, 0
        host, port = address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            machine, _ = self.listener.accept()
            threading.Thread(target=self.carry, args=(machine,),
                             daemon=True).start()

    def carry(self, machine):
        host, port = self.store.split(":")
        try:
            while self.is_cut:
                time.sleep(0.02)
            with machine, socket.create_connection((host, int(port))) as up:
                s = selectors.DefaultSelector()
                s.register(machine, selectors.EVENT_READ, up)
                s.register(up, selectors.EVENT_READ, machine)
                while True:
                    for key, _ in s.select():
                        data = key.fileobj.recv(65536)
                        while self.is_cut:
                            time.sleep(0.02)
                        if not data:
                            return
                        if key.fileobj is machine:
                            self.read_at = time.monotonic()
                        key.data.sendall(data)
        except OSError:
            pass


def play(d):
    server = PlainServer(d.address(20, 8784), "i-7f3a91c2")
    links = {n: Link(d.address(100 + n, 8007), d.address(250, 8007))
             for n in FRONTS}

    def write_server(seq):
        d.store.write("servers/" + server.id, listed(
            "web", d.address(20, 8784), 16, Seq=seq))

    def beat():
        seq = 1
        while True:
            time.sleep(HEARTBEAT_S)
            seq += 1
            write_server(seq)

    def ask(front, path, key):
        """Returns the status and whether the server ran the request."""
        name = "r%d-%s-%.3f" % (front, key, time.monotonic())
        status, _, _ = call(d.front(front), "GET", path, [
            ("X-Limpetflow-Request-Id", name),
            ("X-Limpetflow-Deadline-Ms", "2000"),
            ("Authorization", "Bearer " + key)])
        return status, server.find_run(name) is not None

    services = [plain_service("web")]
    d.store.write("op/config", config(
        7, [route("ask", "idempotent", "web")], services,
        [tenant("acme", "key-of-acme", "key-taken-away")]))
    write_server(1)
    threading.Thread(target=beat, daemon=True).start()
    for n in FRONTS:
        d.start("limpet-entry", d.settings(
            "front-%d" % n, n, FRONTS[:3], 260,
            platform_url="http://" + d.address(100 + n, 8007)))
    for n in FRONTS:
        d.wait_ready(n)
    time.sleep(STABLE_MS / 1000 + READ_S)

    readers = sorted(FRONTS, key=lambda n: links[n].read_at)[-CUT:]
    others = [n for n in FRONTS if n not in readers]
    d.record.write("fronts %s have read the store last" % readers)
    if HAS_TROUBLE:
        for n in readers:
            links[n].is_cut = True
        d.record.write("fronts %s are cut off from the store for %.1f s"
                       % (readers, CUT_S))
    cut_at = time.monotonic()
    time.sleep(0.3)
    d.store.write("op/config", config(
        8, [route("ask", "idempotent", "web"),
            route("added", "idempotent", "web")], services,
        [tenant("acme", "key-of-acme")]))
    acknowledged = time.monotonic()
    d.record.write("version 8, with a route more and a key less, acknowledged")

    breaches = []
    while time.monotonic() - acknowledged < 20:
        if time.monotonic() - cut_at > CUT_S and links[readers[0]].is_cut:
            for n in readers:
                links[n].is_cut = False
            d.record.write("the cut ends")
        for n in others:
            late = time.monotonic() - acknowledged - CONFIG_MS / 1000
            added, _ = ask(n, "/added/x", "key-of-acme")
            _, ran = ask(n, "/ask/x", "key-taken-away")
            d.record.write("front %d, %.2f s after the bound: the added route "
                           "gets %d, the key that was taken away %s"
                           % (n, late, added, "runs" if ran else "is refused"))
            if late > 0 and (added == 404 or ran):
                breaches.append("front %d, %.1f s after ConfigMs: the added "
                                "route gets %d, the key that was taken away %s"
                                % (n, late, added,
                                   "runs" if ran else "is refused"))
        if not breaches and late > 3:
            break
        time.sleep(0.25)
    return breaches


run_case(FOLDER, play)
