"""Reads answers of HTTP/1.x from a socket byte by byte, and lists what is wrong.

Clients merge fields that come twice and pass over bytes that are no answer, so
that a test which asks them sees a good answer. Whatever this reader is lenient
about is a fault that no test can see.
"""
import re
import socket
import time

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t\x20-\x7e\x80-\xff]*")
VERSION = b"HTTP/1.1 "
CHUNK_SIZE = re.compile(rb"0|[1-9A-Fa-f][0-9A-Fa-f]{0,14}")
LENGTH = re.compile("0|[1-9][0-9]{0,14}")
# Fields that an answer may have more than once (RFC 9110, 5.3).
REPEATABLE = {b"set-cookie", b"www-authenticate", b"via", b"link", b"warning"}
HEAD_MAX_BYTES = 256 * 1024


class Broken(Exception):
    """The bytes end, or can't be read on."""


class Answer:
    """One answer; end is "whole", "closed" (no mark of its end), "cut",
    "reset", "silent", "bad" (not HTTP) or "none" (no byte came)."""

    def __init__(self):
        self.status = 0
        self.version = "1.1"  # of the request
        self.line = b""
        self.fields = []
        self.interim = []
        self.framing = "none"
        self.body = bytearray()
        self.trailers = []
        self.end = "none"
        self.faults = []
        self.raw_head = b""

    def values(self, name):
        """Returns the values of a field, in order."""
        name = name.lower().encode()
        return [v.decode("latin1") for n, v in self.fields
                if n.lower() == name]

    def value(self, name):
        """Returns the value of a field that stands once, or None."""
        found = self.values(name)
        return found[0] if len(found) == 1 else None

    def is_event_stream(self):
        return (self.value("Content-Type") or "").startswith(
            "text/event-stream")

    def will_close(self):
        """Returns whether the sender closes the connection after this answer."""
        options = [o.strip().lower() for v in self.values("Connection")
                   for o in v.split(",")]
        if self.framing == "close" or "close" in options:
            return True
        return self.version == "1.0" and "keep-alive" not in options


