"""Many callers that read their answers slowly.

    many-slow-readers.py ADDRESS:PORT PATH COUNT BEGUN SECONDS

Opens COUNT connections, sends a request for PATH on each and reads 1 KB of each
answer every 0.2 s, until SECONDS after BEGUN answers have begun. Prints how many
began and how many connections were still open. Exits 1 when the first part of
one has a fault.
"""
import select
import socket
import sys
import time

from strict_reader import parse

GAP_S = 0.2
PART_BYTES = 1024
# The answers begin within seconds, and later on a busy machine.
BEGIN_MAX_S = 20
FIRST_BYTES = 8 * PART_BYTES  # a head and some of the body


def main():
    host, port = sys.argv[1].split(":")
    path, count, enough = sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    seconds = float(sys.argv[5])
    readers, begun, first = {}, set(), {}
    for i in range(count):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.connect((host, int(port)))
        s.sendall(("GET %s HTTP/1.1\r\nHost: a.example\r\n"
                   "X-Limpetflow-Request-Id: slow-%d\r\n"
                   "X-Limpetflow-Deadline-Ms: 30000\r\n\r\n" %
                   (path, i)).encode())
        readers[s.fileno()] = s
    end = time.monotonic() + BEGIN_MAX_S + seconds
    is_counting = True
    while time.monotonic() < end:
        if is_counting and len(begun) >= enough:
            is_counting = False
            end = time.monotonic() + seconds
        poll = select.poll()
        for fd in readers:
            poll.register(fd, select.POLLIN)
        for fd, _ in poll.poll(GAP_S * 1000):
            try:
                part = readers[fd].recv(PART_BYTES)
            except OSError:
                part = b""
            if len(first.get(fd, b"")) < FIRST_BYTES:
                first[fd] = first.get(fd, b"") + part
            if part.startswith(b"HTTP/1.1 200"):
                begun.add(fd)
            if not part:
                readers.pop(fd).close()
        time.sleep(GAP_S)
    print("%d begun, %d open" % (len(begun), len(readers)))
    faults = [fault for data in first.values()
              for fault in parse(data, False).faults]
    if faults:
        sys.exit("%d faults: %s" % (len(faults), faults[:5]))


main()
