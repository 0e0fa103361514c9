"""Answers of an upstream as a caller gets them, read strictly.

    passed-on.py ENTRY UPSTREAM [PID [SECONDS]] <CASES

Serves as the upstream and calls the entry; with "-" for UPSTREAM, it only calls,
and the body is that of a POST. Each line of CASES has the words of a
shell: a name, and then any of
    status=CODE       of the upstream's answer, 200 without it
    field=NAME:VALUE  a further field of that answer, with \\x escapes
    body=TEXT         its body, "ok" without it
    interim=CODE      of a head that comes before the answer
    framing=HOW       length (without it), chunked, close, events (chunked, of a
                      stream), none (no body, no field of framing), or spurious
                      (chunks, also where none may be)
    method=, version=, path=, ask=NAME:VALUE  of the request
    raw=BYTES         sent in place of a request, with \\x escapes
With PID, all requests are sent first; once all of them have reached the upstream
that process gets SIGTERM, and they are answered 0.3 s or SECONDS later.

Prints for each case the status, framing, end and size of the body, whether the
answer says that its connection closes, whether it does ("open": one more request
was answered on it), the fields that are not of each answer, and what is wrong.
The time now is printed as "now" where it stands for a Date. The reason in a
document of a problem stands before the fields.
"""
import email.utils
import json
import os
import shlex
import signal
import socket
import sys
import threading
import time

from strict_reader import StrictReader, connect, make_request

# Those of each answer, and those that are printed otherwise.
USUAL = {"x-limpetflow-request-id", "connection", "transfer-encoding"}
cases = {}
lock = threading.Lock()
arrived = set()
all_arrived = threading.Event()


def unescape(text):
    return text.encode().decode("unicode_escape").encode("latin1")


class Case:
    def __init__(self, line):
        self.name, *words = shlex.split(line)
        self.status, self.framing, self.body = "200", "length", "ok"
        self.method, self.version = "GET", "1.1"
        self.path = "/plain/" + self.name
        self.fields, self.asked, self.interim = [], [], None
        self.raw = None
        for word in words:
            key, _, value = word.partition("=")
            if key == "field":
                self.fields.append(unescape(value))
            elif key == "raw":
                self.raw = unescape(value)
            elif key == "ask":
                self.asked.append(tuple(value.split(":", 1)))
            else:
                setattr(self, key, value)

    def ends_with_close(self):
        """Tells whether the close marks the end of the answer. Closing a kept
        connection behind any other is a race with the next request on it."""
        return (self.framing in ("close", "spurious") or
                (self.framing == "none" and self.status == "200"))

    def answer(self, request_id):
        body = self.body.encode()
        lines = [b"HTTP/1.1 %s Text" % self.status.encode(),
                 b"X-Limpetflow-Request-Id: " + request_id,
                 b"X-Limpetflow-Response-Stamp: stamp"] + self.fields
        if self.framing == "length":
            lines.append(b"Content-Length: %d" % len(body))
        if self.framing == "events":
            lines.append(b"Content-Type: text/event-stream")
            body = b"id: 1\ndata: " + body + b"\n\n"
        if self.framing in ("chunked", "events", "spurious"):
            lines.append(b"Transfer-Encoding: chunked")
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        if self.framing == "none" or (self.method == "HEAD" and
                                      self.framing != "spurious"):
            body = b""
        if self.interim:
            lines.insert(0, b"HTTP/1.1 %s Text\r\nLink: </a>\r\n" %
                         self.interim.encode())
        return b"\r\n".join(lines + [b"", body])


def wait_for_all(name):
    with lock:
        arrived.add(name)
        if len(arrived) == len(cases):
            os.kill(int(sys.argv[3]), signal.SIGTERM)
            time.sleep(float(sys.argv[4]) if len(sys.argv) > 4 else 0.3)
            all_arrived.set()
    all_arrived.wait(8)


def serve(connection):
    file = connection.makefile("rb")
    while True:
        first, request_id = file.readline().split(), b""
        line = file.readline().strip() if first else b""
        while line:
            name, _, value = line.partition(b":")
            if name.lower() == b"x-limpetflow-request-id":
                request_id = value.strip()
            line = file.readline().strip()
        if not first:
            return
        case = cases.get(first[1].decode().split("/", 2)[2],
                         Case("more"))
        if len(sys.argv) > 3 and case.name in cases:
            wait_for_all(case.name)
        connection.sendall(case.answer(request_id))
        if case.ends_with_close():
            connection.close()
            file.close()
            return


def accept(listener):
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(connection,),
                         daemon=True).start()


def send(connection, case, path, request_id):
    fields = [("Host", "a.example"), ("X-Limpetflow-Request-Id", request_id),
              ("X-Limpetflow-Deadline-Ms", "3000")] + case.asked
    body = None
    if sys.argv[2] == "-" and case.method == "POST":
        body = case.body.encode()
    connection.sendall(case.raw or make_request(case.method, path, fields,
                                                body, case.version))


def show(name, value):
    text = value.decode("latin1")
    if name.lower() == b"date":
        at = email.utils.parsedate_to_datetime(text).timestamp()
        if abs(at - time.time()) < 60:
            text = "now"
    return "%s=[%s]" % (name.decode("latin1"), text)


def find_reason(answer):
    if answer.value("Content-Type") != "application/problem+json":
        return ""
    return json.loads(answer.body)["reason"] + " " if answer.body else ""


def find_state(reader, case, status):
    """Returns whether the connection serves another request."""
    more = Case("more")
    if sys.argv[2] == "-":
        more = case
    try:
        send(reader.connection, more, more.path, case.name + "-more")
        reader.connection.settimeout(5)
        again = reader.read(more.method, more.version)
    except OSError:
        return "closed"
    if again.end == "none" or again.end == "reset":
        return "closed"
    is_next = again.end == "whole" and not again.faults and (
        again.status == status if more is case else again.body == b"ok")
    return "open" if is_next else "%d %s %r %s" % (
        again.status, again.end, again.body[:60], again.faults)


def ask(case, results):
    with connect(sys.argv[1]) as connection:
        send(connection, case, case.path, "r-" + case.name)
        reader = StrictReader(connection)
        a = reader.read(case.method, case.version)
        time.sleep(0.05)
        rest = reader.read_rest()
        if rest:
            a.faults.append("bytes after the answer: %r" % rest[:60])
        state = find_state(reader, case, a.status)
    fields = [show(n, v) for n, v in a.fields
              if n.decode("latin1").lower() not in USUAL]
    results[case.name] = "%s: %d %s %s %d%s, %s, %s%s%s" % (
        case.name, a.status, a.framing, a.end, len(a.body),
        " closing" if a.will_close() else "", state, find_reason(a),
        " ".join(fields), "".join("\n  " + f for f in a.faults))


def main():
    for line in sys.stdin:
        if line.strip():
            case = Case(line)
            cases[case.name] = case
    if sys.argv[2] != "-":
        host, port = sys.argv[2].split(":")
        listener = socket.create_server((host, int(port)))
        threading.Thread(target=accept, args=(listener,), daemon=True).start()
    results, threads = {}, []
    for case in cases.values():
        threads.append(threading.Thread(target=ask, args=(case, results)))
        threads[-1].start()
        if len(sys.argv) < 4:
            threads[-1].join()
    for thread in threads:
        thread.join()
    for name in cases:
        print(results.get(name, name + ": no answer"), flush=True)


main()