class StrictReader:
    """Reads the answers on one connection, of requests that are sent one after
    the other, or ahead of their answers if is_pipelined. repeatable: names, in
    lower case, of further fields that may stand more than once."""

    def __init__(self, connection, repeatable=(), is_pipelined=False):
        self.connection = connection
        self.is_pipelined = is_pipelined
        self.repeatable = REPEATABLE | set(repeatable)
        self.data = b""

    def receive(self):
        data = self.connection.recv(65536)
        if not data:
            raise Broken("closed")
        self.data += data

    def read_line(self):
        """Returns a line without its end."""
        while b"\n" not in self.data:
            if len(self.data) > HEAD_MAX_BYTES:
                raise Broken("bad")
            self.receive()
        line, _, self.data = self.data.partition(b"\n")
        if not line.endswith(b"\r") or b"\r" in line[:-1]:
            self.fault("line end: %r" % line)
        return line.rstrip(b"\r")

    def fault(self, text):
        self.answer.faults.append(text)

    def read_fields(self):
        fields = []
        while True:
            line = self.read_line()
            if not line:
                return fields
            self.answer.raw_head += line + b"\r\n"
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name):
                self.fault("field name: %r" % line)
            if not VALUE.fullmatch(value):
                self.fault("field value: %r" % line)
            fields.append((name, value.strip(b" \t")))

    def read_head(self):
        a = self.answer
        line = self.read_line()
        a.raw_head = line + b"\r\n"
        found = STATUS_LINE.fullmatch(line)
        if not found:
            self.fault("status line: %r" % line)
            raise Broken("bad")
        a.line = line
        a.fields = self.read_fields()
        a.status = int(found[1])
        seen = set()
        for name in (n.lower() for n, _ in a.fields):
            if name in seen and name not in self.repeatable:
                self.fault("field twice: " + name.decode("latin1"))
            seen.add(name)

    def find_framing(self, method, version):
        """Sets the framing. Returns the length, -1 for chunks or a close."""
        a = self.answer
        codings = a.values("Transfer-Encoding")
        lengths = a.values("Content-Length")
        if codings and lengths:
            self.fault("chunks and a length")
        if codings and codings != ["chunked"]:
            self.fault("coding: %s" % codings)
        if any(not LENGTH.fullmatch(v) for v in lengths):
            self.fault("length: %s" % lengths)
            raise Broken("bad")
        if len(set(lengths)) > 1:
            raise Broken("bad")
        if a.status < 200 or a.status == 204:
            if codings or lengths:
                self.fault("framing of a status without a body")
            return 0
        if method == "HEAD" or a.status == 304:
            a.framing = "length"
            return 0
        if codings:
            a.framing = "chunked"
            if version == "1.0":
                self.fault("chunks for HTTP/1.0")
            return -1
        if lengths:
            a.framing = "length"
            return int(lengths[0])
        a.framing = "close"
        if version != "1.0":
            self.fault("neither chunks nor a length")
        return -1

    def read_bytes(self, size):
        """Moves that many bytes to the body, or what comes before the end."""
        while size:
            if not self.data:
                self.receive()
            part, self.data = self.data[:size], self.data[size:]
            self.answer.body += part
            size -= len(part)

    def read_chunks(self):
        while True:
            line = self.read_line()
            if not CHUNK_SIZE.fullmatch(line):
                self.fault("chunk size: %r" % line)
                raise Broken("bad")
            size = int(line, 16)
            if not size:
                self.answer.trailers = self.read_fields()
                if self.answer.trailers:
                    self.fault("trailers: %s" % self.answer.trailers)
                return
            self.read_bytes(size)
            while len(self.data) < 2:
                self.receive()
            if self.data[:2] != b"\r\n":
                self.fault("chunk end: %r" % self.data[:2])
                raise Broken("bad")
            self.data = self.data[2:]

    def read_whole(self, method, version, is_continued):
        a = self.answer
        while True:
            self.read_head()
            size = self.find_framing(method, version)
            if a.status >= 200:
                break
            if a.status != 100 or a.interim or not is_continued:
                self.fault("status %d that nobody asked for" % a.status)
            if a.status == 101:
                raise Broken("bad")
            a.interim.append((a.status, a.fields))
            a.status, a.fields = 0, []
        if a.framing == "chunked":
            self.read_chunks()
        elif a.framing == "close":
            while True:
                self.read_bytes(1 << 16)
        else:
            self.read_bytes(size)

    def read(self, method="GET", version="1.1", is_continued=False):
        """Returns the answer of the request that was sent last; is_continued: it
        had "Expect: 100-continue". Bytes after the end that came with it are a
        fault, and stay for read_rest() or read_end()."""
        self.answer = a = Answer()
        a.version = version
        try:
            self.read_whole(method, version, is_continued)
            a.end = "whole"
            if self.data and not self.is_pipelined:
                self.fault("bytes after the end: %r" % self.data[:80])
        except Broken as broken:
            a.end = str(broken)
        except TimeoutError:
            a.end = "silent"
        except ConnectionError:
            a.end = "reset"
        if a.end == "closed" and a.framing != "close":
            a.end = "cut" if a.raw_head or self.data else "none"
        if not a.line and not VERSION.startswith(self.data[:len(VERSION)]):
            a.end = "bad"
        if a.end == "bad" and not a.faults:
            self.fault("no head of HTTP")
        return a

    def read_end(self, bound_s):
        """Waits for the end of the connection after its last answer. Returns
        "closed", "reset" or "open", and the bytes that came before."""
        end, until = "open", time.monotonic() + bound_s
        try:
            while until > time.monotonic():
                self.connection.settimeout(max(0.001,
                                               until - time.monotonic()))
                self.receive()
        except Broken:
            end = "closed"
        except TimeoutError:
            pass
        except ConnectionError:
            end = "reset"
        rest, self.data = self.data, b""
        return end, rest

    def find_end_faults(self, bound_s):
        """Returns what is wrong after an answer that is to be the last one."""
        end, rest = self.read_end(bound_s)
        faults = ["bytes after the last answer: %r" % rest[:80]] if rest else []
        if end == "open":
            faults.append("not closed after the last answer")
        return faults

    def read_rest(self):
        """Returns the bytes that came after the last answer and are none of
        one that was asked for."""
        self.connection.setblocking(False)
        try:
            while True:
                self.receive()
        except (BlockingIOError, Broken, ConnectionError):
            pass
        finally:
            self.connection.settimeout(None)
        rest, self.data = self.data, b""
        return rest


class GivenBytes:
    """In place of a connection, for bytes that came on one. After them it is
    closed, or silent."""

    def __init__(self, data, is_closed):
        self.data, self.is_closed = data, is_closed

    def recv(self, _):
        data, self.data = self.data, b""
        if not data and not self.is_closed:
            raise TimeoutError
        return data


def parse(data, is_closed):
    """Returns the answer, or its part, of one request on a connection."""
    return StrictReader(GivenBytes(data, is_closed)).read()


def make_request(method, path, fields, body=None, version="1.1"):
    """Returns the bytes of a request; fields are pairs."""
    lines = ["%s %s HTTP/%s" % (method, path, version)]
    lines += ["%s: %s" % f for f in fields]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines + ["", ""]).encode("latin1") + (body or b"")


def connect(address, timeout=8):
    """Returns a connection to "host:port"."""
    host, port = address.split(":")
    connection = socket.create_connection((host, int(port)), timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection
