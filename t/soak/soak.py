#!/usr/bin/env python3
"""Soak of entries on the users' platform, by faults from outside.

    soak.py --net 127.a.b --seed N [--seconds S] [--no-bounds] [--print]
            [--entries N] [--engines N]

Runs limpet-entry processes against stand-ins of the store and of upstreams,
each way through a relay, and judges what callers and upstreams saw.  Promises
with a bound on time are judged only for entries that nothing disturbed, and
not at all with --no-bounds.  Prints the schedule first; exits 1 when a promise
is broken, with the ids that broke it.  Logs stay in the current folder.
"""
import argparse
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from http.server import ThreadingHTTPServer

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "standin"),
                os.path.join(HERE, "..", "helper")]
from callers import DEADLINES_MS, Callers  # noqa: E402
from engine import (EVENT_S, SLOTS, SLOW_EVENT_S, Engine,  # noqa: E402
                    EngineHandler, VariedHandler, run, write_events)
from faults import Relay, schedule  # noqa: E402
from judge import BACK_S, RELEASE_S, Judge  # noqa: E402
from metadata_store import Store, StoreHandler  # noqa: E402

CALM_S = 3.0  # after a disturbance, before bounds on time hold again
GRACE_S = 8.0  # TERM until the end
RECOVER_S = 12.0
WORKERS = 6  # callers an entry
ENGINE_WORKERS = 8  # the same, of the service with engines
WORK_S = 0.06  # of an upstream, so that faults meet requests that run
TELL_EVENT_S = 0.04  # between its events
KEY = "0123456789abcdef"
PLAIN = ("read", "once", "tell", "probe", "key")
UPSTREAMS = ["w1", "w2", "w3", "v1", "v2"]
SERVICES = {"w": "web", "v": "voice", "g": "llm"}
ENGINE_SPEC = {
    "Slots": SLOTS, "KvTokens": 685000, "Stride": 6, "Models": [{"Name": "m"}],
    "step_ms": 7.4, "per_seq_ms": 0.04, "context_per_k": 0.02,
    "read_per_s": 31900, "usual": {"prompt": 970, "answer": 106}}


def names(letter, count):
    return [f"{letter}{i + 1}" for i in range(count)]


class Upstream(VariedHandler):
    """Notes when a request came and whose it is; streams take some time."""

    def handle_any(self):
        came = time.monotonic()
        request = self.headers.get("X-Limpetflow-Request-Id", "")
        notice = self.server.notice
        common = [("X-Limpetflow-Request-Id", request),
                  ("X-Limpetflow-Response-Stamp", self.server.id)]
        if request:
            self.server.arrivals.append((came, request))
            if self.announce(notice, request, common):
                self.body()
                return
            self.server.runs.append((time.monotonic(), request))
            time.sleep(WORK_S)
        if self.path.startswith("/tell/"):
            run(self, request, write_events, self, common, TELL_EVENT_S,
                came + int(self.headers["X-Limpetflow-Deadline-Ms"]) / 1000)
            return
        run(self, request, self.serve, notice)

    do_GET = do_POST = do_PUT = do_DELETE = handle_any


class Server(ThreadingHTTPServer):
    errors = []  # faults of the soak itself

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):  # relays reset some
            self.errors.append(repr(sys.exc_info()[1]))
            super().handle_error(request, client_address)


