"""Stand-in of an engine that queues requests and runs one release of a model.

A request begins when a slot is free; one whose connection closes leaves the
queue.  To load a release, the engine finishes what runs, and what is queued
begins on the new one.  Reports of its load go to entries as an agent's would
(forward/report_proto.x).
"""
import hashlib
import hmac
import select
import socket
import struct
import threading
import time

from metadata_store import UpstreamHandler

SLOTS = 3
QUEUE = 16
EVENT_S = 0.08  # between the events of a stream
SLOW_EVENT_S = 0.5
REPORT_S = 0.05


def is_closed(connection):
    poll = select.poll()  # select() takes no descriptor above 1023
    poll.register(connection, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


class Engine:
    def __init__(self):
        self.event_s = EVENT_S
        self.is_mute = False  # sends no reports
        self.lock = threading.Condition()
        self.order = threading.Lock()  # one load after the other
        self.release = 1
        self.is_loading = False
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
                        and not self.is_loading):
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
                    self.is_loading, self.running, len(self.waiting), 100)
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


class EngineHandler(UpstreamHandler):
    def handle_any(self):
        s = self.server
        request = self.headers.get("X-Limpetflow-Request-Id", "")
        self.body()
        common = [("X-Limpetflow-Request-Id", request),
                  ("X-Limpetflow-Response-Stamp", s.id)]
        s.arrivals.append((time.monotonic(), request))
        if self.announce(s.notice, request, common):
            return
        status = s.engine.begin(
            self.connection, request,
            int(self.headers["X-Limpetflow-Deadline-Ms"]) / 1000,
            self.headers.get("X-Limpetflow-Expect-Version"))
        if status in (421, 503):
            self.answer(status, {}, common + [("X-Limpetflow-Not-Run", "1")])
        if status != 200:
            self.close_connection = True
            return
        try:
            self.stream(common, s.engine.event_s)
        except OSError:
            self.close_connection = True
        finally:
            s.engine.end()

    do_GET = do_POST = handle_any
