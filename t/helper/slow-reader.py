"""Reads an answer, with a pause after its first bytes.

    slow-reader.py ADDRESS:PORT PATH PAUSE-SECONDS [NAME:VALUE...]

Prints status, end ("whole" or "cut"), the size of the body, its SHA-256, and
for a stream the first and the last id and whether all between came in order.
A pause of "leave" closes the connection after the first bytes and one second.
"""
import hashlib
import http.client
import re
import socket
import sys
import time

BUFFER_BYTES = 16 * 1024
TIMEOUT_S = 12
LEAVE_AFTER_S = 1


def connect(address):
    host, port = address.split(":")
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    s.settimeout(TIMEOUT_S)
    s.connect((host, int(port)))
    connection = http.client.HTTPConnection(host, int(port))
    connection.sock = s
    return connection


def read_rest(answer, body):
    """Appends the rest of the body. Returns how it ended."""
    try:
        while True:
            data = answer.read(BUFFER_BYTES)
            if not data:
                break
            body += data
    except (http.client.IncompleteRead, OSError):
        return "cut"
    length = answer.getheader("Content-Length")
    return "cut" if length and len(body) < int(length) else "whole"


def events(body):
    ids = [int(i) for i in re.findall(rb"(?m)^id: (\d+)$", body)]
    if not ids:
        return ""
    is_ordered = ids == list(range(ids[0], ids[-1] + 1))
    return " events %d to %d %s" % (ids[0], ids[-1],
                                    "in order" if is_ordered else "mixed")


def main():
    connection = connect(sys.argv[1])
    headers = dict(word.split(":", 1) for word in sys.argv[4:])
    headers["Host"] = "a.example"
    connection.request("GET", sys.argv[2], headers=headers)
    answer = connection.getresponse()
    body = bytearray(answer.read(BUFFER_BYTES))
    if sys.argv[3] == "leave":
        time.sleep(LEAVE_AFTER_S)
        return
    time.sleep(float(sys.argv[3]))
    end = read_rest(answer, body)
    print("%d %s %d bytes %s%s" % (answer.status, end, len(body),
                                   hashlib.sha256(body).hexdigest()[:16],
                                   events(bytes(body))))


if __name__ == "__main__":
    main()
