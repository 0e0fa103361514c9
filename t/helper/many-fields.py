"""Heads with many or long fields, through an entry to an upstream and back.

    many-fields.py ENTRY UPSTREAM PREFIX=COUNT:KIND...

Sends a request for each argument to PREFIX. KIND is "short" (COUNT fields of
about 10 bytes), "long" (one value of COUNT bytes), "answer" (the upstream answers
with COUNT short fields before its stamp), "answer-long" (one value of COUNT
bytes before it) or "event" (a Last-Event-Id of COUNT bytes). Prints for each the
status, which fields of the request arrived in order ("all", "none": it was not
run, or the number), whether all fields of the answer did, and the faults of the
answer. All requests use one connection while it stays open.
"""
import socket
import sys
import threading

from strict_reader import StrictReader, connect

OWN = (b"x-limpetflow-deadline-ms", b"x-limpetflow-expect-instance",
       b"x-limpetflow-request-priority", b"host", b"content-length")
LAST = [(b"Cookie", b"a=1; b=2"), (b"X-Twice", b"1"), (b"X-Twice", b"2"),
        (b"X-Empty", b""), (b"X-Limpetflow-Model", b"daka510000"),
        (b"X-Limpetflow-Token-Count", b"1460,80"),
        (b"X-Limpetflow-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410")]
CLOSE_S = 4  # after an answer that is the last one of its connection
seen = {}


def read_head(file):
    first = file.readline().strip()
    fields = []
    while first:
        line = file.readline().strip()
        if not line:
            break
        name, _, value = line.partition(b":")
        fields.append((name.lower(), value.strip()))
    return first, fields


def extra_fields(kind, count):
    if kind.endswith("long"):
        return [(b"X-Long", b"v" * count)]
    return [(b"X-F%d" % i, b"v") for i in range(count)]


def serve(connection):
    file = connection.makefile("rb")
    while True:
        first, fields = read_head(file)
        if not first:
            return
        path = first.split()[1].decode()
        count, kind = path.rsplit("/", 1)[-1].split(":")
        seen[path] = fields
        more = extra_fields(kind, int(count)) if "answer" in kind else []
        ids = [f for f in fields if f[0] == b"x-limpetflow-request-id"]
        lines = [b"%s: %s" % f for f in ids + more]
        connection.sendall(
            b"HTTP/1.1 200 OK\r\n" + b"\r\n".join(lines) +
            b"\r\nX-Limpetflow-Response-Stamp: stamp\r\n"
            b"Content-Length: 2\r\n\r\nok")


def accept(listener):
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


def ask(reader, path, kind, count):
    fields = list(LAST)
    if kind == "event":
        fields.append((b"Last-Event-Id", b"1" * count))
    elif "answer" not in kind:
        fields = extra_fields(kind, count) + fields
    head = b"GET %s HTTP/1.1\r\nHost: a.example\r\n" % path.encode()
    head += b"X-Limpetflow-Request-Id: %s\r\n" % path.replace("/", "-").encode()
    head += b"X-Dropped: 1\r\nConnection: x-dropped, keep-alive\r\n"
    head += b"".join(b"%s: %s\r\n" % f for f in fields) + b"\r\n"
    reader.connection.sendall(head)
    return fields, reader.read()


def report(path, kind, count, fields, answer):
    status = answer.status or "closed"
    want = [(n.lower(), v) for n, v in fields]
    got = [f for f in seen.get(path, [])
           if f[0] not in OWN and f[0] != b"x-limpetflow-request-id"]
    ran = "none" if path not in seen else "all" if sorted(got) == sorted(want) \
        else "%d of %d" % (sum(f in got for f in want), len(want))
    back = ""
    if "answer" in kind:
        want = [(n.lower(), v) for n, v in extra_fields(kind, count)]
        want.append((b"x-limpetflow-response-stamp", b"stamp"))
        back_fields = [(n.lower(), v) for n, v in answer.fields]
        found = sum(f in back_fields for f in want)
        back = ", answer %s" % ("all" if found == len(want) else "none"
                                if not found else "%d of %d" %
                                (found, len(want)))
    print("%s: %s, request %s%s" % (path, status, ran, back), *answer.faults,
          flush=True)


def main():
    host, port = sys.argv[2].split(":")
    listener = socket.create_server((host, int(port)))
    threading.Thread(target=accept, args=(listener,), daemon=True).start()
    reader, is_faulty = None, False
    for word in sys.argv[3:]:
        prefix, _, what = word.partition("=")
        count, kind = what.split(":")
        path = "/%s/%s" % (prefix, what)
        reader = reader or StrictReader(connect(sys.argv[1], 5))
        fields, answer = ask(reader, path, kind, int(count))
        if answer.end == "whole" and answer.will_close():
            answer.faults += reader.find_end_faults(CLOSE_S)
        report(path, kind, int(count), fields, answer)
        is_faulty |= bool(answer.faults)
        if answer.end != "whole" or answer.will_close():
            reader.connection.close()
            reader = None
    return 1 if is_faulty else 0


sys.exit(main())
