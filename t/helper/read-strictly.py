"""Asks for paths, one connection each, and reads the answers strictly.

    read-strictly.py ADDRESS:PORT [NAME:VALUE...] PATH...

Prints a line for each: path, status, framing, end, the stamp of the upstream or
"-", the body where it is short, its size otherwise, and what is wrong.
"""
import os
import sys

from strict_reader import StrictReader, connect, make_request

SHORT_BYTES = 40


def main():
    words = sys.argv[2:]
    fields = [tuple(w.split(":", 1)) for w in words if not w.startswith("/")]
    for number, path in enumerate(w for w in words if w.startswith("/")):
        with connect(sys.argv[1]) as connection:
            connection.sendall(make_request("GET", path, [
                ("Host", "a.example"),
                ("X-Limpetflow-Request-Id", "r-%d-%d" % (os.getpid(), number)),
                ("X-Limpetflow-Deadline-Ms", "2500")] + fields))
            reader = StrictReader(connection)
            answer = reader.read()
            rest = reader.read_rest()
        if rest:
            answer.faults.append("bytes after the answer: %r" % rest[:80])
        body = "%d bytes" % len(answer.body)
        if 0 < len(answer.body) <= SHORT_BYTES:
            body = answer.body.decode("latin1")
        print(path, answer.status, answer.framing, answer.end,
              answer.value("X-Limpetflow-Response-Stamp") or "-", body,
              *answer.faults, flush=True)


if __name__ == "__main__":
    main()
