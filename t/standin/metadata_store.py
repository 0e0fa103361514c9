"""Stand-ins of the users' metadata store and of an upstream, for the tests of
platform/.

    metadata_store.py store ADDRESS:PORT
    metadata_store.py upstream ADDRESS:PORT ID [MODE]

The store serves /kv-range and /kv-watch, and paths for tests:
    PUT /test/KEY      stores the body under KEY
    DELETE /test/KEY   removes KEY
    POST /test/mode    sets faults: {"down": bool} fails every call with 503,
                       {"forget": true} discards the event history,
                       {"broken": KIND} breaks each answer to the
                       entry: "half" of it, without a length; "empty", an
                       object without members; "endless",
                       {"slow_s": S} sends the answers to watches S seconds
                       late,
                       {"copy": true} copies the items, and {"restore": true}
                       returns to that copy, in the next era
    GET /test/calls    returns the number of calls, and of broken answers in
                       the current mode

An upstream replies according to MODE:
    ok      200 with a description of the request (the default)
    full    503, marked as not run
    error   500 of the upstream itself
    other   421 with the ID of another instance
    stream  an event stream
    torn    an event stream that is cut within its third event; it is
            complete when resumed after that event
    drop    paths that contain "drop" get no reply; their connection is
            closed after 0.8 s
    queue   paths that contain "begun" get the first event at once, the rest
            after a request for /test/finish, and comments until then if they
            also contain "alive"; other requests get no reply
    keep    requests wait for a request for /test/finish, and then get an event
            stream although their connection may be closed; one whose deadline
            is over before gets 503, marked as not run
and serves
    GET /test/requests   the IDs of the requests received
    GET /test/arrivals   when these arrived, in s since the last notice
    GET /test/withdrawn  in mode queue, the IDs of the requests whose
                         connection was closed before a reply
    GET /test/begun      in mode keep, the IDs of the requests that got a stream
    GET /test/deadlines  the deadlines in ms of the requests received, by ID
    PUT /test/release    sets the release of the weights; requests that expect
                         another one get 421
    GET /test/connections  the number of other open connections
"""
import base64
import json
import select
import socket
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Store:
    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.forgotten = 0  # watches from before this revision fail
        self.era = 1
        self.copy = None
        self.calls = 0
        self.down = False
        self.slow_s = 0
        self.broken_kind = None
        self.broken = 0

    def write(self, key, value):
        with self.lock:
            self.revision += 1
            event = {"Key": key, "Rev": self.revision}
            if value is None:
                self.items.pop(key, None)
                event["Deleted"] = True
            else:
                event["Value"] = base64.b64encode(value).decode()
                event["Created"] = self.revision
                event["Lease"] = 0
                self.items[key] = event
            self.events.append(event)
            self.lock.notify_all()

    def restore(self):
        with self.lock:
            self.items, self.revision = dict(self.copy[0]), self.copy[1]
            self.events = []
            self.forgotten = self.revision
            self.era += 1
            self.lock.notify_all()

    def range(self, prefix, after):
        with self.lock:
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            return {"Items": found[:2], "HasMore": len(found) > 2,
                    "At": self.revision}

    def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.lock:
            era = self.era
            if after < self.forgotten or after > self.revision:
                return None
            while era == self.era:
                events = [e for e in self.events if e["Rev"] > after
                          and e["Key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "At": self.revision}
                self.lock.wait(left)
        return None


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        store = getattr(self.server, "store", None)
        if store:
            self.send_header("Store-Era", str(store.era))
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class StoreHandler(Handler):
    def answer_broken(self, store):
        store.broken += 1
        if store.broken_kind == "empty":
            return self.answer(200, {})
        text = json.dumps(store.range("", "")).encode()
        self.send_response(200)
        self.send_header("Store-Era", str(store.era))
        self.end_headers()
        self.close_connection = True
        self.wfile.write(text[:len(text) // 2])
        try:
            while store.broken_kind == "endless":
                self.wfile.write(b" " * 65536)
        except OSError:
            pass
        return None

    def do_PUT(self):
        self.server.store.write(self.path[len("/test/"):], self.body())
        self.answer(200, {})

    def do_DELETE(self):
        self.server.store.write(self.path[len("/test/"):], None)
        self.answer(200, {})

    def do_POST(self):
        store, mode = self.server.store, json.loads(self.body())
        store.down = mode.get("down", False)
        store.slow_s = mode.get("slow_s", 0)
        store.broken_kind, store.broken = mode.get("broken"), 0
        if mode.get("copy"):
            store.copy = (dict(store.items), store.revision)
        if mode.get("restore"):
            store.restore()
        if mode.get("forget"):
            store.forgotten = store.revision
            store.events = []
        self.answer(200, {})

    def do_GET(self):
        store = self.server.store
        url = urllib.parse.urlsplit(self.path)
        args = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/test/calls":
            return self.answer(200, {"calls": store.calls,
                                     "broken": store.broken})
        store.calls += 1
        if store.down:
            return self.answer(503, {})
        if store.broken_kind:
            return self.answer_broken(store)
        if url.path == "/kv-range":
            return self.answer(200, store.range(args["Prefix"],
                                                args.get("After", "")))
        if url.path == "/kv-watch":
            found = store.watch(args["Prefix"], int(args["After"]),
                                int(args["WaitMs"]))
            time.sleep(store.slow_s)
            if store.broken_kind:
                return self.answer_broken(store)
            return self.answer(410 if found is None else 200, found or {})
        return self.answer(404, {})


class UpstreamHandler(Handler):
    def handle_any(self):
        if not self.path.startswith("/test/"):
            self.server.arrivals.append(time.monotonic())
        self.serve(self.server.notice)

    def serve(self, notice):
        """Answers a request that came while the notice was in force."""
        body = self.body()
        s = self.server
        request = self.headers.get("X-Limpetflow-Request-Id", "")
        if self.path == "/test/requests":
            return self.answer(200, s.requests)
        if self.path == "/test/arrivals":
            return self.answer(200, [at - s.noticed_at for at in s.arrivals
                                     if at >= s.noticed_at])
        if self.path == "/test/connections":
            return self.answer(200, s.connections - 1)
        if self.path == "/test/withdrawn":
            return self.answer(200, s.withdrawn)
        if self.path == "/test/begun":
            return self.answer(200, s.begun)
        if self.path == "/test/deadlines":
            return self.answer(200, s.deadlines)
        if self.path == "/test/finish":
            s.finish.set()
            return self.answer(200, {})
        if self.path == "/test/notice":
            s.notice = json.loads(body)
            s.noticed_at = time.monotonic()
            return self.answer(200, {})
        if self.path == "/test/release":
            s.release = body.decode()
            return self.answer(200, {})
        s.requests.append(request)
        s.deadlines[request] = int(
            self.headers.get("X-Limpetflow-Deadline-Ms") or 0)
        common = [("X-Limpetflow-Request-Id", request),
                  ("X-Limpetflow-Response-Stamp", "stamp-" + s.id),
                  ("X-Limpetflow-Instance-Id", s.id)]
        if self.announce(notice, request, common):
            return None
        expected = self.headers.get("X-Limpetflow-Expect-Version")
        if s.release and expected and expected != s.release:
            return self.answer(421, {}, common)
        if s.mode == "keep" and not s.finish.wait(
                s.deadlines[request] / 1000):
            return self.answer(503, {}, common + [("X-Limpetflow-Not-Run", "1")])
        if s.mode == "keep":
            s.begun.append(request)
        if s.mode == "full":
            return self.answer(503, {}, common + [("X-Limpetflow-Not-Run", "1")])
        if s.mode == "error":
            return self.answer(500, {"error": "own"}, common)
        if s.mode == "other":
            return self.answer(421, {}, [("X-Limpetflow-Instance-Id", "i-other")])
        if s.mode == "drop" and "drop" in self.path:
            time.sleep(0.8)
            self.close_connection = True
            return None
        if s.mode == "queue" and "begun" not in self.path:
            self.wait_for_close()
            s.withdrawn.append(request)
            return None
        if s.mode in ("torn", "stream", "queue", "keep"):
            return self.stream(common)
        return self.answer(200, {
            "by": s.id, "method": self.command, "target": self.path,
            "headers": [[k, v] for k, v in self.headers.items()],
            "body": body.decode("latin1")}, common)

    def announce(self, notice, request, common):
        """Adds the headers of a notice.  Returns True when the notice has
        turned the request away."""
        if not notice:
            return False
        common += notice["headers"]
        if notice["status"] == 200:
            return False
        self.server.turned_away.append((time.monotonic(), request, notice))
        self.answer(notice["status"], {}, common + [
            ("X-Limpetflow-Not-Run", "1")])
        return True

    def wait_for_close(self):
        while True:
            select.select([self.connection], [], [])
            try:
                if not self.connection.recv(1, socket.MSG_PEEK):
                    break
            except ConnectionError:
                break
            time.sleep(0.05)
        self.close_connection = True

    def stream(self, common, pause_s=0):
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        self.send_response(200)
        for name, value in common:
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for i in range(first, 6):
            text = f"id: {i}\ndata: event {i}\n\n".encode()
            if self.server.mode == "queue" and i == 2:
                while not self.server.finish.wait(0.2):
                    if "alive" in self.path:
                        self.wfile.write(b"3\r\n:.\n\r\n")
            if self.server.mode == "torn" and i == 3:
                self.wfile.write(b"%x\r\n%s" % (len(text), text[:6]))
                self.wfile.flush()
                self.close_connection = True
                self.connection.close()
                return
            self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
            self.wfile.flush()
            time.sleep(pause_s)
        self.wfile.write(b"0\r\n\r\n")

    do_GET = do_POST = do_PUT = do_DELETE = handle_any


class CountingServer(ThreadingHTTPServer):
    """Counts the open connections."""
    # The default of 5 drops connections that open together.
    request_queue_size = 128
    daemon_threads = True

    def __init__(self, *args):
        super().__init__(*args)
        self.lock = threading.Lock()
        self.connections = 0

    def count(self, change):
        with self.lock:
            self.connections += change

    def process_request_thread(self, request, client_address):
        self.count(1)
        try:
            super().process_request_thread(request, client_address)
        finally:
            self.count(-1)


def main():
    host, port = sys.argv[2].split(":")
    handler = StoreHandler if sys.argv[1] == "store" else UpstreamHandler
    server = CountingServer((host, int(port)), handler)
    if sys.argv[1] == "store":
        server.store = Store()
    else:
        server.id = sys.argv[3]
        server.mode = sys.argv[4] if len(sys.argv) > 4 else "ok"
        server.requests = []
        server.arrivals = []
        server.noticed_at = 0
        server.withdrawn = []
        server.begun = []
        server.deadlines = {}
        server.release = None
        server.notice = None  # {"status": 200, "headers": [[NAME, VALUE]]}
        server.turned_away = []
        server.finish = threading.Event()
    server.serve_forever()


if __name__ == "__main__":
    main()
