"""Starts a small deployment for the scripts of review/: the platform's store, the
project's processes with settings like those of the template, and helpers to
record what was sent, answered and run.

Only what PROTOCOL.md and DEPLOY.md name is spoken here. All addresses are
loopback addresses of a network that is drawn for each run.
"""
import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

TOP = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DATA_CENTER, REGION = "d1", "r1"
STORE_PAGE = 500
HISTORY_S = 20
TIME_MAX_S = 105  # of a case

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; the rule was not judged."""


class Record:
    """The file record.txt of a case: one line for each thing that was seen."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n"
                            % (time.monotonic() - self.started, text))
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request, address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, address)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def split_path(self):
        url = urllib.parse.urlsplit(self.path)
        return url.path, dict(urllib.parse.parse_qsl(url.query))


def serve(address, handler, **members):
    """Starts a server in a thread of this process."""
    host, port = address.split(":")
    server = Server((host, int(port)), handler)
    for name, value in members.items():
        setattr(server, name, value)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class StoreHandler(Handler):
    def do_GET(self):
        store = self.server.store
        path, args = self.split_path()
        if path == "/kv-range":
            self.answer(200, store.read_range(args.get("Prefix", ""),
                                              args.get("After", "")))
        elif path == "/kv-watch":
            found = store.watch(args.get("Prefix", ""), int(args["After"]),
                                int(args["WaitMs"]) / 1000)
            self.answer(410 if found is None else 200, found or {})
        elif path == "/kv-key" and args.get("Key") in store.items:
            self.answer(200, store.items[args["Key"]])
        else:
            self.answer(404, {})


