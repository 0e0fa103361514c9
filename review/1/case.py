"""The last key of a deployment is taken away."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

from deployment import (HAS_TROUBLE, CannotRun, call, config, listed,
                        plain_service, route, run_case, tenant)
from plain_server import PlainServer, header_of

CONFIG_MS = 3000
WATCHED_S = 10  # after ConfigMs
KEYS = (("the key that was taken away", "key-of-acme"),
        ("a key that no configuration held", "never-given-out"),
        ("no key", None))


def play(d):
    server = PlainServer(d.address(20, 8784), "i-7f3a91c2")
    routes = [route("ask", "idempotent", "web"),
              route("book", "non_idempotent", "web", Attempts=1)]
    d.store.write("op/config", config(7, routes, [plain_service("web")],
                                      [tenant("acme", "key-of-acme")]))
    d.store.write("servers/" + server.id, listed("web", d.address(20, 8784),
                                                 16))
    d.start("limpet-entry", d.settings("front-1", 1, [1], 260))
    d.wait_ready(1)

    count = 0

    def ask(key):
        """Sends a request. Returns its id, the answer and its run."""
        nonlocal count
        count += 1
        name = "r%04d" % count
        head = [("X-Limpetflow-Request-Id", name),
                ("X-Limpetflow-Deadline-Ms", "4000")]
        if key:
            head.append(("Authorization", "Bearer " + key))
        status, _, _ = call(d.front(1), "POST", ("/ask/", "/book/")[count % 2]
                            + name, head, b"work")
        return name, status, server.find_run(name)

    for what, key in KEYS:
        name, status, run = ask(key)
        d.record.write("version 7: %s, sent with %s: %d, %s"
                       % (name, what, status, "ran" if run else "not run"))
        if bool(run) != (key == "key-of-acme"):
            raise CannotRun("version 7 is not handled as it says")

    # With the disruption the tenant has no key left, without it another one.
    left = [] if HAS_TROUBLE else ["next-key-of-acme"]
    d.store.write("op/config", config(8, routes, [plain_service("web")],
                                      [tenant("acme", *left)]))
    acknowledged = time.monotonic()
    d.record.write("version 8, in which acme has %d keys, acknowledged"
                   % len(left))

    breaches = []
    while time.monotonic() - acknowledged < CONFIG_MS / 1000 + WATCHED_S:
        for what, key in KEYS:
            late = time.monotonic() - acknowledged - CONFIG_MS / 1000
            name, status, run = ask(key)
            d.record.write("%s, sent with %s %.2f s after the bound: %d, %s" % (
                name, what, late, status,
                "ran with tenant %s" % header_of(run, "X-Limpetflow-Tenant")
                if run else "not run"))
            if run and late > 0:
                breaches.append("%s, sent with %s %.1f s after ConfigMs, ran"
                                % (name, what, late))
        time.sleep(0.3)
    return breaches


run_case(FOLDER, play)
