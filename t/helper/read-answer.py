"""Reads an answer from a socket and reports how it was framed and how it ended.

    read-answer.py ADDRESS:PORT PATH [NAME:VALUE...] [body=TEXT] [version=1.0]

With a body the request is a POST.

Prints one line: status, framing, end, the ids of the whole events or the size of
the body, and what is wrong with the answer, for which it exits 1. The end is
    whole    by its length or its last chunk
    closed   the connection closed where nothing marks the end
    inside   the same, within an event
    cut      the connection closed or was reset before the end
    silent   nothing came for 8 s
"""
import re
import sys

from strict_reader import StrictReader, connect, make_request

TIMEOUT_S = 8
CLOSE_S = 4  # after an answer that is the last one of its connection


def find_end(answer):
    if answer.end in ("whole", "silent"):
        return answer.end
    if answer.end != "closed":
        return "cut"
    if answer.is_event_stream() and answer.body and \
            not answer.body.endswith(b"\n\n"):
        return "inside"
    return "closed"


def content(answer):
    if not answer.is_event_stream():
        return "%d bytes" % len(answer.body)
    ids = re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", answer.body)
    return "events " + b"".join(ids).decode()


def main():
    body, version, fields = None, "1.1", [("Host", "a.example")]
    for word in sys.argv[3:]:
        if word.startswith("body="):
            body = word[len("body="):].encode()
        elif word.startswith("version="):
            version = word[len("version="):]
        else:
            fields.append(tuple(word.split(":", 1)))
    method = "GET" if body is None else "POST"
    with connect(sys.argv[1], TIMEOUT_S) as connection:
        connection.sendall(make_request(method, sys.argv[2], fields, body,
                                        version))
        reader = StrictReader(connection)
        answer = reader.read(method, version)
        if answer.end == "whole" and answer.will_close():
            answer.faults += reader.find_end_faults(CLOSE_S)
    print(answer.status or "-", answer.framing, find_end(answer),
          content(answer), *answer.faults)
    return 1 if answer.faults else 0


if __name__ == "__main__":
    sys.exit(main())