class Store:
    """The platform's metadata store; it is never in disruption here."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.items, self.events, self.revision = {}, [], 1
        self.times, self.forgotten = [], 1
        self.server = serve(address, StoreHandler, store=self)

    def write(self, key, value):
        """Stores a value; its return is the acknowledgement."""
        with self.changed:
            self.revision += 1
            old = self.items.get(key, {})
            self.items[key] = {
                "Key": key, "Rev": self.revision, "Lease": 0,
                "Created": old.get("Created", self.revision),
                "Value": base64.b64encode(encode(value)).decode()}
            self.events.append(self.items[key])
            self.times.append(time.monotonic())
            self.changed.notify_all()

    def read_range(self, prefix, after):
        with self.changed:
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            return {"Items": found[:STORE_PAGE], "At": self.revision,
                    "HasMore": len(found) > STORE_PAGE}

    def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        with self.changed:
            self.forget()
            if not self.forgotten <= after <= self.revision:
                return None
            while True:
                events = [e for e in self.events if e["Rev"] > after
                          and e["Key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "At": self.revision}
                self.changed.wait(left)


    def forget(self):
        """Discards the history that is older than HistoryS."""
        while self.times and time.monotonic() - self.times[0] > HISTORY_S:
            self.forgotten = self.events.pop(0)["Rev"]
            self.times.pop(0)


def encode(value):
    """The bytes of a value as the operator writes it."""
    if isinstance(value, bytes):
        return value
    return json.dumps(value, separators=(",", ":")).encode()


def route(name, kind, service, **members):
    return dict({"Name": name, "Host": "a.example", "Prefix": "/%s/" % name,
                 "Kind": kind, "TimeoutMs": 6000, "SloMs": 400, "Priority": 2,
                 "Service": service, "Attempts": 2, "Public": False,
                 "Sticky": False, "Resumable": False, "AllowedRegions": []},
                **members)


def tenant(name, *keys):
    return {"Name": name, "ApiKeys": list(keys), "Priority": 1,
            "AllowedRegions": []}


def config(version, routes, services, tenants):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": tenants}


def plain_service(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 470,
            "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0}


def listed(service, address, slots, **members):
    """An entry of the list of servers."""
    return dict({"Service": service, "Addr": address, "Zone": DATA_CENTER,
                 "Version": "v1", "Slots": slots, "State": "ready",
                 "ColdLeftMs": 0, "Seq": 1}, **members)


class Deployment:
    """Addresses, the store and the processes of one run."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.net = self.draw_network()
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.store = Store(self.address(250, 8007))

    @staticmethod
    def draw_network():
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(40, 250),
                                 random.randint(1, 250))
            try:
                for host, port in ((1, 8005), (2, 8005), (250, 8007)):
                    with socket.socket() as s:
                        s.bind(("%s.%d" % (net, host), port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def address(self, host, port):
        return "%s.%d:%d" % (self.net, host, port)

    def front(self, host):
        return self.address(host, 8005)

    def settings(self, name, host, seeds, memory_mb, **members):
        """Settings as the template of the deploy file yields them."""
        return dict({
            "instance": name, "data_center": DATA_CENTER, "region": REGION,
            "regions": [{"data_center": DATA_CENTER, "region": REGION}],
            "address": "%s.%d" % (self.net, host),
            "ports": {"first": 7740},
            "listen": {"callers": self.front(host),
                       "ready": self.address(host, 8002)},
            "machine_memory_mb": memory_mb, "platform": "store",
            "platform_url": "http://" + self.address(250, 8007),
            "key": "limpetflow-between-instances",
            "seeds": [self.address(s, 8000) for s in seeds],
            "forward": {"release_ms": 10300, "stop_grace_s": 8,
                        "retry_ratio": 0.2, "retry_window_s": 10,
                        "retry_slack": 100},
            "links": {"machine_mbps": 40.0, "transfer_share": 0.85}},
            **members)

    def start(self, program, settings):
        """Starts a process of the project as the deploy file does."""
        name = settings["instance"]
        path = os.path.join(self.tmp, name + ".conf")
        if not settings.get("upstream") is None:
            settings.pop("listen", None)
        with open(path, "w") as f:
            json.dump(settings, f)
        log = open(os.path.join(self.tmp, name + ".log"), "a")
        p = subprocess.Popen([os.path.join("target", program), "--settings",
                              path], cwd=TOP, stdout=log,
                             stderr=subprocess.STDOUT)
        self.processes[name] = p
        self.record.write("%s starts, process %d" % (name, p.pid))
        return p

    def wait(self, seconds, what, condition):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise CannotRun("waited in vain for " + what)

    def wait_ready(self, host):
        """Waits until the process counts as ready for the platform."""
        self.wait(20, "ready", lambda: self.get_status(host) == 200)
        self.record.write("the front %d answers /readyz with 200" % host)

    def get_status(self, host):
        c = http.client.HTTPConnection("%s.%d" % (self.net, host), 8002,
                                       timeout=1)
        try:
            c.request("GET", "/readyz")
            return c.getresponse().status
        finally:
            c.close()

    def log_text(self, name):
        with open(os.path.join(self.tmp, name + ".log")) as f:
            return f.read()

    def stop(self):
        """Ends every process that this run started."""
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.terminate()
        end = time.monotonic() + 3
        for p in self.processes.values():
            try:
                p.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                p.kill()
                p.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


def request_head(method, path, headers):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: a.example"]
    lines += ["%s: %s" % h for h in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def call(front, method, path, headers, body=b"", timeout=5):
    """Sends one request on a connection of its own. Returns the status, the
    headers and the body."""
    host, port = front.split(":")
    head = list(headers)
    if body or method != "GET":
        head.append(("Content-Length", str(len(body))))
    with socket.create_connection((host, int(port)), timeout) as s:
        s.sendall(request_head(method, path, head) + body)
        r = http.client.HTTPResponse(s, method=method)
        r.begin()
        return r.status, r.getheaders(), r.read()


def run_case(folder, play):
    """Plays a case: play(deployment) returns the breaches it saw. Exits with 1
    if there is one, with 0 if there is none, with 2 if it could not run."""
    def end(*args):
        raise CannotRun("ended by a signal or after %d s" % TIME_MAX_S)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGALRM, end)
    signal.alarm(TIME_MAX_S)
    d, status = None, NOT_RUN
    try:
        d = Deployment(folder)
        d.record.write("with the disruption" if HAS_TROUBLE
                       else "without the disruption")
        breaches = play(d)
        for b in breaches[:20]:
            d.record.write("BROKEN: " + b)
            print("BROKEN:", b)
        status = BROKEN if breaches else HELD
        d.record.write("the rule was broken %d times" % len(breaches))
        print("broken" if breaches else "held")
    except (CannotRun, OSError, http.client.HTTPException) as e:
        print("could not run:", e)
        if d:
            d.record.write("could not run: %s" % e)
    finally:
        if d:
            d.stop()
    sys.exit(status)
