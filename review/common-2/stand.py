"""Stand-ins and tools for the scripts of review/6 to review/10.

Store, Server and Client follow PROTOCOL.md. Fleet renders the project's
template of the settings and starts its programs with the deploy file's
commands. Python's standard library only.
"""
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
STARTED = time.monotonic()
FRONT, READY, CONTROL, FIRST, LAST = 8005, 8002, 8000, 7700, 7715


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, case):
        self.lock = threading.Lock()
        self.file = open(os.path.join(case, "record.txt"), "w",
                         encoding="utf-8")

    def __call__(self, *words):
        line = "%8.3f  %s" % (now(), " ".join(str(w) for w in words))
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


def end_after_fault(kind, value, trace):
    """A fault of the script is no broken rule: it exits with 2."""
    sys.__excepthook__(kind, value, trace)
    for fleet in FLEETS:
        fleet.end()
    os._exit(2)


FLEETS = []
sys.excepthook = end_after_fault


def is_free(address):
    host, port = address.split(":")
    with socket.socket() as probe:
        try:
            probe.bind((host, int(port)))
            return True
        except OSError:
            return False


def pick_net():
    """Returns the first two bytes of loopback addresses that nobody uses."""
    for _ in range(200):
        net = "127.%d" % random.randint(20, 240)
        if all(is_free(net + a) for a in (".1.1:8005", ".200.7:8007")):
            return net
    sys.exit(2)


def read_head(file):
    """Reads one head of HTTP/1.1: (first line, {name: value}) or None."""
    first = file.readline(65536)
    if not first:
        return None
    headers = {}
    while True:
        line = file.readline(65536)
        if line in (b"\r\n", b"\n"):
            return first.decode("latin1").strip(), headers
        if not line:
            return None
        name, _, value = line.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(file, headers):
    """Reads a body by its length or its chunks. None: it broke off."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            line = file.readline(100)
            if not line.endswith(b"\n"):
                return None
            size = int(line.split(b";")[0], 16)
            part = file.read(size)
            if len(part) < size or not file.readline(100):
                return None
            if not size:
                return b"".join(parts)
            parts.append(part)
    size = int(headers.get("content-length") or 0)
    body = file.read(size) if size else b""
    return body if len(body) == size else None


class Listener:
    """Accepts connections; handle(connection, file, peer) runs in a thread."""

    def __init__(self, address, handle):
        host, port = address.rsplit(":", 1)
        self.address = address
        self.handle = handle
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, int(port)))
        self.socket.listen(256)
        self.open = set()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, peer = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(connection)
            threading.Thread(target=self.serve, args=(connection, peer[0]),
                             daemon=True).start()

    def serve(self, connection, peer):
        try:
            with connection.makefile("rb") as file:
                self.handle(connection, file, peer)
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(connection)
            connection.close()

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def send_answer(connection, status, body, headers=()):
    head = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    head += ["%s: %s" % h for h in headers]
    connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode("latin1") +
                       body)


def send_events(connection, count, headers, after=0):
    """Answers with a stream of events, in chunks."""
    head = ["HTTP/1.1 200 X", "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked"] + ["%s: %s" % h for h in headers]
    connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode("latin1"))
    for i in range(after + 1, count + 1):
        event = b"id: %d\ndata: piece %d\n\n" % (i, i)
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    connection.sendall(b"0\r\n\r\n")


class Store:
    """The platform's metadata store, with history_s seconds of history."""

    def __init__(self, address, record, history_s=20.0):
        self.record = record
        self.history_s = history_s
        self.lock = threading.Condition()
        self.items = {}
        self.events = []  # (time, event)
        self.revision = 100
        self.dropped = 0  # revision of the last event that was dropped
        self.waiting = {}  # address of a machine: its watches now
        self.listener = Listener(address, self.handle)

    def put(self, key, value):
        data = json.dumps(value).encode()
        with self.lock:
            self.revision += 1
            item = {"Key": key, "Rev": self.revision, "Lease": 0,
                    "Created": self.items.get(key, {}).get(
                        "Created", self.revision),
                    "Value": base64.b64encode(data).decode()}
            self.items[key] = item
            self.events.append((now(), item))
            self.lock.notify_all()
            self.record("store: wrote", key, "revision", self.revision)
            return now()

    def delete(self, key):
        with self.lock:
            self.revision += 1
            del self.items[key]
            self.events.append((now(), {"Key": key, "Rev": self.revision,
                                        "Deleted": True}))
            self.lock.notify_all()
            self.record("store: removed", key, "revision", self.revision)
            return now()

    def watchers(self):
        with self.lock:
            return sorted(a for a, n in self.waiting.items() if n)

    def drop_history(self):
        while self.events and now() - self.events[0][0] > self.history_s:
            self.dropped = self.events.pop(0)[1]["Rev"]

    def range(self, args):
        with self.lock:
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(args["Prefix"]) and
                     k > args.get("After", "")]
            return {"Items": found[:500], "HasMore": len(found) > 500,
                    "At": self.revision}

    def watch(self, args, peer):
        after, end = int(args["After"]), now() + int(args["WaitMs"]) / 1000
        with self.lock:
            self.waiting[peer] = self.waiting.get(peer, 0) + 1
            try:
                while True:
                    self.drop_history()
                    if after < self.dropped:
                        return None
                    events = [e for _, e in self.events if e["Rev"] > after
                              and e["Key"].startswith(args["Prefix"])]
                    if events or now() >= end:
                        return {"events": events, "At": self.revision}
                    self.lock.wait(min(0.5, max(0.0, end - now())))
            finally:
                self.waiting[peer] -= 1

    def handle(self, connection, file, peer):
        while True:
            head = read_head(file)
            if not head:
                return
            path, _, query = head[0].split()[1].partition("?")
            args = {}
            for word in filter(None, query.split("&")):
                name, _, value = word.partition("=")
                args[name] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(
                    int(m.group(1), 16)), value)
            status, answer = 404, {}
            if path == "/kv-range":
                status, answer = 200, self.range(args)
            elif path == "/kv-watch":
                answer = self.watch(args, peer)
                status, answer = (200, answer) if answer else (410, {})
            self.record("store:", peer, head[0].split()[1], "->", status)
            send_answer(connection, status, json.dumps(answer).encode(),
                        [("Content-Type", "application/json")])


