"""Faults from outside the programs: a relay on loopback and a schedule.

A schedule is drawn whole from a seed, so that a run can be read before it is
played, and played again.
"""
import random
import re
import select
import socket
import struct
import threading
import time

PIECE = 65536
DELAY_S = 0.15  # held back by a relay in mode "delay", each piece
REQUEST = re.compile(rb"X-Limpetflow-Request-Id: *(\S+)", re.IGNORECASE)
HEAD_S = 0.05  # for the head of a request whose connection is reset
RST = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets


class Relay:
    """Forwards connections.  Modes: ok, delay, silent (nothing passes, nothing
    is closed), one_way (answers don't pass), reset (all are reset, also new
    ones).  Notes the requests whose connections it resets."""

    def __init__(self, address, to):
        self.to = to
        self.mode = "ok"
        self.open = {}  # the last request of each pair of connections
        self.resets = []  # (when, request)
        self.lock = threading.Lock()
        self.listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client = self.listener.accept()[0]
            if self.mode == "reset":
                threading.Thread(target=self.refuse, args=(client,),
                                 daemon=True).start()
                continue
            threading.Thread(target=self.serve, args=(client,),
                             daemon=True).start()

    def refuse(self, client):
        try:
            client.settimeout(HEAD_S)
            self.note_reset(self.find_request(client.recv(PIECE)))
        except OSError:
            pass
        self.cut(client)

    @staticmethod
    def find_request(data):
        found = REQUEST.findall(data)
        return found[-1].decode() if found else None

    def note_reset(self, request):
        if request:
            self.resets.append((time.monotonic(), request))

    @staticmethod
    def cut(*ends):
        for end in ends:
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RST)
                end.close()
            except OSError:
                pass

    def serve(self, client):
        try:
            server = socket.create_connection(self.to, timeout=2)
        except OSError:
            self.cut(client)
            return
        with self.lock:
            self.open[client, server] = None
        try:
            self.pump(client, server)
        except (OSError, ValueError):
            self.cut(client, server)  # a reset is no end of an answer
        with self.lock:
            self.open.pop((client, server), None)
        client.close()
        server.close()

    def pump(self, client, server):
        ends = {client.fileno(): client, server.fileno(): server}
        poll = select.poll()
        for fd in ends:
            poll.register(fd, select.POLLIN)
        while True:
            for fd, _ in poll.poll(100):
                end = ends[fd]
                if self.mode == "silent" or (self.mode == "one_way"
                                             and end is server):
                    time.sleep(0.02)
                    continue
                data = end.recv(PIECE)
                if not data:
                    return
                request = end is client and self.find_request(data)
                if request:
                    self.open[client, server] = request
                if self.mode == "delay":
                    time.sleep(DELAY_S)
                (server if end is client else client).sendall(data)

    def set(self, mode):
        self.mode = mode
        if mode == "reset":
            with self.lock:
                for pair, request in self.open.items():
                    self.note_reset(request)
                    self.cut(*pair)


class Fault:
    """What is done to whom, from when and for how long."""

    def __init__(self, at, kind, target, how, for_s):
        self.at, self.kind, self.target = at, kind, target
        self.how, self.for_s = how, for_s

    def __str__(self):
        return (f"{self.at:6.2f} {self.kind:9} {self.target:8} "
                f"{self.how:8} {self.for_s:.2f} s")


LINK_MODES = ("delay", "silent", "one_way", "reset")
KINDS = (  # name, weight, targets, ways, longest
    ("pause", 3, "entry", ("stop",), 2.0),
    ("kill", 2, "entry", ("kill",), 0.6),
    ("term", 2, "entry", ("term",), 9.0),
    ("hup", 1, "entry", ("hup",), 0.1),
    ("store", 3, "entry", LINK_MODES, 3.0),  # the way from it to the store
    ("down", 1, "store", ("down", "forget"), 2.0),
    ("upstream", 3, "upstream", LINK_MODES, 2.0),
    ("cut", 4, "upstream", ("reset",), 0.1),  # what is under way
    ("drain", 2, "upstream", ("drain",), 3.0),
    ("slow", 3, "engine", ("slow",), 4.0),
    ("mute", 1, "engine", ("mute",), 2.0),  # no reports of its load
    ("config", 4, "store", ("keys", "route"), 0.0),
)


