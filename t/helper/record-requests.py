"""Passes connections on, and checks the requests on them byte by byte.

    record-requests.py LISTEN=TARGET...

LISTEN and TARGET are ADDRESS:PORT. Prints a line for each request: the address it
was for, its method, the names of its fields, and what is wrong: a field twice, a
name or value that HTTP doesn't allow, no Host, two framings, Expect, or a body
without a length.
"""
import re
import socket
import sys
import threading

NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
LINE = re.compile(rb"([A-Z]+) [\x21-\x7e]+ HTTP/1\.1")
lock = threading.Lock()


def find_faults(method, fields):
    names = [n.lower() for n, _ in fields]
    faults = ["twice: %s" % n.decode("latin1")
              for n in sorted(set(names)) if names.count(n) > 1]
    faults += ["field: %r" % n for n, v in fields
               if not NAME.fullmatch(n) or not VALUE.fullmatch(v)]
    if b"host" not in names:
        faults.append("no Host")
    if b"expect" in names:
        faults.append("Expect")
    if b"content-length" in names and b"transfer-encoding" in names:
        faults.append("two framings")
    if method in (b"POST", b"PUT") and b"content-length" not in names:
        faults.append("no length")
    return faults


def check(where, head):
    """Prints the line of a request. Returns the size of its body."""
    first, *lines = head.split(b"\r\n")
    found = LINE.fullmatch(first)
    faults = [] if found else ["first line: %r" % first]
    method = found[1] if found else b"-"
    fields = [(n, v.strip(b" \t")) for n, _, v in
              (line.partition(b":") for line in lines)]
    faults += find_faults(method, fields)
    if b"\n" in head.replace(b"\r\n", b"") or b"\r" in head.replace(
            b"\r\n", b""):
        faults.append("line end")
    names = " ".join(sorted({n.decode("latin1") for n, _ in fields}))
    with lock:
        print("%s %s [%s] %s" % (where, method.decode(), names,
                                 "; ".join(faults) or "fine"), flush=True)
    lengths = [v for n, v in fields if n.lower() == b"content-length"]
    return int(lengths[0]) if lengths and lengths[0].isdigit() else 0


def pass_requests(where, client, server):
    data, body = b"", 0
    while True:
        part = client.recv(65536)
        if not part:
            break
        data += part
        while data:
            taken = min(body, len(data))
            data, body = data[taken:], body - taken
            head, end, rest = data.partition(b"\r\n\r\n")
            if body or not end:
                break
            data, body = rest, check(where, head)
        server.sendall(part)
    server.shutdown(socket.SHUT_WR)


def pass_answers(client, server):
    while True:
        part = server.recv(65536)
        if not part:
            break
        client.sendall(part)
    client.shutdown(socket.SHUT_WR)


def run(function, *args):
    try:
        function(*args)
    except OSError:
        for connection in args[-2:]:
            connection.close()


def serve(listen, target):
    host, port = listen.split(":")
    listener = socket.create_server((host, int(port)), backlog=200)
    host, port = target.split(":")
    while True:
        client, _ = listener.accept()
        try:
            server = socket.create_connection((host, int(port)), 5)
        except OSError:
            client.close()
            continue
        server.settimeout(None)
        for connection in (client, server):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for args in ((pass_requests, listen, client, server),
                     (pass_answers, client, server)):
            threading.Thread(target=run, args=args, daemon=True).start()


def main():
    threads = [threading.Thread(target=serve, args=word.split("="))
               for word in sys.argv[1:]]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


main()