class Server:
    """A plain server. run(server, request) answers (status, body)."""

    def __init__(self, sid, address, zone, service, record, slots=8):
        self.id, self.address, self.zone = sid, address, zone
        self.service, self.record, self.slots = service, record, slots
        self.arrivals = []  # (time, id, address of the sender)
        self.work = None  # function(head, body, connection): 0 ends it
        self.is_leaving = False  # says so in its answers
        self.events = 0  # of a stream, which it answers then
        self.listener = Listener(address, self.handle)

    def entry(self, state="ready", seq=1):
        return {"Service": self.service, "Addr": self.address,
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": state, "ColdLeftMs": 0, "Seq": seq,
                "born": int(time.time() * 1000)}

    def handle(self, connection, file, peer):
        while True:
            head = read_head(file)
            if not head:
                return
            body = read_body(file, head[1])
            if body is None:
                return
            rid = head[1].get("x-limpetflow-request-id", "")
            expected = head[1].get("x-limpetflow-expect-instance")
            echo = [("X-Limpetflow-Request-Id", rid),
                    ("X-Limpetflow-Instance-Id", self.id)]
            if expected and expected != self.id:
                self.record("server", self.id, "421 for", rid, "from", peer)
                send_answer(connection, 421, b"", echo)
                continue
            self.arrivals.append((now(), rid, peer))
            self.record("server", self.id, "runs", rid, "from", peer)
            if self.work and not self.work(head, body, connection):
                return
            if self.events:
                send_events(connection, self.events, echo + [
                    ("X-Limpetflow-Response-Stamp",
                     "%s.%s" % (self.id, rid))],
                    int(head[1].get("last-event-id") or 0))
                continue
            if self.is_leaving:
                echo += [("Server-Leaving", "1"), ("Connection", "close")]
            send_answer(connection, 200, ("%s by %s" % (rid, self.id)).encode(),
                        echo + [("X-Limpetflow-Response-Stamp",
                                 "%s.%s" % (self.id, rid))])
            if self.is_leaving:
                return

    def close(self):
        self.listener.close()