def declarations(r, seconds, engines, limit_s):
    """Draws releases, sometimes two in short order, and when each engine loads
    them: in turn, slow ones about the limit, after it or not at all."""
    out, at, release = [], r.uniform(1, 2.5), 1
    while at < seconds - limit_s - 2:
        release += 1
        out.append(Fault(at, "declare", "store", str(release), 0.0))
        order = r.sample(engines, len(engines))
        for i, engine in enumerate(order):
            turn = 0.3 + 0.4 * i / len(order) + r.uniform(0, 0.1)
            if r.random() < 0.4:
                out.append(Fault(at - 0.8, "slow", engine, "slow",
                                 r.uniform(0.8, 1.2) * limit_s))
                turn = r.choice((None, r.uniform(0.9, 1.6)))
            if turn:
                out.append(Fault(at + turn * limit_s, "load", engine,
                                 str(release), r.uniform(0.1, 0.6)))
        at += r.choice((r.uniform(0.3, 2), r.uniform(4, 6)))
    return out


PAUSES = ("0.7", "1.5", "3", "-1", "soon")  # values of Retry-After


def notices(seed, seconds, upstreams):
    """Draws upstreams that announce their end in answers, though listed as
    ready, and such that ask for pauses.  It has a random source of its own, so
    that the other faults of a seed stay as they are."""
    r = random.Random(f"notices {seed}")
    out, at = [], r.uniform(0.5, 2)
    while at < seconds - 3:
        if r.random() < 0.4:
            out.append(Fault(at, "leave", r.choice(upstreams), "leave",
                             r.uniform(2.5, 5)))
        else:
            out.append(Fault(at, "ask", r.choice(upstreams),
                             r.choice(PAUSES), r.uniform(0.1, 0.8)))
        at += r.choice((0.1, 1, 2)) * r.uniform(0.5, 1.5)
    return out


LIMITS = ("0.25", "1", "2.5", "8")  # values of Server-Limit
LIMIT_MIN_S = 6.0  # so that the rule counts for a while


def limits(seed, seconds, upstreams):
    """Draws upstreams that name a limit in their answers for some seconds.  It
    has a random source of its own, so that the other faults of a seed stay."""
    r = random.Random(f"limits {seed}")
    at = r.uniform(0.5, 2)
    if at + LIMIT_MIN_S > seconds - 2:
        return []
    return [Fault(at, "limit", name, r.choice(LIMITS),
                  r.uniform(LIMIT_MIN_S, seconds - 2 - at))
            for name in r.sample(upstreams, r.choice((1, 1, 2)))]


def squeezes(seed, seconds, engines):
    """Draws engines that get an order or fall silent while their streams run,
    while the others have no room: they are slow, drain, ask for a pause, fail
    or have orders of their own.  It has a random source of its own."""
    r = random.Random(f"squeezes {seed}")
    out, at = [], r.uniform(1, 2)
    while at < seconds - 3:
        first, *others = r.sample(engines, len(engines))
        out.append(Fault(at, "slow", first, "slow", r.uniform(1.5, 3)))
        for other in others:
            kind, how, for_s = r.choice((
                ("slow", "slow", 3), ("drain", "drain", 2.5),
                ("ask", "3", 1), ("upstream", "reset", 2),
                ("order", "order", 1.5)))
            out.append(Fault(at + r.uniform(0, 0.6), kind, other, how,
                             r.uniform(0.5, 1) * for_s))
        begun = at + r.uniform(0.3, 1)
        if r.random() < 0.5:
            out.append(Fault(begun, "order", first, "order",
                             r.uniform(0.1, 0.5)))
        else:
            out.append(Fault(begun, "silence", first, "silent",
                             r.uniform(0.7, 2)))
        at += r.uniform(1.5, 3.5)
    return out


def schedule(seed, seconds, entries, upstreams, engines, limit_s):
    """Draws faults that come in series and overlap."""
    r = random.Random(seed)
    targets = {"entry": entries, "upstream": upstreams + engines,
               "engine": engines, "store": ["store"]}
    out, at = [], 1.0
    while at < seconds - 2:
        kind = r.choices(KINDS, [k[1] for k in KINDS])[0]
        out.append(Fault(at, kind[0], r.choice(targets[kind[2]]),
                         r.choice(kind[3]), r.uniform(0.2, 1) * kind[4]))
        at += r.choice((0.05, 0.3, 0.8, 1.5)) * r.uniform(0.5, 1.5)
    out += declarations(r, seconds, engines, limit_s)
    out += notices(seed, seconds, upstreams + engines)
    out += limits(seed, seconds, upstreams + engines)
    out += squeezes(seed, seconds, engines)
    return sorted(out, key=lambda fault: fault.at)
