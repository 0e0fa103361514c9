"""Configurations within ValueBytes that the store has accepted: one with many
tenants, and one that splits a route between two services with the same model."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

from deployment import (HAS_TROUBLE, CannotRun, call, config, encode, listed,
                        plain_service, route, run_case, tenant)
from plain_server import PlainServer

VALUE_BYTES = 1048576
CONFIG_MS = 3000
TENANTS = 5000 if HAS_TROUBLE else 500
WATCHED_S = 6  # after ConfigMs


def model_service(name):
    return dict(plain_service(name), Engine={
        "Slots": 12, "KvTokens": 317000, "KvBytes": 262144, "Stride": 5,
        "Models": [{"Name": "daka510000", "pace": 1.0, "WarmS": 0.3}],
        "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322,
        "read_per_s": 20700.0, "usual": {"prompt": 954, "answer": 95},
        "layers": 16, "Chunks": 48, "ChunkBytes": 49152})


def many_tenants(acme):
    """Version 9: the tenants grow."""
    return config(9, [route("ask", "idempotent", "web2"),
                      route("added", "idempotent", "web2")],
                  [plain_service("web"), plain_service("web2")],
                  [acme] + [tenant("tenant-%04d" % i, "key-%016d" % i)
                            for i in range(TENANTS)])


def split_route(acme):
    """Version 11: a streaming route is split between two services."""
    services = [plain_service("web"), plain_service("web2"),
                model_service("llm")]
    if HAS_TROUBLE:
        services.append(model_service("llm2"))
    return config(11, [
        route("ask", "idempotent", "web2"),
        route("added", "idempotent", "web2"),
        route("draft", "streaming", "llm", Resumable=True, Backends=[
            {"Service": s["Name"], "Weight": 100 / len(services[2:])}
            for s in services[2:]])], services, [acme])


def play(d):
    old = PlainServer(d.address(20, 8784), "i-old")
    new = PlainServer(d.address(21, 8784), "i-new")
    acme = tenant("acme", "key-of-acme")
    d.store.write("op/config", config(
        7, [route("ask", "idempotent", "web"),
            route("gone", "idempotent", "web")],
        [plain_service("web"), plain_service("web2")],
        [acme, tenant("left", "key-taken-away")]))
    for server, service, host in ((old, "web", 20), (new, "web2", 21)):
        d.store.write("servers/" + server.id,
                      listed(service, d.address(host, 8784), 16))
    d.start("limpet-entry", d.settings("front-1", 1, [1], 260))
    d.wait_ready(1)

    breaches, count = [], 0

    def ask(path, key, late):
        nonlocal count
        count += 1
        name = "r%04d" % count
        status, _, _ = call(d.front(1), "GET", path, [
            ("X-Limpetflow-Request-Id", name),
            ("X-Limpetflow-Deadline-Ms", "4000"),
            ("Authorization", "Bearer " + key)])
        by = [s.id for s in (old, new) if s.find_run(name)]
        d.record.write("%s GET %s with %s sent %.3f s after the bound; answer "
                       "%d; run by %s" % (name, path, key, late, status,
                                          by or "none"))
        return name, status, by

    # Both versions move a route to another service, drop a route and a key,
    # and add a route.
    for value in (many_tenants(acme), split_route(acme)):
        size, version = len(encode(value)), value["Version"]
        if size > VALUE_BYTES:
            raise CannotRun("the configuration is too large")
        d.store.write("op/config", value)
        acknowledged = time.monotonic()
        d.record.write("version %d with %d tenants and %d services, %d of %d "
                       "bytes, acknowledged" % (
                           version, len(value["Tenants"]),
                           len(value["Services"]), size, VALUE_BYTES))
        while time.monotonic() - acknowledged < CONFIG_MS / 1000 + WATCHED_S:
            for path, key, ok in (
                    ("/ask/x", "key-of-acme",
                     lambda s, by: by != ["i-old"]),
                    ("/gone/x", "key-of-acme", lambda s, by: not by),
                    ("/added/x", "key-of-acme",
                     lambda s, by: s not in (401, 403, 404)),
                    ("/ask/x", "key-taken-away", lambda s, by: not by)):
                late = time.monotonic() - acknowledged - CONFIG_MS / 1000
                name, status, by = ask(path, key, late)
                if late > 0 and not ok(status, by):
                    breaches.append(
                        "%s, %s with %s, sent %.1f s after ConfigMs of version "
                        "%d, was handled as version 7 says: %d, run by %s"
                        % (name, path, key, late, version, status, by))
            time.sleep(0.3)
        d.record.write("broken so far: %d" % len(breaches))
    return breaches


run_case(FOLDER, play)