class Client:
    """A client that keeps its connection to one front machine."""

    count = 0
    lock = threading.Lock()

    def __init__(self, address, record, source=None):
        self.address, self.record, self.source = address, record, source
        self.socket = self.file = None

    def close(self):
        if self.socket:
            self.file.close()
            self.socket.close()
        self.socket = self.file = None

    @classmethod
    def new_id(cls):
        with cls.lock:
            cls.count += 1
            return "%08x%08x" % (random.getrandbits(32), cls.count)

    def send(self, method, host, path, body=b"", headers=(), deadline_ms=2500,
             rid=None):
        """Returns (id, status or a word, headers, body)."""
        rid = rid or self.new_id()
        text = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host)
        text += "X-Limpetflow-Request-Id: %s\r\n" % rid
        text += "X-Limpetflow-Deadline-Ms: %d\r\n" % deadline_ms
        for h in headers:
            text += "%s: %s\r\n" % h
        if body or method != "GET":
            text += "Content-Length: %d\r\n" % len(body)
        result = rid, "closed", {}, b""
        try:
            if not self.socket:
                ip, port = self.address.rsplit(":", 1)
                self.socket = socket.create_connection(
                    (ip, int(port)), 1.0,
                    (self.source, 0) if self.source else None)
                self.socket.setsockopt(socket.IPPROTO_TCP,
                                       socket.TCP_NODELAY, 1)
                self.file = self.socket.makefile("rb")
            self.socket.settimeout(deadline_ms / 1000)
            self.record("client sends", rid, method, path, "to", self.address)
            self.socket.sendall((text + "\r\n").encode("latin1") + body)
            head = read_head(self.file)
            if head:
                got = read_body(self.file, head[1])
                status = int(head[0].split()[1])
                result = rid, status if got is not None else "cut", head[1], \
                    got or b""
                if got is None or "close" in head[1].get("connection", ""):
                    self.close()
            else:
                self.close()
        except socket.timeout:
            result = rid, "timeout", {}, b""
            self.close()
        except OSError as e:
            result = rid, "closed", {}, str(e).encode()
            self.close()
        self.record("client gets", rid, result[1])
        return result

    def send_unframed(self, method, host, path, deadline_ms=2500):
        """As send, on a connection of its own, for answers that may have no
        length. Returns (id, how it ended, stamp, body); the end is "complete",
        "cut" (reset, or short of its length) or "closed" (no answer), or
        another status than 200."""
        rid = self.new_id()
        ip, port = self.address.rsplit(":", 1)
        self.record("client sends", rid, method, path, "to", self.address)
        end, stamp, body = "closed", "", b""
        try:
            with socket.create_connection((ip, int(port)), 1.0) as s:
                s.settimeout(deadline_ms / 1000)
                s.sendall(("%s %s HTTP/1.1\r\nHost: %s\r\n"
                           "X-Limpetflow-Request-Id: %s\r\n"
                           "X-Limpetflow-Deadline-Ms: %d\r\n\r\n" % (
                               method, path, host, rid, deadline_ms)
                           ).encode("latin1"))
                file = s.makefile("rb")
                head = read_head(file)
                if head:
                    end = "cut"
                    stamp = head[1].get("x-limpetflow-response-stamp", "")
                    if "content-length" in head[1] or \
                            "transfer-encoding" in head[1]:
                        body = read_body(file, head[1])
                    else:
                        while True:
                            part = file.read1(65536)
                            if not part:
                                break
                            body += part
                    if body is not None:
                        status = head[0].split()[1]
                        end = "complete" if status == "200" else status
        except (OSError, ValueError) as e:
            self.record("client's connection:", rid, repr(e))
        self.record("client gets", rid, end, stamp, len(body or b""), "bytes")
        return rid, end, stamp, body or b""


