"""A model server and the origin of its weights, as PROTOCOL.md has them.

Each piece says of which version it is. The server loads what is staged at the
moment at which it accepts an order, in queue mode, and answers streaming
requests from what it has loaded. It keeps of which versions the layers were
that made each token.
"""
import hashlib
import json
import threading
import time

from deployment import Handler, serve

MODEL = "daka510000"
LAYERS, PIECES, PIECE_BYTES = 16, 64, 32768
ORIGIN_MBPS = 5.94
LOAD_S = 0.3  # WarmS
EVENTS, EVENT_S = 5, 0.02


def make_piece(version, number):
    return (b"version %d piece %d " % (version, number)).ljust(PIECE_BYTES)


def version_of(piece):
    return int(piece.split()[1])


class OriginHandler(Handler):
    def do_GET(self):
        path, args = self.split_path()
        version = int(args["Version"])
        if path == "/manifest/" + MODEL:
            return self.answer(200, {
                "Model": MODEL, "Version": version, "ChunkBytes": PIECE_BYTES,
                "layers": LAYERS, "Digests": [
                    hashlib.sha256(make_piece(version, i)).hexdigest()
                    for i in range(PIECES)]})
        with self.server.link:
            time.sleep(PIECE_BYTES * 8 / (ORIGIN_MBPS * 1e6))
        return self.answer(200, make_piece(version, int(args["Num"])))


def start_origin(address):
    serve(address, OriginHandler, link=threading.Lock())


class ModelHandler(Handler):
    def is_own_machine(self):
        return self.client_address[0] == self.server.server_address[0]

    def do_GET(self):
        s = self.server.owner
        path, args = self.split_path()
        if path == "/report":
            return self.answer(200, s.report())
        if path == "/healthz":
            return self.answer(200, {}, [("X-Limpetflow-Instance-Id", s.id)])
        if path != "/stage-get/" + MODEL:
            return self.answer(404, {})
        if not self.is_own_machine():
            return self.answer(403, {})
        with s.lock:
            staged = dict(s.staged)
        if "Num" not in args:
            return self.answer(200, {"held": sorted(staged)})
        if int(args["Num"]) not in staged:
            return self.answer(404, {})
        return self.answer(200, staged[int(args["Num"])])

    def do_PUT(self):
        s = self.server.owner
        path, args = self.split_path()
        body = self.read_body()
        if not self.is_own_machine():
            return self.answer(403, {})
        with s.lock:
            s.staged[int(args["Num"])] = body
        return self.answer(200, {})

    def do_POST(self):
        s = self.server.owner
        body = self.read_body()
        if self.path == "/order":
            return self.answer(s.take_order(body), {})
        return self.run_request(s)

    def run_request(self, s):
        request = self.headers.get("X-Limpetflow-Request-Id", "")
        common = [("X-Limpetflow-Instance-Id", s.id),
                  ("X-Limpetflow-Request-Id", request)]
        not_run = common + [("X-Limpetflow-Not-Run", "1")]
        if self.headers.get("X-Limpetflow-Expect-Instance", s.id) != s.id:
            return self.answer(421, {}, not_run)
        with s.lock:
            loaded = s.loaded
            wanted = self.headers.get("X-Limpetflow-Expect-Version")
            if wanted and loaded and int(wanted) != loaded["version"]:
                return self.answer(421, {}, not_run)
            if s.is_busy or not loaded:
                return self.answer(503, {}, not_run)
            s.active += 1
        try:
            self.send_response(200)
            for name, value in common + [
                    ("X-Limpetflow-Response-Stamp", "stamp." + s.id),
                    ("X-Limpetflow-Weight-Versions", str(loaded["version"])),
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked")]:
                self.send_header(name, value)
            self.end_headers()
            for i in range(1, EVENTS + 1):
                time.sleep(EVENT_S)
                s.record_token(request, loaded)
                text = b"id: %d\ndata: t%d\n\n" % (i, i)
                self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
            self.wfile.write(b"0\r\n\r\n")
        finally:
            with s.lock:
                s.active -= 1


class ModelServer:
    """late_s tells how long the server takes to accept an order, by version."""

    def __init__(self, address, instance, record, late_s):
        self.id, self.record, self.late_s = instance, record, late_s
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.staged = {i: make_piece(1, i) for i in range(PIECES)}
        self.loaded = {"version": 1, "layers": [{1}] * LAYERS}
        self.is_busy, self.seq, self.active = False, 0, 0
        self.orders = []  # versions of the orders that arrived
        self.accepted = []
        self.tokens = []  # (request, version, versions of the layers)
        serve(address, ModelHandler, owner=self)

    def models(self):
        version = self.loaded["version"]
        return {"Stage": "mixed",
                "Models": [{"Name": MODEL, "Version": version,
                            "Adapters": []}],
                "layers": [{"From": 0, "Target": LAYERS,
                            "Version": version}]}

    def report(self):
        with self.lock:
            return dict(self.models(), Busy=self.is_busy, Seq=self.seq,
                        Queued=0, Active=self.active, KvUsed=0, KvTotal=685000,
                        Sessions=0, pace=1.0, born=self.born)

    def read_layers(self):
        """Of which versions the staged pieces of each layer are."""
        layers = []
        for n in range(LAYERS):
            first = n * PIECES // LAYERS
            last = -(-(n + 1) * PIECES // LAYERS)
            layers.append({version_of(self.staged[i]) if i in self.staged
                           else None for i in range(first, last)})
        return layers

    def take_order(self, body):
        order = json.loads(body)
        version = order["Version"]
        self.orders.append(version)
        self.record.write("an order to load version %d arrives at %s"
                          % (version, self.id))
        time.sleep(self.late_s.get(version, 0))
        with self.lock:
            if self.is_busy:
                return 409
            if self.loaded["version"] == version:
                return 200
            self.is_busy = True
            self.seq += 1
            layers = self.read_layers()
        found = sorted({v for layer in layers for v in layer})
        self.accepted.append(version)
        self.record.write("%s accepts the order for version %d; its staged "
                          "pieces are of %s" % (self.id, version, found))
        threading.Thread(target=self.load, args=(version, layers),
                         daemon=True).start()
        return 202

    def load(self, version, layers):
        while True:
            with self.lock:
                if not self.active:
                    break
            time.sleep(0.005)
        time.sleep(LOAD_S)
        with self.lock:
            self.loaded = {"version": version, "layers": layers}
            self.is_busy = False
        self.record.write("%s runs version %d" % (self.id, version))

    def record_token(self, request, loaded):
        with self.lock:
            self.tokens.append((request, loaded["version"], loaded["layers"]))
