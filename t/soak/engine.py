"""Stand-in of an engine that queues requests and runs one release of a model.

A request begins when a slot is free; one whose connection closes leaves the
queue.  To load a release, the engine finishes what runs, and what is queued
begins on the new one.  Reports of its load go to entries as an agent's would
(forward/report_proto.x).
"""
import hashlib
import hmac
import json
import os
import random
import select
import socket
import struct
import threading
import time

from faults import RST
from metadata_store import UpstreamHandler

SLOTS = 3
QUEUE = 16
EVENT_S = 0.08  # between the events of a stream
SLOW_EVENT_S = 0.5
REPORT_S = 0.05
EVENTS = 5
LOOK_S = 0.02  # between looks at a connection
LAST_S = 0.05  # of its time, in which an entry takes a close for a cut

# How a run ended
COMPLETE = "complete"
AT_DEADLINE = "at its deadline"  # ended by the upstream
CLOSED = "closed"  # by the entry or on the way, with more to write


def is_closed(connection):
    poll = select.poll()  # select() takes no descriptor above 1023
    poll.register(connection, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def write_events(handler, common, pause_s, runs_until):
    """Writes a stream as far as the connection and the deadline allow, with
    breaks in which its server is silent.  Returns how it ended."""
    first = int(handler.headers.get("Last-Event-Id") or 0) + 1
    texts = [f"id: {i}\ndata: event {i}\n\n".encode()
             for i in range(first, EVENTS + 1)]
    handler.wfile.write(handler.head(
        200, common + [("Content-Type", "text/event-stream")],
        sum(len(text) for text in texts)))
    next_at = time.monotonic()
    for text in texts:
        while max(next_at, handler.server.silent_until) > time.monotonic():
            if is_closed(handler.connection):
                return CLOSED
            if time.monotonic() > runs_until:
                return AT_DEADLINE
            time.sleep(LOOK_S)
        handler.wfile.write(handler.piece(text))
        next_at += pause_s
    if handler.framing == "close" and time.monotonic() > runs_until - LAST_S:
        return AT_DEADLINE
    handler.wfile.write(handler.end())
    return COMPLETE


def run(handler, request, write, *args):
    """Writes an answer, and notes how its run ended."""
    how = CLOSED
    try:
        how = write(*args) or COMPLETE
    except OSError:
        pass
    finally:
        handler.server.ends.append((time.monotonic(), request, how))
        if how != COMPLETE:
            handler.break_off()


class VariedHandler(UpstreamHandler):
    """Varies the heads and the framing of answers, drawn from the request."""
    framing = "length"
    extra = b""  # a refusal, written once more where the next answer is due

    def draw(self, what):
        request = self.headers.get("X-Limpetflow-Request-Id", "")
        return random.Random(f"{what} {request}")

    def head(self, status, fields, size):
        """Returns the bytes of the head of an answer, and sets its framing: the
        same for each run of a request, as an entry does not take a close for
        the end of a stream that began with a mark of its end."""
        r, extra, self.extra = self.draw("head"), self.extra, b""
        self.framing = r.choice(("chunked", "length", "close"))
        lines = [f"HTTP/1.1 {status} {self.responses[status][0]}"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines += r.choice(([], ["Date: " + self.date_time_string()]))
        lines += r.choice(([], ["X-Empty:"], ["X-Empty: "]))
        lines += {"chunked": ["Transfer-Encoding: chunked"],
                  "length": [f"Content-Length: {size}"],
                  "close": r.choice(([], ["Connection: close"]))}[self.framing]
        self.close_connection |= self.framing == "close"
        return extra + "\r\n".join(lines + ["", ""]).encode()

    def piece(self, data):
        return b"%x\r\n%s\r\n" % (len(data), data) \
            if self.framing == "chunked" else data

    def end(self):
        return b"0\r\n\r\n" if self.framing == "chunked" else b""

    def answer(self, status, body, headers=()):
        data = json.dumps(body).encode()
        whole = self.head(status, headers, len(data)) + self.piece(data) + \
            self.end()
        again = ""
        if status == 503 and self.framing != "close":
            again = self.draw("again").choice(("", "now", "late"))
        self.wfile.write(whole * 2 if again == "now" else whole)
        self.extra = whole if again == "late" else b""

    def break_off(self):
        """Ends the connection so that an answer without a length is cut."""
        self.close_connection = True
        if self.framing == "close":
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       RST)
            os.close(self.connection.detach())


class Engine:
    def __init__(self):
        self.event_s = EVENT_S
        self.is_mute = False  # sends no reports
        self.lock = threading.Condition()
        self.order = threading.Lock()  # one load after the other
        self.release = 1
        self.is_loading = False
        self.has_order = False  # other than to load a release
        self.running = 0
        self.waiting = []
        self.begun = []  # (when, request, release, when it came)
        self.withdrawn = 0

    def begin(self, connection, request, wait_s, expected):
        """Waits for a slot.  Returns 200, 503 when the queue is full or the
        request's time was over in it, 421 when another release than the expected
        one runs, or 0 for a request that left the queue."""
        turn, came = object(), time.monotonic()
        with self.lock:
            if expected and expected != str(self.release):
                return 421
            if len(self.waiting) >= QUEUE:
                return 503
            self.waiting.append(turn)
            while not is_closed(connection):
                if time.monotonic() - came > wait_s:
                    self.waiting.remove(turn)
                    return 503
                if (self.waiting[0] is turn and self.running < SLOTS
                        and not self.is_loading and not self.has_order):
                    self.waiting.remove(turn)
                    self.running += 1
                    self.begun.append((time.monotonic(), request,
                                       self.release, came))
                    return 200
                self.lock.wait(0.02)
            self.waiting.remove(turn)
            self.withdrawn += 1
            return 0

    def end(self):
        with self.lock:
            self.running -= 1
            self.lock.notify_all()

    def load(self, release, for_s, tell):
        """Loads a newer release; tell() is called when what runs changes."""
        with self.order:
            if release <= self.release:
                return
            self.is_loading = True
            tell()
            with self.lock:
                while self.running:
                    self.lock.wait()
            time.sleep(for_s)
            with self.lock:
                self.release = release
                self.is_loading = False
                self.lock.notify_all()
            tell()

    def take_order(self, for_s):
        """Carries out an order that needs the engine for itself: what runs is
        finished, and nothing begins until its end."""
        with self.order:
            with self.lock:
                self.has_order = True
                while self.running:
                    self.lock.wait()
            time.sleep(for_s)
            with self.lock:
                self.has_order = False
                self.lock.notify_all()

    def report(self, key, address, own, entries):
        """Sends load reports from the address `own` for ever."""
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        out.bind((own, 0))
        number = 0
        while True:
            number += 1
            with self.lock:
                data = pack(address) + struct.pack(
                    ">qQQqiiii", 0, 1, number, int(time.monotonic() * 1e6),
                    self.is_loading or self.has_order, self.running,
                    len(self.waiting), 100)
                data += struct.pack(">I", 0) if self.is_loading else (
                    struct.pack(">I", 1) + pack("m") +
                    struct.pack(">Q", self.release))
            data += hmac.new(key.encode(), data, hashlib.sha256).digest()
            for entry in () if self.is_mute else entries:
                out.sendto(data, entry)
            time.sleep(REPORT_S)


def pack(text):
    """A string in XDR."""
    return struct.pack(">I", len(text)) + text.encode() + \
        bytes(-len(text) % 4)


class EngineHandler(VariedHandler):
    def handle_any(self):
        s = self.server
        request = self.headers.get("X-Limpetflow-Request-Id", "")
        self.body()
        common = [("X-Limpetflow-Request-Id", request),
                  ("X-Limpetflow-Response-Stamp", s.id)]
        came = time.monotonic()
        s.arrivals.append((came, request))
        if self.announce(s.notice, request, common):
            return
        wait_s = int(self.headers["X-Limpetflow-Deadline-Ms"]) / 1000
        status = s.engine.begin(
            self.connection, request, wait_s,
            self.headers.get("X-Limpetflow-Expect-Version"))
        if status in (421, 503):
            self.answer(status, {}, common + [("X-Limpetflow-Not-Run", "1")])
        if status != 200:
            self.close_connection = True
            return
        try:
            run(self, request, self.write_stream, common, came + wait_s)
        finally:
            s.engine.end()

    def write_stream(self, common, runs_until):
        """Returns how it ended, or None when it is complete."""
        return write_events(self, common, self.server.engine.event_s,
                            runs_until)

    do_GET = do_POST = handle_any