def serve(address, handler, **fields):
    server = Server(address, handler)
    server.daemon_threads = True
    for name, value in fields.items():
        setattr(server, name, value)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Entry:
    def __init__(self, soak, number):
        net = soak.net
        self.name = f"e{number}"
        self.ip = f"{net}.{number}"
        self.relay = Relay((f"{net}.{40 + number}", 7001), soak.store_address)
        self.incarnation = 0
        self.disturbed = 0.0  # until then
        self.disturbances = []  # (from, until)
        self.freezes = []
        self.ends = []  # (when, incarnation, why it may end answers)
        self.stopping = 0.0  # since TERM, 0: not
        self.lock = threading.Lock()
        settings = {
            "instance": self.name, "data_center": "d1", "address": self.ip,
            "ports": {"first": 7700}, "platform": "store",
            "platform_url": f"http://{net}.{40 + number}:7001",
            "listen": {"callers": f"{self.ip}:8000",
                       "ready": f"{self.ip}:8001"},
            "key": KEY,
            "seeds": [f"{net}.{i}:7700" for i in (1, 2, 3)],
            "forward": {"stop_grace_s": int(GRACE_S), "retry_ratio": 0.2,
                        "retry_window_s": 10, "retry_slack": 100,
                        "release_ms": int(RELEASE_S * 1000)},
        }
        with open(f"{self.name}.json", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.start()

    def start(self):
        with open(f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["limpet-entry", "--settings", f"{self.name}.json"],
                stdout=log, stderr=log)
        self.incarnation += 1
        self.stopping = 0.0

    def disturb(self, until):
        self.disturbances.append((time.monotonic(), until + CALM_S))
        self.disturbed = max(self.disturbed, until + CALM_S)


class Soak(Callers, Judge):
    def __init__(self, o):
        self.o, self.net = o, o.net
        self.store_address = (f"{self.net}.90", 7001)
        self.store = Store()
        serve(self.store_address, StoreHandler, store=self.store)
        self.servers, self.relays, self.states = {}, {}, {}
        self.engines = {name: Engine() for name in names("g", o.engines)}
        for i, name in enumerate(UPSTREAMS + list(self.engines)):
            own = (f"{self.net}.{101 + i}", 80)
            listed = f"{self.net}.{151 + i}"
            engine = self.engines.get(name)
            self.servers[name] = serve(
                own, EngineHandler if engine else Upstream, id=name,
                mode="ok", requests=[], runs=[], engine=engine,
                deadlines={}, release=None, ends=[], silent_until=0.0,
                notice=None, turned_away=[], arrivals=[],
                born=int(time.time() * 1000), restarts=[])
            self.relays[name] = Relay((listed, 80), own)
            self.states[name] = ["ready", f"{listed}:80"]
            if engine:
                threading.Thread(target=engine.report, daemon=True, args=(
                    KEY, f"{listed}:80", own[0],
                    [(f"{self.net}.{n + 1}", 7703)
                     for n in range(o.entries)])).start()
        self.records, self.broken, self.checked = {}, [], {}
        self.lock, self.listing = threading.Lock(), threading.Lock()
        self.number = 0
        self.version = 0
        self.keys = ["k0"]
        self.revoked = {}  # key: when the store had it
        self.limits = []  # (upstream, from, until, requests a second)
        self.drains = []  # (upstream, when, until)
        self.store_disturbed = 0.0
        self.store_disturbances = []
        self.silences = []  # (engine, from, until): its link
        self.late_s = 0.0  # the latest fault: whether the soak itself had time
        self.excused = {}  # answers that broke off, by what
        self.declared = []  # (release, when)
        self.stop = False
        self.config("route")
        self.declare(1)
        for name in self.servers:
            self.list(name, "ready")
        self.processes = [Entry(self, i + 1) for i in range(o.entries)]
        self.by_name = {e.name: e for e in self.processes}

    # what the operator and the servers write

    def config(self, how):
        if how == "keys":
            if len(self.keys) > 1:
                key = self.keys.pop()
                self.config("route")
                self.revoked[key] = time.monotonic()
                return
            self.keys.append(f"k{self.version + 1}")
        self.version += 1
        routes = [
            {"Name": n, "Host": "a.example", "Prefix": f"/{n}/", "Kind": kind,
             "TimeoutMs": DEADLINES_MS.get(n, 2000),
             "SloMs": 3000 if n == "gen" else 300, "Service": service,
             "Attempts": 2, "Resumable": kind == "streaming"}
            for n, kind, service in
            [("read", "idempotent", "web"), ("once", "non_idempotent", "web"),
             ("tell", "streaming", "voice"), ("gen", "streaming", "llm")] +
            [(f"n{v}", "idempotent", "web")
             for v in range(1, self.version + 1)]]
        self.put("op/config", {
            "Version": self.version, "Routes": routes,
            "Services": [{"Name": "web"}, {"Name": "voice"},
                         {"Name": "llm", "MaxConns": 99,
                          "Engine": ENGINE_SPEC},
                         {"Name": "store", "Origin": "127.0.0.1:1"}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "acme", "ApiKeys": list(self.keys)}]})

    def put(self, key, value):
        self.store.write(key, json.dumps(value).encode())

    def declare(self, release):
        self.put("op/version/m", {"Model": "m", "Version": release})
        self.declared.append((release, time.monotonic()))

    def list(self, name, state=None):
        """Lists an upstream, in the state that it has unless one is given."""
        mine, engine = self.states[name], self.engines.get(name)
        with self.listing:
            mine[0] = state or mine[0]
            value = {"Service": SERVICES[name[0]], "Addr": mine[1],
                     "Zone": "d1", "Slots": SLOTS if engine else 8,
                     "Version": "v1", "State": mine[0], "ColdLeftMs": 0,
                     "Seq": 1, "born": self.servers[name].born}
            if engine:
                value["Models"] = [] if engine.is_loading else [
                    {"Name": "m", "Version": engine.release, "Adapters": []}]
            self.put(f"servers/{name}", value)

    # faults

    def play(self, fault):
        now = time.monotonic()
        end = now + fault.for_s
        e = self.by_name.get(fault.target)
        getattr(self, "fault_" + fault.kind)(fault, e, now, end)

    @staticmethod
    def later(seconds, do, *args):
        threading.Timer(seconds, do, args).start()

    def fault_pause(self, fault, e, now, end):
        e.disturb(end)
        e.freezes.append(now)
        e.process.send_signal(signal.SIGSTOP)
        self.later(fault.for_s, e.process.send_signal, signal.SIGCONT)

    def fault_kill(self, fault, e, now, end):
        with e.lock:
            if e.stopping:
                return
            e.disturb(end)
            e.process.kill()
            e.process.wait()
            e.ends.append((now, e.incarnation, "killed"))
            self.later(fault.for_s, e.start)
            e.stopping = now

    def fault_term(self, fault, e, now, end):
        with e.lock:
            if e.stopping:
                return
            e.stopping = now
        e.process.terminate()
        threading.Thread(target=self.term_wait, args=(e, now)).start()

    def term_wait(self, e, now):
        e.ends.append((now + GRACE_S, e.incarnation, "past its grace"))
        try:
            e.process.wait(GRACE_S + CALM_S)
            late = e.disturbed < now and time.monotonic() - now > GRACE_S
        except subprocess.TimeoutExpired:
            e.process.send_signal(signal.SIGCONT)
            e.process.kill()
            e.process.wait()
            late = e.disturbed < now
        self.check("stop within the grace", not late or self.o.no_bounds,
                   f"{e.name} after {time.monotonic() - now:.2f} s")
        e.disturb(time.monotonic())
        e.start()

    def fault_hup(self, fault, e, now, end):
        if not e.stopping:
            e.process.send_signal(signal.SIGHUP)

    def fault_store(self, fault, e, now, end):
        e.disturb(end)
        e.relay.set(fault.how)
        self.later(fault.for_s, e.relay.set, "ok")

    def fault_down(self, fault, e, now, end):
        self.store_disturbed = max(self.store_disturbed, end + CALM_S)
        self.store_disturbances.append((now, end + CALM_S))
        if fault.how == "forget":
            self.store.forgotten = self.store.revision
            self.store.events = []
            return
        self.store.down = True
        self.later(fault.for_s, setattr, self.store, "down", False)

    def fault_upstream(self, fault, e, now, end):
        if fault.how == "silent":
            self.silences.append((fault.target, now, end + BACK_S))
        self.relays[fault.target].set(fault.how)
        self.later(fault.for_s, self.relays[fault.target].set, "ok")

    fault_cut = fault_upstream

    def fault_declare(self, fault, e, now, end):
        self.declare(int(fault.how))

    def fault_load(self, fault, e, now, end):
        self.later(0, self.load, fault.target, int(fault.how), fault.for_s)

    def fault_slow(self, fault, e, now, end):
        engine = self.engines[fault.target]
        engine.event_s = SLOW_EVENT_S
        self.later(fault.for_s, setattr, engine, "event_s", EVENT_S)

    def fault_mute(self, fault, e, now, end):
        engine = self.engines[fault.target]
        engine.is_mute = True
        self.later(fault.for_s, setattr, engine, "is_mute", False)

    def fault_order(self, fault, e, now, end):
        self.later(0, self.engines[fault.target].take_order, fault.for_s)

    def fault_silence(self, fault, e, now, end):
        server = self.servers[fault.target]
        server.silent_until = max(server.silent_until, end)

    def load(self, name, release, for_s):
        self.engines[name].load(release, for_s, lambda: self.list(name))

    def fault_drain(self, fault, e, now, end):
        if any(until > now for _, _, until in self.drains):
            return  # the others have to serve
        self.list(fault.target, "draining")
        self.drains.append((fault.target, time.monotonic(), end))
        self.later(fault.for_s, self.list, fault.target, "ready")

    def fault_leave(self, fault, e, now, end):
        server = self.servers[fault.target]
        if server.notice:
            return
        server.notice = {"status": 200, "headers": [["Server-Leaving", "1"]]}
        self.later(fault.for_s, self.restart, fault.target)

    def restart(self, name):
        """A process that left is followed by another one under its id."""
        server = self.servers[name]
        server.born = int(time.time() * 1000)
        server.restarts.append(time.monotonic())
        server.notice = None
        self.list(name)

    def fault_ask(self, fault, e, now, end):
        server = self.servers[fault.target]
        if server.notice:
            return
        server.notice = {"status": 503,
                         "headers": [["Retry-After", fault.how]]}
        self.later(fault.for_s, setattr, server, "notice", None)

    def fault_limit(self, fault, e, now, end):
        server = self.servers[fault.target]
        if server.notice:
            return
        server.notice = {"status": 200,
                         "headers": [["Server-Limit", fault.how]]}
        self.limits.append((fault.target, time.monotonic(), end,
                            float(fault.how)))
        self.later(fault.for_s, setattr, server, "notice", None)

    def fault_config(self, fault, e, now, end):
        self.config(fault.how)

    def recovered(self, e):
        record = {}
        for kind in ("read", "once", "tell", "gen"):
            before = self.number
            self.close(self.ask(e, None, kind, random.Random(1)))
            record = self.records[f"r{before + 1}"]
            if record["status"] != 200:
                return False
        return True

    def recover(self, bound):
        end = time.monotonic() + bound
        for e in self.processes:
            while not self.recovered(e):
                if time.monotonic() > end:
                    self.check("all serve again", False, e.name)
                    return
                time.sleep(0.1)
            self.check("all serve again", True, e.name)

    def run(self, faults):
        self.recover(60)
        threads = [threading.Thread(target=self.caller, args=(
                       e, self.o.seed * 1000 + i,
                       PLAIN if i < WORKERS else ("gen",)))
                   for e in self.processes
                   for i in range(WORKERS + ENGINE_WORKERS)]
        for t in threads:
            t.start()
        began = time.monotonic()
        for fault in faults:
            time.sleep(max(0, began + fault.at - time.monotonic()))
            at = time.monotonic() - began
            print(f"{at:6.2f} plays {fault}", flush=True)
            self.late_s = max(self.late_s, at - fault.at)
            self.play(fault)
        time.sleep(max(0, began + self.o.seconds - time.monotonic()))
        for t in threading.enumerate():
            if isinstance(t, threading.Timer):
                t.join()
        self.stop = True
        for t in threads:
            t.join()
        while any(e.stopping for e in self.processes):
            time.sleep(0.1)
        for name in self.engines:
            self.load(name, self.declared[-1][0], 0)
        self.recover(60 if self.o.no_bounds else RECOVER_S)
        self.judge()
        for e in self.processes:
            e.process.terminate()
        for e in self.processes:
            e.process.wait()


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--net", required=True, help="first bytes of addresses")
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--seconds", type=float, default=20)
    p.add_argument("--entries", type=int, default=3, help="at most 40")
    p.add_argument("--engines", type=int, default=3, help="at most 40")
    p.add_argument("--no-bounds", action="store_true")
    p.add_argument("--print", action="store_true", help="only the schedule")
    o = p.parse_args()
    faults = schedule(o.seed, o.seconds, names("e", o.entries), UPSTREAMS,
                      names("g", o.engines), RELEASE_S)
    for fault in faults:
        print(fault)
    if o.print:
        return 0
    soak = Soak(o)
    soak.run(faults)
    for promise, count in sorted(soak.checked.items()):
        broken = [w for n, w in soak.broken if n == promise]
        print(f"{promise}: {count} checked, {len(broken)} broken")
        for what in broken[:5]:
            print(f"  {what}")
    print(f"answers broken off, excused: {soak.excused}")
    statuses = {}
    for rec in soak.records.values():
        statuses[rec["status"]] = statuses.get(rec["status"], 0) + 1
    print(f"seed {o.seed}: {len(soak.records)} requests, {statuses}, "
          f"{sum(e.withdrawn for e in soak.engines.values())} left a queue, "
          f"{len(faults)} faults up to {soak.late_s:.2f} s late, "
          f"{len(soak.broken)} broken")
    return 2 if Server.errors else 1 if soak.broken else 0


if __name__ == "__main__":
    sys.exit(main())
