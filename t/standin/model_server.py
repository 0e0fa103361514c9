"""Stand-in of a model server of the platform and of the origin of its weights,
for the tests of weights/.

    model_server.py ADDRESS:PORT [MAX_CONNECTIONS]

Connections beyond MAX_CONNECTIONS are reset.
It starts with release 1 of the model m loaded and staged. Each release has
CHUNKS chunks, and a piece takes PIECE_S to arrive.
    GET /test/events       the events so far, oldest first: [NAME, RELEASE],
                           where NAME is manifest, piece (the requests), write
                           (a chunk to stage arrives), written, ordered (an
                           order arrives), order (it is accepted; -1: the
                           staged chunks are not all of its release) or loaded.
                           Requests are in the order in which they arrived,
                           whichever thread answers first.
    GET /test/release      the release that runs
    GET /test/askers       the addresses from which manifests were requested
    GET /test/connections  [open now, without this one; reset so far]
    PUT /test/hold-pieces  with RELEASE: its pieces take HELD_PIECE_S to arrive
    PUT /test/hold-writes  with RELEASE: writes of its chunks take HOLD_S
    PUT /test/hold-orders  with RELEASE [SECONDS]: an order for it is accepted
                           after HOLD_S, or SECONDS
"""
import bisect
import hashlib
import json
import socket
import struct
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

CHUNKS = 32
CHUNK_BYTES = 4096
PIECE_S = 0.1
HELD_PIECE_S = 0.5
HOLD_S = 1.5
LOAD_S = 0.2
SO_TIMESTAMPNS = 35


def chunk(release, number):
    return (b"release %d chunk %d " % (release, number)).ljust(CHUNK_BYTES)


def arrival_of_next(connection):
    """Waits for the next request on a connection and returns when the kernel
    received it."""
    data, stamps, _, _ = connection.recvmsg(1, 64, socket.MSG_PEEK)
    if not data:
        return None
    [(_, _, stamp)] = stamps
    seconds, ns = struct.unpack("qq", stamp)
    return seconds * 10**9 + ns


class State:
    def __init__(self):
        self.lock = threading.Lock()
        self.events = []  # (time, name, release)
        self.staged = {i: chunk(1, i) for i in range(CHUNKS)}
        self.release = 1
        self.busy = False
        self.order_count = 0
        self.hold_orders_s = HOLD_S
        self.held_pieces = self.held_writes = self.held_orders = 0
        self.askers = set()
        self.connections = self.resets = 0

    def insert(self, name, release, at):
        bisect.insort(self.events, (at, name, release), key=lambda e: e[0])

    def add_request(self, name, release, arrival):
        with self.lock:
            self.insert(name, release, arrival)

    def list_events(self):
        with self.lock:
            return [[name, release] for _, name, release in self.events]

    def staged_release(self):
        releases = {int(c.split()[1]) for c in self.staged.values()}
        return releases.pop() if len(releases) == 1 else -1

    def load(self, release):
        time.sleep(LOAD_S)
        with self.lock:
            self.release, self.busy = release, False
            self.insert("loaded", release, time.time_ns())


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def handle_one_request(self):
        self.arrival = arrival_of_next(self.connection)
        super().handle_one_request()

    def answer(self, status, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        s = self.server.state
        url = urllib.parse.urlsplit(self.path)
        args = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/test/events":
            return self.answer(200, s.list_events())
        if url.path == "/test/release":
            return self.answer(200, s.release)
        if url.path == "/test/askers":
            return self.answer(200, sorted(s.askers))
        if url.path == "/test/connections":
            return self.answer(200, [s.connections - 1, s.resets])
        if url.path == "/report":
            return self.answer(200, {
                "Stage": "mixed", "Busy": s.busy, "Seq": s.order_count, "Queued": 0,
                "Active": 0, "KvUsed": 0, "KvTotal": 90000, "Sessions": 0,
                "Models": [{"Name": "m", "Version": s.release,
                            "Adapters": []}]})
        if url.path == "/manifest/m":
            release = int(args["Version"])
            s.add_request("manifest", release, self.arrival)
            s.askers.add(self.client_address[0])
            return self.answer(200, {
                "Model": "m", "Version": release, "ChunkBytes": CHUNK_BYTES,
                "layers": 16, "Digests": [
                    hashlib.sha256(chunk(release, i)).hexdigest()
                    for i in range(CHUNKS)]})
        if url.path == "/piece/m":
            release = int(args["Version"])
            s.add_request("piece", release, self.arrival)
            time.sleep(HELD_PIECE_S if release == s.held_pieces else PIECE_S)
            return self.answer(200, chunk(release, int(args["Num"])))
        if url.path == "/stage-get/m" and "Num" in args:
            return self.answer(200, s.staged[int(args["Num"])])
        if url.path == "/stage-get/m":
            return self.answer(200, {"held": sorted(s.staged)})
        return self.answer(404, {})

    def do_PUT(self):
        s = self.server.state
        url = urllib.parse.urlsplit(self.path)
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if url.path == "/test/hold-pieces":
            s.held_pieces = int(body)
            return self.answer(200, {})
        if url.path == "/test/hold-writes":
            s.held_writes = int(body)
            return self.answer(200, {})
        if url.path == "/test/hold-orders":
            s.held_orders = int(body.split()[0])
            s.hold_orders_s = float((body.split() + [HOLD_S])[1])
            return self.answer(200, {})
        release = int(body.split()[1])
        s.add_request("write", release, self.arrival)
        if release == s.held_writes:
            time.sleep(HOLD_S)
        with s.lock:
            s.staged[int(url.query.split("=")[1])] = body
            s.insert("written", release, time.time_ns())
        return self.answer(200, {})

    def do_POST(self):
        s = self.server.state
        o = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        release = o["Version"]
        s.add_request("ordered", release, self.arrival)
        if release == s.held_orders:
            time.sleep(s.hold_orders_s)
        with s.lock:
            if o.get("Expected", s.order_count) != s.order_count:
                return self.answer(409, {})
            s.order_count += 1
            is_whole = s.staged_release() == release
            s.insert("order", release if is_whole else -1, time.time_ns())
            s.busy = True
        threading.Thread(target=s.load, args=(release,), daemon=True).start()
        return self.answer(202, {})


class Server(ThreadingHTTPServer):
    """Resets the connections beyond a maximum."""
    daemon_threads = True
    request_queue_size = 64

    def server_activate(self):
        # The accepted sockets inherit it.
        self.socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        super().server_activate()

    def process_request_thread(self, request, client_address):
        s = self.state
        with s.lock:
            is_full = s.connections >= self.max_connections
            s.resets += is_full
            s.connections += not is_full
        if is_full:
            request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                               struct.pack("ii", 1, 0))
            request.close()
            return
        try:
            super().process_request_thread(request, client_address)
        finally:
            with s.lock:
                s.connections -= 1

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


def main():
    host, port = sys.argv[1].split(":")
    server = Server((host, int(port)), Handler)
    server.state = State()
    server.max_connections = int(sys.argv[2]) if len(sys.argv) > 2 else 1000
    server.serve_forever()


if __name__ == "__main__":
    main()
