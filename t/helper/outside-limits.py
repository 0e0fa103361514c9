"""Clients outside the limits, beside ordinary ones.

    outside-limits.py KIND TARGET READY ORDINARY PID COUNT SECONDS

TARGET, READY and ORDINARY are ADDRESS:PORT/PATH. COUNT clients of the KIND press
on TARGET for SECONDS, while 20 ordinary clients make 50 calls a second together
from a process of their own. Prints one line: the largest resident
memory of the process in MB, the share of the ordinary calls that were answered
with 200 within 1 s, the longest wait for a ready answer in ms, and how many of
the clients' connections were still open at the end. Exits 1 when an answer to
an ordinary call or a ready answer has a fault.
"""
import os
import socket
import sys
import threading
import time

from strict_reader import StrictReader, connect, make_request

KIND, TARGET, READY, ORDINARY, PID, COUNT, SECONDS = sys.argv[1:]


def split(target):
    """Returns ADDRESS:PORT and the path."""
    address, path = target.split("/", 1)
    return address, "/" + path


ADDRESS, PATH = split(TARGET)
HOST, PORT = ADDRESS.split(":")
LEGAL_BYTES = 1000000
OVER_BYTES = 64 * 1024 * 1024
ORDINARY_CLIENTS = 20
ORDINARY_PER_S = 50
IN_TIME_S = 1.0
HEAD = ("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n"
        "X-Limpetflow-Request-Id: r\r\n" % PATH).encode()


def with_length(n):
    return HEAD + b"Content-Length: %d\r\n\r\n" % n


def whole(s):
    """All of a legal body but its last byte, at once."""
    s.sendall(with_length(LEGAL_BYTES) + b"x" * (LEGAL_BYTES - 1))


def pieces(s):
    """The same in small pieces."""
    s.sendall(with_length(LEGAL_BYTES))
    for _ in range(LEGAL_BYTES // 4000):
        s.sendall(b"x" * 3999)
        time.sleep(0.001)


def chunked(s):
    """The same in chunks, without the last one."""
    s.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(LEGAL_BYTES // 4000):
        s.sendall(b"f9f\r\n" + b"x" * 3999 + b"\r\n")


def over(s):
    """A body far over the limit."""
    s.sendall(with_length(OVER_BYTES))
    for _ in range(OVER_BYTES // 65536):
        s.sendall(b"x" * 65536)


def fields(s):
    """Very many short fields."""
    s.sendall(HEAD + b"a:b\r\n" * 3000 + b"\r\n")


def ahead(s):
    """Requests sent ahead, whose answers are not read."""
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    request = with_length(0)
    for _ in range(500):
        s.sendall(request * 10)


def drip(s):
    """A body that comes very slowly."""
    s.sendall(with_length(LEGAL_BYTES))
    while True:
        s.sendall(b"x")
        time.sleep(0.3)


def silent(s):
    """Half a request line."""
    s.sendall(b"POST /re")


def half(s):
    """Half of the headers."""
    s.sendall(HEAD + b"Content-Le")


def run_client(stop, counts):
    play = globals()[KIND]
    is_open = 0
    s = socket.socket()
    try:
        s.settimeout(float(SECONDS))
        s.connect((HOST, int(PORT)))
        play(s)
        is_open = 1
        while is_open and not stop.is_set():
            s.settimeout(0.2)
            try:
                is_open = KIND == "ahead" or bool(s.recv(65536))
                time.sleep(0.1 if KIND == "ahead" else 0)
            except socket.timeout:
                pass
    except OSError:
        is_open = 0
    s.close()
    counts.append(is_open)


def call(address, path, faults):
    try:
        with connect(address, 3) as connection:
            connection.sendall(make_request("GET", path, [
                ("Host", "a.example"), ("Authorization", "Bearer k1"),
                ("X-Limpetflow-Request-Id", "r")]))
            answer = StrictReader(connection).read()
    except OSError:
        return 0
    faults += answer.faults
    return answer.status


def run_ordinary(stop, results, faults):
    while not stop.is_set():
        began = time.monotonic()
        status = call(*split(ORDINARY), faults)
        took = time.monotonic() - began
        results.append(status == 200 and took <= IN_TIME_S)
        time.sleep(max(0, ORDINARY_CLIENTS / ORDINARY_PER_S - took))


def watch(stop, memory, waits, faults):
    while not stop.is_set():
        with open("/proc/%s/status" % PID, encoding="ascii") as f:
            for line in f:
                if line.startswith("VmRSS:"):
                    memory.append(int(line.split()[1]) / 1024)
        began = time.monotonic()
        ok = call(*split(READY), faults) == 200
        waits.append((time.monotonic() - began) * 1000 if ok else 1e6)
        time.sleep(0.2)


def run_threads(threads):
    stop = threading.Event()
    threading.stack_size(256 * 1024)
    for function, arguments in threads:
        threading.Thread(target=function, args=(stop, *arguments),
                         daemon=True).start()
    time.sleep(float(SECONDS))
    stop.set()
    time.sleep(1)


def main():
    counts, results, memory, waits, faults = [], [], [], [], []
    reader, writer = os.pipe()
    child = os.fork()
    if not child:
        run_threads([(run_client, (counts,))] * int(COUNT))
        os.write(writer, b"%d" % sum(counts))
        os._exit(0)
    run_threads([(run_ordinary, (results, faults))] * ORDINARY_CLIENTS +
                [(watch, (memory, waits, faults))])
    os.waitpid(child, 0)
    print("%.0f %.3f %.0f %s" % (max(memory), sum(results) / len(results),
                                 max(waits), os.read(reader, 16).decode()))
    if faults:
        sys.exit("%d faults: %s" % (len(faults), faults[:5]))


main()
