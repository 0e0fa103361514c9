"""Reads answers that are given as text with strict_reader.py.

    read-raw.py <TABLE

A line of the table is WORDS|TEXT. "~" in the text is the end of a line, and \\r, \\n
and \\xNN are bytes. Words: "HEAD", "1.0" and "continue" tell of the request,
"twice" is for two of them on the connection, "open" leaves it open after the
text, and "reset" resets it. Prints the line, and for each answer its status,
framing, end, the size of the body, and the faults; at last the number of bytes
that came after it, and whether the connection was closed. The text comes at once
and byte by byte; what is read differently then is printed as such.
"""
import socket
import sys
import threading
import time

from strict_reader import StrictReader

WAIT_S = 10
OPEN_S = 0.05  # all that comes has come before
REPORTED = 60  # letters of a fault


def write(connection, pieces, words, written, read_on):
    for piece in pieces:
        connection.sendall(piece)
        if len(pieces) > 1:
            time.sleep(0.0002)
    written.set()
    if "open" in words:
        read_on.wait()
    # What the reader has sent is received, as the close is a reset else.
    if "reset" not in words:
        connection.recv(1)
    connection.close()


def read(pieces, words):
    """Returns the lines to print."""
    ours, theirs = socket.socketpair()
    ours.sendall(b"x")
    written, is_read = threading.Event(), threading.Event()
    writer = threading.Thread(target=write, args=(theirs, pieces, words,
                                                  written, is_read))
    writer.start()
    wait_s = WAIT_S
    if "open" in words:
        written.wait()
        wait_s = OPEN_S
    reader, lines = StrictReader(ours), []
    ours.settimeout(wait_s)
    for _ in range(2 if "twice" in words else 1):
        a = reader.read("HEAD" if "HEAD" in words else "GET",
                        "1.0" if "1.0" in words else "1.1",
                        "continue" in words)
        lines.append(" ".join(["  %d" % a.status, a.framing, a.end,
                               "%d bytes" % len(a.body)] +
                              (["closing"] if a.will_close() else [])))
        lines += ["    " + fault[:REPORTED] for fault in a.faults
                  if not fault.startswith("bytes after")]
    end, rest = reader.read_end(wait_s)
    lines.append("  %d bytes follow, %s" % (len(rest), end))
    is_read.set()
    writer.join()
    ours.close()
    return lines


def main():
    for line in sys.stdin:
        words, text = line.rstrip("\n").split("|", 1)
        data = text.replace("~", "\\r\\n").encode().decode("unicode_escape")
        data = data.encode("latin1")
        lines = read([data], words)
        print("\n".join([line.rstrip("\n")] + lines))
        if read([bytes([b]) for b in data], words) != lines:
            print("  otherwise byte by byte")


if __name__ == "__main__":
    main()
