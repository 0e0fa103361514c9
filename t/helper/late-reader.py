"""Asks for large answers, and reads them strictly when it is told to.

    late-reader.py ADDRESS:PORT PATH[,VERSION]...

Sends a request for each path, waits for a line on standard input, and prints for
each the status, framing and end of the answer, and what is wrong.
"""
import sys

from strict_reader import StrictReader, connect, make_request


def main():
    waiting = []
    for number, word in enumerate(sys.argv[2:]):
        path, _, version = word.partition(",")
        connection = connect(sys.argv[1])
        fields = [("Host", "a.example"),
                  ("X-Limpetflow-Request-Id", "late-%d" % number),
                  ("X-Limpetflow-Deadline-Ms", "60000")]
        connection.sendall(make_request("GET", path, fields,
                                        version=version or "1.1"))
        waiting.append((word, version or "1.1", connection))
    sys.stdin.readline()
    for word, version, connection in waiting:
        answer = StrictReader(connection).read("GET", version)
        print("%s: %d %s %s%s" % (word, answer.status, answer.framing,
                                  answer.end, "".join(
                                      "\n  " + f for f in answer.faults)))


main()
