"""Stand-ins of engines that get an order to load a release, one after the other.

    ordered_engines.py STORE KEY ENTRY,... ADDRESS:PORT...

One process serves an engine on each address, enters it in the store stand-in at
STORE (metadata_store.py) as i-1, i-2, ..., and sends its load reports to the
entries (ADDRESS:PORT). A stream has five events; one whose path contains "long"
gets its second event after a request for /test/finish at its engine, and
comments until then.  An engine serves
    PUT /test/state    enters it in the store with this state
    PUT /test/orders   all engines get an order to load this release, in turn
    GET /test/finish   its long streams go on
    GET /test/release  the release that it runs
"""
import json
import os
import sys
import threading
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "soak"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import engine as engines  # noqa: E402
from metadata_store import CountingServer  # noqa: E402

SLOTS = 12
EVENTS = 5
LOAD_S = 0.3
ORDER_GAP_S = 0.2
COMMENT_GAP_S = 0.2
EVENT_GAP_S = 0.05


class Handler(engines.EngineHandler):
    def handle_any(self):
        s = self.server
        if not self.path.startswith("/test/"):
            return super().handle_any()
        body = self.body().decode()
        if self.path == "/test/state":
            s.state = body
            s.enter()
        elif self.path == "/test/orders":
            threading.Thread(target=give_orders, daemon=True,
                             args=(s.all, int(body))).start()
        elif self.path == "/test/finish":
            s.finish.set()
        return self.answer(200, s.engine.release)

    def send_chunk(self, text):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
        self.wfile.flush()

    def write_stream(self, common, runs_until):
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        self.send_response(200)
        for name, value in common:
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for i in range(first, EVENTS + 1):
            while ("long" in self.path and i == 2
                   and not self.server.finish.wait(COMMENT_GAP_S)):
                self.send_chunk(b":.\n\n")
            self.send_chunk(f"id: {i}\ndata: event {i}\n\n".encode())
            time.sleep(EVENT_GAP_S)
        self.wfile.write(b"0\r\n\r\n")

    do_GET = do_POST = do_PUT = handle_any


class Server(CountingServer):
    def __init__(self, store, number, address):
        host, port = address.split(":")
        super().__init__((host, int(port)), Handler)
        self.list_at, self.address, self.id = store, address, f"i-{number}"
        self.engine = engines.Engine()
        self.state = "ready"
        self.sequence = 0
        self.arrivals = []
        self.ends = []
        self.notice = None
        self.finish = threading.Event()

    def enter(self):
        self.sequence += 1
        models = [] if self.engine.is_loading else [
            {"Name": "m", "Version": self.engine.release, "Adapters": []}]
        value = {"Service": "llm", "Addr": self.address, "Zone": "d1",
                 "Version": "v1", "Slots": SLOTS, "State": self.state,
                 "ColdLeftMs": 0, "Seq": self.sequence, "Models": models}
        urllib.request.urlopen(urllib.request.Request(
            f"http://{self.list_at}/test/servers/{self.id}",
            json.dumps(value).encode(), method="PUT"), timeout=10).close()


def give_orders(servers, release):
    for s in servers:
        threading.Thread(target=s.engine.load, daemon=True,
                         args=(release, LOAD_S, s.enter)).start()
        time.sleep(ORDER_GAP_S)


def main():
    store, key, entries = sys.argv[1:4]
    entries = [(host, int(port)) for host, port in
               (entry.split(":") for entry in entries.split(","))]
    engines.SLOTS = SLOTS
    servers = [Server(store, i + 1, address)
               for i, address in enumerate(sys.argv[4:])]
    for s in servers:
        s.all = servers
        threading.Thread(target=s.serve_forever, daemon=True).start()
        threading.Thread(target=s.engine.report, daemon=True, args=(
            key, s.address, s.address.split(":")[0], entries)).start()
        s.enter()
    threading.Event().wait()


if __name__ == "__main__":
    main()
