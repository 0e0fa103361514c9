"""Stand-ins of engines that some requests crash.

    crash_engine.py STORE PART TEXT ADDRESS:PORT=ZONE...

One process serves an engine on each address, and enters it in the store
stand-in at STORE (metadata_store.py). An engine answers with a stream of
events. A request whose prompt contains the part PART, or whose body contains
TEXT, crashes its engine shortly after its answer has begun: all connections of
the engine are reset and its port is closed. One to two seconds later the engine
is back with another id. Half of the engines mark the end of an answer with its
connection only, and close their connections cleanly when they crash.

Prints a JSON line with the monotonic time for each event: "arrive" and "begin"
(of a request), "crash" and "up" (of an engine). "marked" tells whether the
request crashes its engine.
"""
import asyncio
import json
import random
import socket
import struct
import sys
import time
import urllib.request

SERVICE = "llm"
MODEL = {"Name": "m", "Version": 1, "Adapters": []}
SLOTS = 16
EVENTS = 6
FIRST_EVENT_S = 0.08
EVENT_GAP_S = 0.04
CRASH_DELAY_S = (0.03, 0.1)
DOWN_S = (1.0, 2.0)


def log(what, **fields):
    print(json.dumps({"at": time.monotonic(), "what": what, **fields}),
          flush=True)


def call_store(store, method, key, value=None):
    body = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(f"http://{store}/test/{key}", body,
                                     method=method)
    urllib.request.urlopen(request, timeout=10).close()


def prompt_parts(headers):
    prefix = headers.get("x-limpetflow-prompt-prefix", "")
    return [part.partition(":")[0] for part in prefix.split(",")]


async def read_request(reader):
    """Returns the headers and the body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return headers, body


class Engine:
    def __init__(self, options, address, zone, is_marking_end):
        self.is_marking_end = is_marking_end
        self.store, self.part, self.text = options
        self.address, self.zone = address, zone
        self.starts = 0
        self.id = None
        self.connections = set()

    async def start(self):
        old = self.id
        host, port = self.address.split(":")
        self.starts += 1
        self.id = f"i-{host.rsplit('.', 1)[1]}-{self.starts}"
        self.server = await asyncio.start_server(self.serve, host, int(port))
        log("up", engine=self.id)
        await asyncio.to_thread(self.register, old)

    def register(self, old):
        call_store(self.store, "PUT", "servers/" + self.id, {
            "Service": SERVICE, "Addr": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": SLOTS, "State": "ready",
            "ColdLeftMs": 0, "Seq": 1, "born": int(time.time() * 1000),
            "Models": [MODEL]})
        if old:
            call_store(self.store, "DELETE", "servers/" + old)

    async def crash(self, request):
        log("crash", engine=self.id, request=request)
        self.server.close()
        for writer in list(self.connections):
            if self.is_marking_end:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.connections.clear()
        await asyncio.sleep(random.uniform(*DOWN_S))
        await self.start()

    def is_marked(self, headers, body):
        return (self.part in prompt_parts(headers)
                or self.text.encode() in body)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                headers, body = await read_request(reader)
                if not await self.answer(writer, headers, body):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, headers, body):
        """Sends one answer. Returns False when the connection has to close."""
        engine = self.id
        request = headers.get("x-limpetflow-request-id", "")
        marked = self.is_marked(headers, body)
        about = {"engine": engine, "request": request, "marked": marked}
        common = (f"X-Limpetflow-Request-Id: {request}\r\n"
                  f"X-Limpetflow-Instance-Id: {engine}\r\n"
                  f"X-Limpetflow-Response-Stamp: stamp-{engine}\r\n")
        log("arrive", **about)
        if headers.get("x-limpetflow-expect-instance", engine) != engine:
            writer.write(f"HTTP/1.1 421 Other\r\n{common}"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        await asyncio.sleep(FIRST_EVENT_S)
        if engine != self.id or writer.is_closing():
            return False
        log("begin", **about)
        writer.write(f"HTTP/1.1 200 OK\r\n{common}"
                     "Content-Type: text/event-stream\r\n"
                     f"{self.framing_line()}\r\n".encode())
        if marked:
            asyncio.get_running_loop().call_later(
                random.uniform(*CRASH_DELAY_S), self.crash_once, engine,
                request)
        first = int(headers.get("last-event-id") or 0) + 1
        for i in range(first, EVENTS + 1):
            text = f"id: {i}\ndata: event {i}\n\n".encode()
            writer.write(self.frame(text))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        if self.is_marking_end:
            writer.write(self.frame(b""))
        await writer.drain()
        return self.is_marking_end

    def framing_line(self):
        return "Transfer-Encoding: chunked\r\n" if self.is_marking_end else ""

    def frame(self, text):
        if not self.is_marking_end:
            return text
        return b"%x\r\n%s\r\n" % (len(text), text)

    def crash_once(self, engine, request):
        """Crashes the engine unless another request has done so."""
        if engine == self.id and self.server.is_serving():
            self.crashing = asyncio.ensure_future(self.crash(request))


async def main():
    engines = []
    for i, place in enumerate(sys.argv[4:]):
        address, _, zone = place.partition("=")
        engines.append(Engine(sys.argv[1:4], address, zone, i % 4 < 2))
    await asyncio.gather(*(engine.start() for engine in engines))
    await asyncio.Event().wait()


asyncio.run(main())