def render(text, fields, entry=None):
    """Fills in a template as DEPLOY.md describes it, as far as needed."""

    def look_up(name):
        if name == ".":
            return entry
        for start in (entry, fields):
            at = start
            for word in name.split("."):
                if isinstance(at, dict) and word in at:
                    at = at[word]
                elif isinstance(at, list) and word.isdigit():
                    at = at[int(word)]
                else:
                    at = None
                    break
            if at is not None:
                return at
        return None

    def section(m):
        value = look_up(m.group(1))
        if value is None or value is False or value == []:
            return ""
        items = list(value.items()) if isinstance(value, dict) else \
            list(enumerate(value)) if isinstance(value, list) else \
            [("", value)]
        out = ""
        for i, (key, item) in enumerate(items):
            part = m.group(2).replace("{{@}}", str(key)).replace(
                "{{,}}", "," if i + 1 < len(items) else "")
            out += render(part, fields, item)
        return out

    def value(m):
        name, _, form = m.group(1).partition("|")
        found = look_up(name)
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        return ",".join(found) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([^#/^}][^}]*)\}\}", value, text)


BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000, "AckMs": 4000,
          "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LostSlackMs": 200,
          "ConfigMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000,
          "FailClosed": False, "RevokeMs": 5000, "RetryRatio": 0.2,
          "RetryWindowS": 10, "RetrySlack": 106, "RecoverS": 12,
          "EventDelayMs": 120, "RetryAfterS": 0, "version_ms": 8000,
          "version_all_ms": 0}


class Machine:
    """A machine of the system and its process."""

    def __init__(self, fleet, name, ip, zone, kind, more):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.kind, self.more, self.process = kind, more, None
        self.front = "%s:%d" % (ip, FRONT)

    def start(self):
        f = self.fleet
        fields = {
            "Node": self.name, "Role": self.kind, "Ip": self.ip,
            "Zone": self.zone, "Region": f.zones[self.zone],
            "Zones": f.zones, "Listen": {
                "Front": self.front, "Ready": "%s:%d" % (self.ip, READY),
                "Control": "%s:%d" % (self.ip, CONTROL)},
            "PortRange": [FIRST, LAST], "Seeds": f.seeds, "Bounds": f.bounds,
            "Provider": {"Addr": f.store_address, "form": "read",
                         "ReadsPerS": 2000, "HistoryS": 20,
                         "ValueBytes": 1048576},
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}}
        fields.update(self.more)
        with open(os.path.join(ROOT, "deploy", "settings.json.in"),
                  encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(f.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(f.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", self.kind), "--settings", path],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        f.record("start", self.name, "process", self.process.pid)

    def signal(self, number):
        self.fleet.record("signal", signal.Signals(number).name, "to",
                          self.name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            s = socket.create_connection((self.ip, READY), 0.5)
        except OSError:
            return False
        with s:
            s.settimeout(0.5)
            try:
                s.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return s.recv(64).split()[1:2] == [b"200"]
            except OSError:
                return False

    def log(self):
        with open(os.path.join(self.fleet.folder, self.name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    def __init__(self, net, record, zones, bounds=()):
        self.net, self.record, self.zones = net, record, zones
        self.bounds = dict(BOUNDS, **dict(bounds))
        self.store_address = net + ".200.7:8007"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.machines, self.seeds = [], []
        FLEETS.append(self)
        # No process outlives the script, which takes no more than 120 s.
        signal.signal(signal.SIGTERM, self.give_up)
        signal.signal(signal.SIGALRM, self.give_up)
        signal.alarm(115)

    def give_up(self, number, frame):
        self.record.say("given up:", signal.Signals(number).name)
        self.end()
        os._exit(2)

    def add(self, name, ip, zone, kind="limpet-entry", **more):
        m = Machine(self, name, ip, zone, kind, more)
        self.machines.append(m)
        if kind == "limpet-entry" and len(self.seeds) < 3:
            self.seeds.append("%s:%d" % (ip, CONTROL))
        return m

    def wait_ready(self, machines=None, limit_s=15):
        end = now() + limit_s
        for m in machines or self.machines:
            while not m.is_ready():
                if now() > end:
                    self.record.say("not ready:", m.name)
                    self.end()
                    sys.exit(2)
                time.sleep(0.05)

    def end(self):
        for m in self.machines:
            if m.process and m.process.poll() is None:
                m.process.send_signal(signal.SIGCONT)
                m.process.kill()
                m.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services, tenants=None, **more):
    c = {"Version": version, "Routes": routes, "Services": services,
         "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 15000}}
    if tenants is not None:
        c["Tenants"] = tenants
    c.update(more)
    return c


def route(name, prefix, service, kind="idempotent", timeout_ms=2500,
          attempts=2, **more):
    r = {"Name": name, "Host": "lopu30.example", "Prefix": prefix,
         "Kind": kind, "TimeoutMs": timeout_ms, "SloMs": 200,
         "Attempts": attempts, "Priority": 2, "Service": service}
    r.update(more)
    return r


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"
