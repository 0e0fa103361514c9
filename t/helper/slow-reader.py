"""Reads an answer, with a pause after its first bytes.

    slow-reader.py ADDRESS:PORT PATH PAUSE-SECONDS [NAME:VALUE...]

Prints status, end ("whole" or "cut"), the size of the body, its SHA-256, and
for a stream the first and the last id and whether all between came in order, and
what is wrong with the answer, for which it exits 1.
A pause of "leave" closes the connection after the first bytes and one second.
"""
import hashlib
import re
import socket
import sys
import time

from strict_reader import StrictReader, make_request

BUFFER_BYTES = 16 * 1024
TIMEOUT_S = 12
LEAVE_AFTER_S = 1


class SlowReader(StrictReader):
    """Pauses when the first bytes of a body have come."""

    def __init__(self, address, pause):
        host, port = address.split(":")
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        s.settimeout(TIMEOUT_S)
        s.connect((host, int(port)))
        super().__init__(s)
        self.pause = pause

    def receive(self):
        if self.pause and self.answer.body:
            pause, self.pause = self.pause, None
            if pause == "leave":
                time.sleep(LEAVE_AFTER_S)
                sys.exit()
            time.sleep(float(pause))
        super().receive()


def events(body):
    ids = [int(i) for i in re.findall(rb"(?m)^id: (\d+)$", body)]
    if not ids:
        return ""
    is_ordered = ids == list(range(ids[0], ids[-1] + 1))
    return " events %d to %d %s" % (ids[0], ids[-1],
                                    "in order" if is_ordered else "mixed")


def main():
    reader = SlowReader(sys.argv[1], sys.argv[3])
    fields = [tuple(word.split(":", 1)) for word in sys.argv[4:]]
    reader.connection.sendall(make_request(
        "GET", sys.argv[2], [("Host", "a.example")] + fields))
    answer = reader.read()
    end = "whole" if answer.end == "whole" else "cut"
    print("%d %s %d bytes %s%s" % (answer.status, end, len(answer.body),
                                   hashlib.sha256(answer.body).hexdigest()[:16],
                                   events(answer.body)), *answer.faults)
    return 1 if answer.faults else 0


if __name__ == "__main__":
    sys.exit(main())
